#include "registry/service.h"

#include <algorithm>

#include "json/reader.h"

namespace robinhoist::registry {
namespace {
using namespace std::chrono_literals;
constexpr Duration gather = 2ms;  // changes that come together are told together
}  // namespace

Service::Service(net::Loop& loop, const http::ServerSettings& server, const std::string& series,
                 Told told)
    : loop_(loop),
      registry_(series),
      told_(std::move(told)),
      waiting_(loop, [this](const http::LongPoll::Query& asked) { answer(asked); }),
      server_(std::make_unique<http::Server>(loop, server,
                                             [this](const http::ExchangePtr& e) { handle(e); })) {}

Service::~Service() {
  loop_.cancel(wake_);
}

void Service::later(std::function<bool()> change) {
  last_due_ = std::max(last_due_, loop_.now() + lag_);
  if (last_due_ <= loop_.now()) {
    if (change())
      wake();
    return;
  }
  loop_.at(last_due_, [this, change] {
    if (change())
      wake();
  });
}

void Service::put(const Endpoint& entry) {
  later([this, entry] { return registry_.put(entry); });
}
void Service::phase(const std::string& name, EndpointPhase phase) {
  later([this, name, phase] { return registry_.phase(name, phase); });
}
void Service::remove(const std::string& name) {
  later([this, name] { return registry_.remove(name); });
}

void Service::wake() {
  if (wake_.id != 0)
    return;
  wake_ = loop_.in(gather, [this] {
    wake_ = net::Loop::no_timer;
    waiting_.notify();
  });
}

void Service::answer(const http::LongPoll::Query& asked) {
  Update news = registry_.since(asked.series, asked.since);
  if (told_)
    told_(asked.proxy, news);
  asked.exchange->answer(http::json_response(200, encoded(news)));
}

void Service::ask(const http::ExchangePtr& exchange) {
  auto asked = http::LongPoll::read(exchange);
  const Update now = registry_.since(asked.series, asked.since);
  if (now.whole || !now.entries.empty() || asked.wait <= Duration{})
    return answer(asked);
  waiting_.wait(std::move(asked));
}

void Service::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path()), endpoints = "/v1/nodes";
  if (request.method == "GET" && path == "/health")
    return exchange->answer(http::text_response(200, "well\n"));
  if (path == endpoints && request.method == "GET")
    return ask(exchange);
  if (path == endpoints && request.method == "PUT") {
    try {
      Update one = decoded("{\"series\":\"\",\"version\":0,\"whole\":false,\"nodes\":[" +
                           request.body + "]}");
      for (const Endpoint& entry : one.entries)
        put(entry);
    } catch (const json::DecodeError& bad) {
      return exchange->answer(http::text_response(422, std::string(bad.what()) + "\n"));
    }
    return exchange->answer(http::json_response(200, "{}"));
  }
  if (path.rfind(endpoints + "/", 0) == 0 && request.method == "DELETE") {
    remove(http::percent_decoded(path.substr(endpoints.size() + 1)));
    return exchange->answer(http::json_response(200, "{}"));
  }
  exchange->answer(http::text_response(404, "no such thing here\n"));
}

}  // namespace robinhoist::registry
