#include "policy/failure_check.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

namespace {

// Thresholds without a comparable baseline: only very many failures are evidence then.
constexpr double unpaired_failure_threshold = 0.2;
constexpr double unpaired_min_failures = 8;
constexpr double min_failures = 3;
constexpr double suspicious_failures = 2;
constexpr double suspicious_p_value = 0.03;
// Lower bound and prior of the baseline's failure rate.
constexpr double min_baseline_rate = 0.01;
constexpr double prior_failures = 0.5;
constexpr double prior_attempts = 25;

// Whether failures are spread over more than 30% of the canary's endpoints. Failures of fewer
// endpoints can be faults of these endpoints.
bool failures_widespread(const CohortStatistics& canary) {
  const long failing = std::count_if(canary.by_endpoint.begin(), canary.by_endpoint.end(),
                                     [](const auto& entry) { return entry.second.failed > 0; });
  return 10 * failing > 3 * static_cast<long>(canary.by_endpoint.size());
}

// Whether there are enough failures to be evidence. Unless the canary's attempts are paired with
// those of the baseline, many failures on many endpoints are required, because overload and network
// partitions cause failures too.
bool enough_failures(double failed, double attempts, bool paired, bool widespread,
                     const CheckContext& context) {
  if (paired)
    return failed >= min_failures && failed > failure_threshold * attempts;
  const double threshold = unpaired_failure_threshold / (context.many_votes ? 2 : 1);
  return widespread && failed >= unpaired_min_failures && failed > threshold * attempts;
}

CheckOutcome judge_failures(const AttemptTotals& canary, const AttemptTotals& baseline,
                            bool widespread, const CheckContext& context) {
  const bool paired = context.comparable && 2 * canary.paired >= canary.attempts;
  const double failed = canary.failed + (paired ? canary.lost : 0);
  const double baseline_failed = baseline.failed + (paired ? baseline.lost : 0);
  const double baseline_rate = std::max(
      min_baseline_rate, (baseline_failed + prior_failures) / (baseline.attempts + prior_attempts));
  const double expected =
      std::max(baseline_rate * canary.attempts, paired ? canary.expected_failures : 0);
  const double p_value = poisson_upper_tail(failed, expected);
  // Below the minimum of attempts only very improbable failures count. They must count, because
  // load balancing soon avoids such endpoints and the minimum might never be reached.
  const double significance =
      canary.attempts >= min_stage_attempts ? context.significance : context.significance / 10;
  if (enough_failures(failed, canary.attempts, paired, widespread, context) &&
      p_value < significance)
    return CheckOutcome::failed;
  return failed >= suspicious_failures && p_value < suspicious_p_value ? CheckOutcome::suspicious
                                                                       : CheckOutcome::passed;
}

}  // namespace

CheckResult check_failures(const CohortStatistics& canary, const CohortStatistics& baseline,
                           const CheckContext& context) {
  const bool widespread = failures_widespread(canary);
  const CheckOutcome overall = judge_failures(canary.total, baseline.total, widespread, context);
  if (overall == CheckOutcome::failed)
    return CheckResult::failure(AnalysisReason::failures, canary.total.failed + canary.total.lost,
                                canary.total.attempts);
  bool suspicious = overall == CheckOutcome::suspicious;
  for (std::size_t index = 0; index < canary.by_request_class.size(); ++index) {
    const AttemptTotals& totals = canary.by_request_class[index];
    const CheckOutcome outcome =
        judge_failures(totals, baseline.by_request_class[index], widespread, context);
    if (outcome == CheckOutcome::failed)
      return CheckResult::failure(AnalysisReason::request_class_failures,
                                  totals.failed + totals.lost, totals.attempts);
    suspicious |= outcome == CheckOutcome::suspicious;
  }
  return CheckResult::not_failed(suspicious);
}

}  // namespace robinhoist
