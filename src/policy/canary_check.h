/// Common parts of the checks of the canary analysis: their result, their context, and the
/// thresholds that several of them use.
#pragma once
#include "policy/analysis_report.h"

namespace robinhoist {

/// Attempts of the canary that a stage needs before it is judged.
inline constexpr double min_stage_attempts = 10;
/// The false alarm rate allowed to a proxy whose vote alone rolls back a release.
inline constexpr double false_alarm_rate = 0.001;
/// The share of failed attempts above which a build is bad.
inline constexpr double failure_threshold = 0.03;

/// Standard deviation of the logarithm of the latency between endpoints of the same build, effects
/// of load included.
inline constexpr double log_latency_stddev = 0.22;

/// The outcome of one check.
enum class CheckOutcome {
  passed,
  suspicious,  ///< undecided: the evidence suffices to hold the release, not to roll it back
  failed,      ///< the release is to be rolled back
};

/// The result of one check. Reason and figures are set only if it failed.
struct CheckResult {
  CheckOutcome outcome = CheckOutcome::passed;
  AnalysisReason reason = AnalysisReason::none;
  double observed = 0;
  double reference = 0;

  /// A failed check with its evidence.
  static CheckResult failure(AnalysisReason reason, double observed, double reference) {
    return {CheckOutcome::failed, reason, observed, reference};
  }
  /// A suspicious result if `suspicious`, else a passed one.
  static CheckResult not_failed(bool suspicious) {
    return {suspicious ? CheckOutcome::suspicious : CheckOutcome::passed};
  }
  bool failed() const { return outcome == CheckOutcome::failed; }
};

/// Properties of the release and of the vote on it that the checks depend on.
struct CheckContext {
  double significance;  ///< a check fails at p-values below this
  bool many_votes;      ///< a roll-back needs the votes of more than one proxy
  bool comparable;      ///< the baseline still serves enough traffic to compare the canary with
};

}  // namespace robinhoist
