/// What the checks of the canary analysis have in common: their result, what they are told of the
/// release, and the limits that several of them use.
#pragma once
#include "policy/analysis_report.h"

namespace robinhoist {

/// Attempts that a stage must have seen before it is judged.
inline constexpr double min_stage_attempts = 10;
/// The rate of false alarms that a proxy may cause where its vote alone rolls back.
inline constexpr double false_alarm_rate = 0.001;
/// The share of failed attempts from which a build is bad.
inline constexpr double failure_threshold = 0.03;

/// Standard deviation of the logarithm of an endpoint's latency, load included.
inline constexpr double endpoint_spread = 0.22;

/// How a test ended, from harmless to harmful.
enum class CheckOutcome {
  passed,
  suspicious,  ///< not decided: reason enough to hold, but not to roll back
  failed,      ///< reason to roll back
};

/// The result of one test. Reason and figures count only for a failed one.
struct CheckResult {
  CheckOutcome outcome = CheckOutcome::passed;
  AnalysisReason reason = AnalysisReason::none;
  double observed = 0;
  double reference = 0;

  /// A failed test with the evidence behind it.
  static CheckResult failure(AnalysisReason reason, double observed, double reference) {
    return {CheckOutcome::failed, reason, observed, reference};
  }
  /// An undecided test if `suspicious`, else a passed one.
  static CheckResult undecided(bool suspicious) {
    return {suspicious ? CheckOutcome::suspicious : CheckOutcome::passed};
  }
  bool failed() const { return outcome == CheckOutcome::failed; }
};

/// What the checks are told of the release and of this proxy's weight in the vote on it.
struct CheckContext {
  double significance;  ///< p-value under which this proxy's evidence speaks
  bool many_votes;      ///< more than one vote must stand before the release is rolled back
  bool comparable;      ///< enough of the baseline still serves to compare the canary with
};

}  // namespace robinhoist
