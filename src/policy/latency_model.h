/// Typical latencies of each request class, estimated from recent answers. From them follow the
/// relative latency of an answer and the time after which an endpoint counts as unresponsive.
#pragma once
#include <vector>

#include "policy/request.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns, for each request class, a window of recent latencies and one of latencies per millisecond
/// of hinted cost. Until the first answer, typical latencies are derived from the latency
/// objective.
class LatencyModel {
 public:
  explicit LatencyModel(const std::vector<RequestClass>& request_classes);

  /// Records the latency of an answer. The endpoint must be warm and its build not under analysis.
  /// A `cost_hint_ms` of zero means that the request had no cost hint.
  void record(int request_class, Duration latency, double cost_hint_ms);

  /// The quantile of recent latencies at this fraction (0 to 1), in milliseconds.
  double typical_ms(int request_class, double fraction);

  /// An answer's latency over the typical one, which depends on the cost hint if there is one.
  double latency_ratio(int request_class, Duration latency, double cost_hint_ms);

  /// An answer's latency over the class's latency objective.
  double objective_ratio(int request_class, Duration latency) const;

  /// The time after which an endpoint that has not answered an attempt counts as unresponsive; the
  /// same for all request classes.
  Duration response_timeout();

 private:
  std::vector<RequestClass> request_classes_;
  std::vector<QuantileWindow> latency_ms_;             // by request class
  std::vector<QuantileWindow> latency_per_cost_hint_;  // by request class
};

}  // namespace robinhoist
