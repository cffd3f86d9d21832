/// HTTP API of the endpoint registry. Proxies long-poll for changes.
///
/// - `GET /v1/nodes?series=S&since=V&wait_ms=N&umpire=NAME`: changes since V, or the complete list
/// - `PUT /v1/nodes`: adds or replaces an endpoint
/// - `DELETE /v1/nodes/NAME`: removes an endpoint
/// - `GET /health`
///
/// Changes can be delayed, to test proxies with a registry that lags behind.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "http/long_poll.h"
#include "http/server.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::registry {

class Service {
 public:
  /// Called with each update that is sent to a proxy.
  using OnSent = std::function<void(const std::string& proxy, const Update& update)>;

  /// Starts to serve. Throws std::runtime_error if the address is in use.
  Service(net::Loop& loop, const http::ServerSettings& server, const std::string& series,
          OnSent on_sent = {});
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void put(const Endpoint& entry);
  void set_phase(const std::string& name, EndpointPhase phase);
  void remove(const std::string& name);
  /// Delays all further changes by this time. Their order is kept.
  void set_delay(Duration delay) { delay_ = delay; }
  int port() const { return server_->port(); }
  const EndpointRegistry& registry() const { return registry_; }

 private:
  using Change = std::function<bool()>;  // returns whether anything changed
  void apply_after_delay(Change change);
  void notify_soon();

  void handle(const http::ExchangePtr& exchange);
  void poll(const http::ExchangePtr& exchange);
  void send_update(const http::LongPoll::Query& request);
  http::Response handle_put(const http::Request& request);

  net::Loop& loop_;
  EndpointRegistry registry_;
  OnSent on_sent_;
  Duration delay_{};
  TimePoint last_effective_at_{};  // when the last delayed change takes effect
  http::LongPoll waiting_polls_;
  net::Loop::Timer notify_timer_ = net::Loop::no_timer;
  std::unique_ptr<http::Server> server_;
};

}  // namespace robinhoist::registry
