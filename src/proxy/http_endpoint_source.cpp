#include "proxy/http_endpoint_source.h"

#include <chrono>
#include <utility>

#include "json/reader.h"
#include "proxy/api_client_settings.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Duration poll_wait = 10s;
constexpr Duration poll_timeout = poll_wait + 3s;

}  // namespace

HttpEndpointSource::HttpEndpointSource(net::Loop& loop, const std::string& address,
                                       std::string proxy, unsigned seed, const log::Logger& log)
    : loop_(loop),
      proxy_(std::move(proxy)),
      log_(log),
      connections_(loop, Poco::Net::SocketAddress(address), api_client_settings()),
      backoff_(min_retry_delay, max_retry_delay, seed) {}

HttpEndpointSource::~HttpEndpointSource() {
  loop_.cancel(timer_);
}

void HttpEndpointSource::start(OnUpdate on_update) {
  on_update_ = std::move(on_update);
  poll();
}

void HttpEndpointSource::refresh() {
  series_.clear();
  version_ = 0;
  connections_.cancel(call_);
  poll_in(Duration(0));
}

// Replaces the next poll, if one is scheduled.
void HttpEndpointSource::poll_in(Duration delay) {
  loop_.cancel(timer_);
  timer_ = loop_.in(delay, [this] { poll(); });
}

void HttpEndpointSource::poll() {
  http::Request request;
  request.target = "/v1/nodes?umpire=" + proxy_ + "&series=" + series_ +
                   "&since=" + std::to_string(version_) +
                   "&wait_ms=" + std::to_string(poll_wait.count() / 1000);
  call_ = connections_.call(
      request, poll_timeout,
      [this](http::CallResult how, http::Response&& response) { poll_ended(how, response); });
}

void HttpEndpointSource::poll_ended(http::CallResult how, const http::Response& response) {
  const bool succeeded =
      how == http::CallResult::answered && response.status == 200 && accept(response);
  set_failing(!succeeded, how, response);
  if (succeeded)
    backoff_.reset();
  poll_in(succeeded ? Duration(0) : backoff_.next_delay());
}

// Applies the response. Returns false if it is not valid.
bool HttpEndpointSource::accept(const http::Response& response) {
  registry::Update update;
  try {
    update = registry::decode(response.body);
  } catch (const json::DecodeError&) {
    return false;
  }
  const bool is_older = update.series == series_ && update.version < version_;
  if (is_older)
    return true;
  const bool is_new = update.complete || update.version > version_;
  series_ = update.series;
  version_ = update.version;
  if (is_new)
    on_update_(update);
  return true;
}

void HttpEndpointSource::set_failing(bool failing, http::CallResult how,
                                     const http::Response& response) {
  if (failing == failing_)
    return;
  failing_ = failing;
  const std::string address = connections_.peer().toString();
  if (failing)
    log_.warn("endpoint registry unreachable", {{"address", address},
                                                {"status", log::text(response.status)},
                                                {"ended", log::text(static_cast<int>(how))}});
  else
    log_.info("endpoint registry reachable again", {{"address", address}});
}

}  // namespace robinhoist::proxy
