/// Endpoints from this project's registry, by HTTP long polling: the registry responds when the
/// list has changed or the wait time has passed.
#pragma once
#include <cstdint>
#include <string>

#include "http/connection_pool.h"
#include "log/logger.h"
#include "proxy/endpoint_source.h"
#include "retry/backoff.h"

namespace robinhoist::proxy {

class HttpEndpointSource : public EndpointSource {
 public:
  /// `address` is the address of the registry, `proxy` the name under which this proxy polls it.
  HttpEndpointSource(net::Loop& loop, const std::string& address, std::string proxy, unsigned seed,
                     const log::Logger& log);
  ~HttpEndpointSource() override;
  HttpEndpointSource(const HttpEndpointSource&) = delete;
  HttpEndpointSource& operator=(const HttpEndpointSource&) = delete;

  void start(OnUpdate on_update) override;
  void refresh() override;

 private:
  void poll();
  void poll_in(Duration delay);
  void poll_ended(http::CallResult how, const http::Response& response);
  bool accept(const http::Response& response);
  void set_failing(bool failing, http::CallResult how, const http::Response& response);

  net::Loop& loop_;
  std::string proxy_;
  const log::Logger& log_;
  http::ConnectionPool connections_;
  retry::Backoff backoff_;
  OnUpdate on_update_{};
  std::string series_{};      // of the known list; empty if none is known
  std::int64_t version_ = 0;  // of the known list within its series
  http::ConnectionPool::Id call_ = 0;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  bool failing_ = false;
};

}  // namespace robinhoist::proxy
