#include "services.h"

#include <chrono>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// Release watches get each keepalive, list watches every second one.
constexpr Duration keepalive_interval = 1s;
constexpr Duration retired_connection_lifetime = 1500ms;

}  // namespace

void EndpointList::set_draining(std::size_t endpoint) {
  entries_[endpoint].phase = EndpointPhase::draining;
  last_changed_ = endpoint;
  ++version_;
}

std::string EndpointList::line(const std::vector<registry::Endpoint>& entries,
                               bool complete) const {
  std::string members;
  for (const registry::Endpoint& entry : entries) {
    const char* phase = entry.phase == EndpointPhase::ready ? "ready" : "draining";
    members += std::string(members.empty() ? "" : ",") + R"({"id":")" + entry.name +
               R"(","host_port":")" + entry.address + R"(","locality":"here","flavor":"m",)" +
               R"("cell":1,"phase":")" + phase + R"(","size":1.0,"up_since_ms":0,"build":)" +
               std::to_string(entry.build) + "}";
  }
  return "{\"revision\":" + std::to_string(version_) +
         ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + members + "]}\n";
}

std::string EndpointList::complete_line() const {
  return line(entries_, true);
}

std::string EndpointList::last_change_line() const {
  return line({entries_[last_changed_]}, false);
}

void EndpointList::record_sent(bool complete) const {
  observer_.list_sent(complete ? entries_ : std::vector{entries_[last_changed_]}, complete);
}

Services::Services(net::Loop& loop, EndpointList& list, Release& release)
    : timers_(loop),
      list_(list),
      release_(release),
      server_(loop, http::ServerSettings{},
              [this](const http::ExchangePtr& exchange) { handle(exchange); }) {
  send_keepalives();
}

Services::~Services() = default;

void Services::send_keepalives() {
  for (const http::ExchangePtr& watch : release_watches_)
    watch->write("{}\n");
  if (++ticks_ % 2 == 0)
    for (const http::ExchangePtr& watch : list_watches_)
      watch->write("\n");
  timers_.in(keepalive_interval, [this] { send_keepalives(); });
}

void Services::handle(const http::ExchangePtr& exchange) {
  if (exchange->request.target == "/v1/verdicts") {
    release_.answer_vote(exchange);
    return;
  }
  exchange->begin_stream({});
  if (exchange->request.target == "/v1/watch") {
    release_watches_.push_back(exchange);
    exchange->write(release_.news_line());
    release_.record_news_sent();
    return;
  }
  list_watches_.push_back(exchange);
  exchange->write(list_.complete_line());
  list_.record_sent(true);
}

void Services::push_change() {
  for (const http::ExchangePtr& watch : list_watches_) {
    if (watch->client_disconnected() || !watch->write(list_.last_change_line()))
      continue;
    list_.record_sent(false);
  }
}

bool Services::write_release_watches(const std::string& line) {
  bool any = false;
  for (const http::ExchangePtr& watch : release_watches_)
    any = (!watch->client_disconnected() && watch->write(line)) || any;
  return any;
}

void Services::stall_list_watches() {
  // The connections are kept open without further data.
  timers_.in(1h, [stalled = std::exchange(list_watches_, {})] {});
}

void Services::shut_down() {
  server_.pause(true);
  timers_.in(retired_connection_lifetime, [this] { server_.reset_connections(); });
}

}  // namespace robinhoist::soak
