/// The endpoint registry over HTTP: endpoints are put and removed; proxies long-poll for what has
/// changed.
///
///   GET    /v1/nodes?series=S&since=V&wait_ms=N&umpire=NAME   the changes since V, or all
///   PUT    /v1/nodes                                          one endpoint as JSON
///   DELETE /v1/nodes/NAME
///
/// Updates can be told later than they came, to try out how proxies bear a registry that lags.
#pragma once
#include <functional>

#include "http/long_poll.h"
#include "http/server.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::registry {

class Service {
 public:
  // Called with each answer that leaves for an proxy.
  using Told = std::function<void(const std::string& proxy, const Update& news)>;
  Service(net::Loop& loop, const http::ServerSettings& server, const std::string& series,
          Told told = {});
  ~Service();

  void put(const Endpoint& entry);
  void phase(const std::string& name, EndpointPhase phase);
  void remove(const std::string& name);
  // From here on what is put is told so much later.
  void told_after(Duration lag) { lag_ = lag; }
  int port() const { return server_->port(); }
  const EndpointRegistry& registry() const { return registry_; }

 private:
  void handle(const http::ExchangePtr& exchange);
  void ask(const http::ExchangePtr& exchange);
  void answer(const http::LongPoll::Query& asked);
  void later(std::function<bool()> change);
  void wake();

  net::Loop& loop_;
  EndpointRegistry registry_;
  Told told_;
  Duration lag_{};
  TimePoint last_due_{};
  http::LongPoll waiting_;
  net::Loop::Timer wake_ = net::Loop::no_timer;
  std::unique_ptr<http::Server> server_;
};

}  // namespace robinhoist::registry
