/// Latency check of the canary analysis: whether the canary is slower than the baseline.
#pragma once
#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"

namespace robinhoist {

/// The progress of the current stage: its endpoints and its observation window.
struct StageProgress {
  TimePoint latest_start{};    ///< the start of the stage or of its last endpoint, if that is later
  int canary_endpoints = 0;    ///< listed endpoints of the canary's build
  int baseline_endpoints = 0;  ///< ready endpoints of older builds
  bool window_over = false;    ///< the observation window has passed since latest_start
};

/// The cohorts whose latencies are compared.
struct LatencyCohorts {
  const CohortStatistics& canary;
  const CohortStatistics& baseline;
  const CohortStatistics& recent_baseline;  ///< the baseline's samples of the last seconds
};

/// Compares the latencies of warm endpoints. First the p99 is compared with the latency objective,
/// then the mean of the whole distribution with the baseline's. The mean detects a slow build much
/// earlier, since a p99 of few answers is unreliable.
CheckResult check_latency(const LatencyCohorts& cohorts, const StageProgress& stage,
                          const CheckContext& context);

}  // namespace robinhoist
