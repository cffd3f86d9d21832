/// Latency check of the canary analysis: whether the canary is slower than the baseline.
#pragma once
#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"

namespace robinhoist {

/// Where the present stage stands: its endpoints and its observation window.
struct StageProgress {
  TimePoint latest_start{};    ///< of the stage, or of its last endpoint
  int canary_endpoints = 0;    ///< listed ones of the canary's build
  int baseline_endpoints = 0;  ///< ready ones of older builds
  bool window_over = false;    ///< the observation window has passed since latest_start
};

/// The cohorts that latencies are compared between.
struct LatencyCohorts {
  const CohortStatistics& canary;
  const CohortStatistics& baseline;
  const CohortStatistics& recent_baseline;  ///< the baseline of the last seconds
};

/// Compares warm endpoints only: first the p99 against its ceiling, the latency objective, then
/// the whole distribution against the baseline's, which shows a slow build long before a p99 of a
/// few answers can.
CheckResult check_latency(const LatencyCohorts& cohorts, const StageProgress& stage,
                          const CheckContext& context);

}  // namespace robinhoist
