/// The host of the decision engine on sockets.
///
/// It tells the engine what happens (requests, ends of attempts, updates of endpoints and releases)
/// and carries out what the engine decides. It makes no decision itself: no choice of endpoint, no
/// timeout, no retry. Everything runs on the thread of the loop.
///
/// Shutdown in two steps: begin_shutdown() while new clients may still come, then drain().
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "endpoint_cache/endpoint_cache.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "log/logger.h"
#include "module_settings/module_settings.h"
#include "policy/decision_engine.h"
#include "proxy/client_outcome_reporter.h"
#include "proxy/drain_monitor.h"
#include "proxy/endpoint_source.h"
#include "proxy/in_flight_requests.h"
#include "proxy/protocol.h"
#include "proxy/proxy_counters.h"
#include "proxy/readiness.h"
#include "proxy/release_source.h"
#include "proxy/request_tracer.h"
#include "proxy/upstream_pool.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// The host's own settings. Those of the decision engine are module_settings::ModuleSettings.
struct RouterSettings {
  std::string name{};
  std::string endpoint_cache_file{};  ///< empty: endpoints are not cached
  unsigned seed = 1;                  ///< seed of the random generators
  http::ServerSettings server{};
  http::ConnectionPoolSettings upstream{};
  tracing::Settings trace{};
};

class Router {
 public:
  /// All references outlive the router.
  Router(net::Loop& loop, const RouterSettings& settings,
         const module_settings::ModuleSettings& module_settings, const Protocol& protocol,
         const log::Logger& log, EndpointSource& endpoints, ReleaseSource& releases);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Accepts requests from now on. Throws std::runtime_error if the address is taken.
  void start();
  /// Goes on accepting requests, but asks each client to disconnect: others may still be on their
  /// way here.
  void begin_shutdown();
  /// Accepts no more; `done` runs once no client is owed a response.
  void drain(std::function<void()> done);

  /// Applies a list of endpoints from before the start, which may be out of date.
  void use_cached_endpoints(const registry::Update& update);
  /// A client reports that a response of that endpoint was wrong. False: no such endpoint.
  bool report_wrong_answer(const std::string& endpoint);

  int port() const { return server_->port(); }
  /// Requests without a response yet.
  std::size_t open_requests() const { return in_flight_.unanswered(); }
  /// Requests that are not forgotten, including answered ones with open attempts.
  std::size_t tracked_requests() const { return in_flight_.size(); }
  /// Slots for endpoints, including those to be used again.
  std::size_t upstream_slots() const { return upstreams_.slots().size(); }
  std::size_t clients() const { return server_ ? server_->clients() : 0; }
  const ProxyCounters& counters() const { return counters_; }
  const RequestTracer& tracer() const { return tracer_; }
  /// JSON, see proxy/status_report.h.
  std::string status() const;

 private:
  // Requests from clients.
  void handle(const http::ExchangePtr& exchange);
  void accept(const http::ExchangePtr& exchange, ParsedRequest parsed);
  void reject_before_routing(const http::ExchangePtr& exchange, const Rejection& rejection);
  void client_disconnected(int request_id);
  bool ready() const;

  // Updates from the sources.
  void load_endpoint_cache();
  void endpoints_updated(const registry::Update& update, bool cached);
  void release_updated(const ReleaseUpdate& release);
  void assume_lowest_build_released();

  // Decisions of the engine.
  void run_engine();
  void carry_out(const Decision& decision);
  void forward(const Decision& decision);
  void reject(const Decision& decision);
  void fail(const Decision& decision);
  void cancel(const Decision& decision);
  void vote(const Decision& decision);
  void schedule_engine(Duration delay);
  void set_mode(const Decision& decision);

  // Ends of attempts and requests.
  void attempt_ended(AttemptId id, const AttemptResult& result, http::Response&& response);
  void finish(InFlightRequest& request, http::Response response, const RequestEnd& end);
  void withdraw_unsent_attempts(int request_id);
  void recall_unsent_attempts(const std::function<bool(const InFlightAttempt&)>& outdated);
  void forget_if_done(int request_id);

  net::Loop& loop_;
  RouterSettings settings_;
  module_settings::ModuleSettings module_settings_;
  const Protocol& protocol_;
  const log::Logger& log_;
  EndpointSource& endpoint_source_;
  ReleaseSource& release_source_;
  WallTime wall_start_;  // wall-clock time of the loop's zero
  DecisionEngine engine_;
  ProxyCounters counters_{};
  RequestTracer tracer_;
  std::unique_ptr<http::Server> server_{};
  std::unique_ptr<endpoint_cache::CacheWriter> cache_writer_{};
  UpstreamPool upstreams_;
  InFlightRequests in_flight_{};
  DrainMonitor drain_monitor_;
  ClientOutcomeReporter outcome_reporter_;
  Readiness readiness_{};
  net::Loop::Timer engine_timer_ = net::Loop::no_timer;
  bool engine_running_ = false;
  std::string mode_{};  // the engine's view of the release as the REST API words it
};

}  // namespace robinhoist::proxy
