#include "policy/latency_check.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/quantile.h"

namespace robinhoist {

namespace {

constexpr double min_p99_samples = 100;
constexpr double p99_ceiling = 1;         // in latency objectives
constexpr double p99_baseline_ratio = 2;  // by how much the canary's must exceed the baseline's
// Thresholds of the difference of the mean logarithms of both cohorts.
constexpr double significant_difference = 0.42;
constexpr double suspicious_difference = 0.4;
constexpr double min_difference_after_window = 0.28;
constexpr double min_difference_before_window = 0.35;
// Widths of the confidence intervals, in standard errors.
constexpr double suspicious_errors = 1.7;
constexpr double errors_after_window = 2;
constexpr double errors_before_window = 3;
// An endpoint is slow from here on, relative to the baseline; one of the baseline, to its usual.
constexpr double slow_canary_ratio = 1.3;
constexpr double slow_baseline_ratio = 1.5;
constexpr double slow_baseline_samples = 2;
// Samples that an endpoint must have to count; one where the canary is spread thinly.
constexpr double usual_endpoint_samples = 3;
constexpr double thin_endpoint_samples = 1;
// Part of the canary's endpoints that must be slow.
constexpr double slow_share = 0.75;
constexpr double thin_slow_share = 0.6;

bool enough_samples(const LatencyCohorts& cohorts, const StageProgress& stage) {
  return 2 * stage.baseline_endpoints >= stage.canary_endpoints &&
         cohorts.canary.total.latency_samples >= min_stage_attempts &&
         cohorts.baseline.total.latency_samples >= 2 * min_stage_attempts;
}

// Of a build spread thinly over many endpoints one answer each must do.
double required_endpoint_samples(const CohortStatistics& canary, const CheckContext& context) {
  const bool thin = context.many_votes &&
                    canary.total.latency_samples <
                        usual_endpoint_samples * static_cast<double>(canary.by_endpoint.size());
  return thin ? thin_endpoint_samples : usual_endpoint_samples;
}

long slow_endpoints(const CohortStatistics& cohort, double ratio, double min_samples) {
  return std::count_if(cohort.by_endpoint.begin(), cohort.by_endpoint.end(),
                       [=](const auto& entry) {
                         const AttemptTotals& totals = entry.second;
                         return totals.latency_samples >= min_samples &&
                                totals.sum_log_latency > std::log(ratio) * totals.latency_samples;
                       });
}

// A build slows all its endpoints, a slow endpoint only itself. One endpoint alone proves nothing
// while one of the baseline is as slow.
bool most_endpoints_slow(const LatencyCohorts& cohorts, double min_samples) {
  const long slow = slow_endpoints(cohorts.canary, slow_canary_ratio, min_samples);
  const double share = min_samples > thin_endpoint_samples ? slow_share : thin_slow_share;
  if (cohorts.canary.endpoints_with_latencies(min_samples) * share > static_cast<double>(slow))
    return false;
  return slow > 1 ||
         slow_endpoints(cohorts.recent_baseline, slow_baseline_ratio, slow_baseline_samples) == 0;
}

// Standard error of the difference of the mean logarithms. Endpoints differ among themselves, so a
// few of them prove little, however many answers they gave.
double standard_error(const LatencyCohorts& cohorts, double min_samples) {
  const double between_endpoints = endpoint_spread * endpoint_spread *
                                   (1 / cohorts.canary.endpoints_with_latencies(min_samples) +
                                    1 / cohorts.baseline.endpoints_with_latencies(min_samples));
  return std::sqrt(cohorts.canary.total.mean_variance() + cohorts.baseline.total.mean_variance() +
                   between_endpoints);
}

double p99(std::vector<double> values) {
  return quantile(std::move(values), 0.99);
}

}  // namespace

CheckResult check_latency(const LatencyCohorts& cohorts, const StageProgress& stage,
                          const CheckContext& context) {
  if (!context.comparable || !enough_samples(cohorts, stage))
    return {};
  const double min_samples = required_endpoint_samples(cohorts.canary, context);
  const bool most_slow = most_endpoints_slow(cohorts, min_samples);
  // The canary's totals are relative to the baseline's of the same time, so this is a difference.
  const double difference = cohorts.canary.total.mean_log_latency();
  const double error = standard_error(cohorts, min_samples);
  const double confidence = std::sqrt(std::log(context.significance) / std::log(false_alarm_rate));

  const double canary_p99 = p99(cohorts.canary.objective_ratios);
  const double baseline_p99 = p99(cohorts.baseline.objective_ratios);
  const bool p99_exceeded = cohorts.canary.total.latency_samples >= min_p99_samples &&
                            canary_p99 > p99_ceiling &&
                            canary_p99 > p99_baseline_ratio * baseline_p99;
  // A p99 of so few answers is one endpoint's bad second; the middle must have moved too.
  if (p99_exceeded && difference > significant_difference && stage.window_over && most_slow)
    return CheckResult::failure(AnalysisReason::p99_latency, canary_p99, baseline_p99);

  const bool slower_after_window =
      stage.window_over && difference > significant_difference &&
      difference - errors_after_window * confidence * error > min_difference_after_window;
  const bool slower_beyond_doubt =
      difference - errors_before_window * confidence * error > min_difference_before_window;
  if (most_slow && (slower_after_window || slower_beyond_doubt))
    return CheckResult::failure(AnalysisReason::latency, std::exp(difference), std::exp(error));
  return CheckResult::undecided(difference > suspicious_difference &&
                                difference > suspicious_errors * error);
}

}  // namespace robinhoist
