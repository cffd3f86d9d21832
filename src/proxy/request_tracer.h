/// Records the events of traced requests and returns traces as JSON.
///
/// A request is traced if its client requested it (W3C Trace Context) or if the proxy sampled it.
/// For all others, each call costs one comparison.
#pragma once
#include <string>
#include <string_view>

#include "module_settings/module_settings.h"
#include "proxy/in_flight_requests.h"
#include "proxy/upstream_pool.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// The proxy's state when a request arrives, as recorded in its trace.
struct ArrivalContext {
  TimePoint now;
  const std::string& mode;  ///< of the canary analysis
  std::size_t unanswered;   ///< requests open before this one
};

/// How a request ended, as recorded in its trace.
struct RequestEnd {
  const char* outcome;  ///< one of wire_names
  std::string reason{};
  int status = 0;
  Duration retry_after{};  ///< zero if the response has no Retry-After
};

class RequestTracer {
 public:
  /// `wall_start` is the wall-clock time of the loop's time zero. It makes the traces of several
  /// proxies comparable.
  RequestTracer(std::string proxy_name, const tracing::Settings& settings, unsigned seed,
                WallTime wall_start, const module_settings::ModuleSettings& module_settings);

  void release_updated(const ReleaseUpdate& release) { release_ = release; }

  /// Decides whether the request is traced. If so, its trace id is forwarded to endpoints.
  void accepted(InFlightRequest& request, const RequestInfo& info, std::string_view idempotency_key,
                const ArrivalContext& context);
  /// Called before the attempt is added to the request.
  void attempt_started(const InFlightRequest& request, const Upstream& upstream, Duration timeout,
                       TimePoint now) const;
  void attempt_cancelled(const InFlightRequest& request, std::size_t attempt,
                         const Upstream& upstream, TimePoint now) const;
  /// `used` is whether the response is returned to the client.
  void attempt_ended(const InFlightRequest& request, AttemptId id, const Upstream& upstream,
                     int status, bool used, TimePoint now) const;
  void client_disconnected(const InFlightRequest& request, TimePoint now) const;
  void finished(const InFlightRequest& request, const RequestEnd& end, TimePoint now) const;

  /// The trace of a request, by the proxy's name for it or by trace id. Empty if there is none.
  std::string json(const std::string& id) const;
  /// All traces, one JSON object per line.
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
