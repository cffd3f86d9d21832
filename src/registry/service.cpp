#include "registry/service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "json/reader.h"

namespace robinhoist::registry {
namespace {

constexpr const char* endpoints_path = "/v1/nodes";
constexpr const char* endpoint_path_prefix = "/v1/nodes/";

// Changes within this time are sent together.
constexpr Duration notify_delay = std::chrono::milliseconds(2);

}  // namespace

Service::Service(net::Loop& loop, const http::ServerSettings& server, const std::string& series,
                 OnSent on_sent)
    : loop_(loop),
      registry_(series),
      on_sent_(std::move(on_sent)),
      waiting_polls_(loop, [this](const http::LongPoll::Query& request) { send_update(request); }),
      server_(std::make_unique<http::Server>(
          loop, server, [this](const http::ExchangePtr& exchange) { handle(exchange); })) {}

Service::~Service() {
  loop_.cancel(notify_timer_);
}

void Service::put(const Endpoint& entry) {
  apply_after_delay([this, entry] { return registry_.put(entry); });
}

void Service::set_phase(const std::string& name, EndpointPhase phase) {
  apply_after_delay([this, name, phase] { return registry_.set_phase(name, phase); });
}

void Service::remove(const std::string& name) {
  apply_after_delay([this, name] { return registry_.remove(name); });
}

void Service::apply_after_delay(Change change) {
  last_effective_at_ = std::max(last_effective_at_, loop_.now() + delay_);
  auto apply = [this, change = std::move(change)] {
    if (change())
      notify_soon();
  };
  if (last_effective_at_ <= loop_.now())
    apply();
  else
    loop_.at(last_effective_at_, std::move(apply));
}

void Service::notify_soon() {
  if (notify_timer_ != net::Loop::no_timer)
    return;
  notify_timer_ = loop_.in(notify_delay, [this] {
    notify_timer_ = net::Loop::no_timer;
    waiting_polls_.notify();
  });
}

void Service::poll(const http::ExchangePtr& exchange) {
  auto request = http::LongPoll::read(exchange);
  const Update update = registry_.changes_since(request.series, request.since);
  const bool has_changes = update.complete || !update.entries.empty();
  if (has_changes || request.wait <= Duration{})
    send_update(request);
  else
    waiting_polls_.wait(std::move(request));
}

void Service::send_update(const http::LongPoll::Query& request) {
  const Update update = registry_.changes_since(request.series, request.since);
  if (on_sent_)
    on_sent_(request.proxy, update);
  request.exchange->answer(http::json_response(200, encode(update)));
}

void Service::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path());
  if (request.method == "GET" && path == "/health") {
    exchange->answer(http::text_response(200, "well\n"));
  } else if (request.method == "GET" && path == endpoints_path) {
    poll(exchange);
  } else if (request.method == "PUT" && path == endpoints_path) {
    exchange->answer(handle_put(request));
  } else if (request.method == "DELETE" && path.starts_with(endpoint_path_prefix)) {
    const std::size_t name_at = std::string_view(endpoint_path_prefix).size();
    remove(http::percent_decoded(path.substr(name_at)));
    exchange->answer(http::json_response(200, "{}"));
  } else {
    exchange->answer(http::text_response(404, "no such thing here\n"));
  }
}

http::Response Service::handle_put(const http::Request& request) {
  try {
    for (const Endpoint& entry : decode_endpoints(request.body))
      put(entry);
  } catch (const json::DecodeError& error) {
    return http::text_response(422, std::string(error.what()) + "\n");
  }
  return http::json_response(200, "{}");
}

}  // namespace robinhoist::registry
