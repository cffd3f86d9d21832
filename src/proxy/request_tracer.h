/// Records what happens to traced requests and reads traces back as JSON.
///
/// A request is traced if its client asked for it (W3C Trace Context) or if it was sampled. For all
/// others each call is one comparison.
#pragma once
#include <string>
#include <string_view>

#include "module_settings/module_settings.h"
#include "proxy/in_flight_requests.h"
#include "proxy/upstream_pool.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// The proxy's state when a request arrives, as its trace keeps it.
struct ArrivalContext {
  TimePoint now;
  const std::string& mode;  ///< the decision engine's view of the release
  std::size_t unanswered;   ///< requests open before this one
};

/// How a request ended, as its trace keeps it.
struct RequestEnd {
  const char* outcome;  ///< one of wire_names
  std::string reason{};
  int status = 0;
  Duration retry_after{};  ///< zero: none was given
};

class RequestTracer {
 public:
  /// `wall_start` is the wall-clock time of the loop's zero, so that traces of several proxies can
  /// be put in order.
  RequestTracer(std::string proxy_name, const tracing::Settings& settings, unsigned seed,
                WallTime wall_start, const module_settings::ModuleSettings& module_settings);

  void release_updated(const ReleaseUpdate& release) { release_ = release; }

  /// Decides whether the request is traced. If so, endpoints get its trace id.
  void accepted(InFlightRequest& request, const RequestInfo& info, std::string_view idempotency_key,
                const ArrivalContext& context);
  /// Called before the attempt is added to the request.
  void attempt_started(const InFlightRequest& request, const Upstream& upstream, Duration timeout,
                       TimePoint now) const;
  void attempt_cancelled(const InFlightRequest& request, std::size_t attempt,
                         const Upstream& upstream, TimePoint now) const;
  /// `used`: its response goes to the client.
  void attempt_ended(const InFlightRequest& request, AttemptId id, const Upstream& upstream,
                     int status, bool used, TimePoint now) const;
  void client_disconnected(const InFlightRequest& request, TimePoint now) const;
  void finished(const InFlightRequest& request, const RequestEnd& end, TimePoint now) const;

  /// The trace of a request, by the proxy's name for it or by its trace id. Empty: none is known.
  std::string json(const std::string& id) const;
  /// All traces, one JSON object a line.
  std::string all_json() const;

 private:
  std::string json(const tracing::Trace& trace) const;

  std::string proxy_name_;
  WallTime wall_start_;
  const module_settings::ModuleSettings& module_settings_;
  tracing::TraceStore traces_;
  ReleaseUpdate release_{};
};

}  // namespace robinhoist::proxy
