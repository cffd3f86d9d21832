/// Runs the decision engine with real clients and endpoints on sockets.
///
/// The router passes events to the engine (requests, ends of attempts, updates of endpoints and
/// releases) and carries out the engine's decisions. It makes no decisions itself: endpoints,
/// timeouts and retries are chosen by the engine. Everything runs on the thread of the loop.
///
/// Shutdown has two steps: begin_shutdown() while new clients may still connect, then drain().
#pragma once
#include <cstddef>
#include <functional>
#include <limits>
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
#include "proxy/recent_ids.h"
#include "proxy/release_source.h"
#include "proxy/request_log.h"
#include "proxy/request_tracer.h"
#include "proxy/upstream_pool.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// Settings of the router itself. Those of the decision engine are in
/// module_settings::ModuleSettings.
struct RouterSettings {
  std::string name{};
  std::string endpoint_cache_file{};  ///< empty if endpoints are not cached
  unsigned seed = 1;                  ///< of the random generators
  http::ServerSettings server{};
  http::ConnectionPoolSettings upstream{};
  tracing::Settings trace{};
  std::size_t max_endpoints = std::numeric_limits<std::size_t>::max();
};

class Router {
 public:
  /// All referenced objects must outlive the router.
  Router(net::Loop& loop, const RouterSettings& settings,
         const module_settings::ModuleSettings& module_settings, const Protocol& protocol,
         const log::Logger& log, EndpointSource& endpoints, ReleaseSource& releases);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Starts to accept requests. Throws std::runtime_error if the address is in use.
  void start();
  /// Asks each client to disconnect, but keeps accepting requests, because new clients may still
  /// connect.
  void begin_shutdown();
  /// Accepts no more requests. `done` runs once all open requests are answered and all clients
  /// disconnected.
  void drain(std::function<void()> done);

  /// Applies an endpoint list that was stored before the start and may be out of date.
  void use_cached_endpoints(const registry::Update& update);
  /// Reports that a client found a response of this endpoint wrong, to an attempt that was sent
  /// this long ago. A report about an earlier process of the endpoint is only counted, because the
  /// endpoint may run another build now. Returns false if the endpoint is not known.
  bool report_wrong_answer(const std::string& endpoint, Duration ago);

  int port() const { return server_->port(); }
  /// Number of requests without a response yet.
  std::size_t open_requests() const { return in_flight_.unanswered(); }
  /// Number of tracked requests, including answered ones with open attempts.
  std::size_t tracked_requests() const { return in_flight_.size(); }
  /// Number of endpoint slots, including free ones.
  std::size_t upstream_slots() const { return upstreams_.slots().size(); }
  std::size_t clients() const { return server_ ? server_->clients() : 0; }
  const ProxyCounters& counters() const { return counters_; }
  /// The router must have been started.
  const http::ServerCounters& server_counters() const { return server_->counters(); }
  /// The memory held for clients and endpoints. There must be a budget in the settings.
  const http::MemoryBudget& memory() const { return *settings_.server.memory; }
  const RequestTracer& tracer() const { return tracer_; }
  /// JSON, see proxy/status_report.h.
  std::string status() const;

 private:
  // Requests from clients.
  void handle(const http::ExchangePtr& exchange);
  bool is_repeated_id(const std::string& client_id);
  void accept(const http::ExchangePtr& exchange, ParsedRequest parsed);
  void reject_before_routing(const http::ExchangePtr& exchange, std::string_view client_id,
                             const Rejection& rejection);
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
  WallTime wall_start_;  // wall-clock time of the loop's time zero
  DecisionEngine engine_;
  ProxyCounters counters_{};
  RequestLog request_log_;
  RequestTracer tracer_;
  std::unique_ptr<http::Server> server_{};
  std::unique_ptr<endpoint_cache::CacheWriter> cache_writer_{};
  UpstreamPool upstreams_;
  InFlightRequests in_flight_{};
  RecentIds recent_client_ids_;
  DrainMonitor drain_monitor_;
  ClientOutcomeReporter outcome_reporter_;
  Readiness readiness_{};
  net::Loop::Timer engine_timer_ = net::Loop::no_timer;
  bool engine_running_ = false;
  std::string mode_{};  // of the canary analysis, in the wording of the REST API
};

}  // namespace robinhoist::proxy
