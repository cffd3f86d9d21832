/// Typical latencies of each request class, learnt from recent answers, and what follows from them:
/// how slow an answer was, and when silence means that an endpoint does not respond.
#pragma once
#include <vector>

#include "policy/request.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns, for each request class, a window of recent latencies and one of latencies per millisecond
/// of hinted cost. Until the first answer a guess from the latency objective stands in.
class LatencyModel {
 public:
  explicit LatencyModel(const std::vector<RequestClass>& request_classes);

  /// Learns from an answer by a warm endpoint of a build that is not under analysis.
  /// A `cost_hint_ms` of zero means that the request carried none.
  void record(int request_class, Duration latency, double cost_hint_ms);

  /// The latency in milliseconds below which this fraction (0 to 1) of recent answers lies.
  double typical_ms(int request_class, double fraction);

  /// An answer's latency over the typical one, for its hinted cost where there is one.
  double latency_ratio(int request_class, Duration latency, double cost_hint_ms);

  /// An answer's latency over the class's latency objective.
  double objective_ratio(int request_class, Duration latency) const;

  /// How long an endpoint may leave an attempt unanswered before it counts as not responding; the
  /// same for all request classes.
  Duration response_timeout();

 private:
  std::vector<RequestClass> request_classes_;
  std::vector<QuantileWindow> latency_ms_;             // by request class
  std::vector<QuantileWindow> latency_per_cost_hint_;  // by request class
};

}  // namespace robinhoist
