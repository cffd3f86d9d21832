#include "policy/latency_check.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/quantile.h"

namespace robinhoist {

namespace {

constexpr double min_p99_samples = 100;
constexpr double p99_ceiling = 1;         // in latency objectives
constexpr double p99_baseline_ratio = 2;  // the canary's p99 must exceed this times the baseline's
// Thresholds of the difference between the mean logarithms of both cohorts.
constexpr double significant_difference = 0.42;
constexpr double suspicious_difference = 0.4;
constexpr double min_difference_after_window = 0.28;
constexpr double min_difference_before_window = 0.35;
// Widths of the confidence intervals, in standard errors.
constexpr double suspicious_errors = 1.7;
constexpr double errors_after_window = 2;
constexpr double errors_before_window = 3;
// Mean latency above which an endpoint is slow: for the canary relative to the baseline, for the
// baseline relative to the typical latency.
constexpr double slow_canary_ratio = 1.3;
constexpr double slow_baseline_ratio = 1.5;
constexpr double slow_baseline_samples = 2;
// Samples that an endpoint needs to be included, usually and for a canary with sparse samples.
constexpr double usual_endpoint_samples = 3;
constexpr double sparse_endpoint_samples = 1;
// Share of the canary's endpoints that must be slow, usually and with sparse samples.
constexpr double slow_share = 0.75;
constexpr double sparse_slow_share = 0.6;

bool enough_samples(const LatencyCohorts& cohorts, const StageProgress& stage) {
  return 2 * stage.baseline_endpoints >= stage.canary_endpoints &&
         cohorts.canary.total.latency_samples >= min_stage_attempts &&
         cohorts.baseline.total.latency_samples >= 2 * min_stage_attempts;
}

// Where many votes are needed, a canary with few samples on many endpoints is judged by a single
// sample of each endpoint.
double required_endpoint_samples(const CohortStatistics& canary, const CheckContext& context) {
  const bool sparse = context.many_votes &&
                      canary.total.latency_samples <
                          usual_endpoint_samples * static_cast<double>(canary.by_endpoint.size());
  return sparse ? sparse_endpoint_samples : usual_endpoint_samples;
}

long slow_endpoints(const CohortStatistics& cohort, double ratio, double min_samples) {
  return std::count_if(cohort.by_endpoint.begin(), cohort.by_endpoint.end(),
                       [=](const auto& entry) {
                         const AttemptTotals& totals = entry.second;
                         return totals.latency_samples >= min_samples &&
                                totals.sum_log_latency > std::log(ratio) * totals.latency_samples;
                       });
}

// A slow build affects most of its endpoints, whereas a faulty endpoint affects only itself. A
// single slow endpoint is no evidence while the baseline has a slow endpoint too.
bool most_endpoints_slow(const LatencyCohorts& cohorts, double min_samples) {
  const long slow = slow_endpoints(cohorts.canary, slow_canary_ratio, min_samples);
  const double share = min_samples > sparse_endpoint_samples ? slow_share : sparse_slow_share;
  if (cohorts.canary.endpoints_with_latencies(min_samples) * share > static_cast<double>(slow))
    return false;
  return slow > 1 ||
         slow_endpoints(cohorts.recent_baseline, slow_baseline_ratio, slow_baseline_samples) == 0;
}

// Standard error of the difference between the mean logarithms. It includes the variance between
// endpoints of the same build, which more answers from the same endpoints do not reduce.
double standard_error(const LatencyCohorts& cohorts, double min_samples) {
  const double between_endpoints = log_latency_stddev * log_latency_stddev *
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
  // The canary's latencies are relative to the baseline's of the same time, so their mean logarithm
  // is the difference between the cohorts.
  const double difference = cohorts.canary.total.mean_log_latency();
  const double error = standard_error(cohorts, min_samples);
  const double confidence = std::sqrt(std::log(context.significance) / std::log(false_alarm_rate));

  const double canary_p99 = p99(cohorts.canary.objective_ratios);
  const double baseline_p99 = p99(cohorts.baseline.objective_ratios);
  const bool p99_exceeded = cohorts.canary.total.latency_samples >= min_p99_samples &&
                            canary_p99 > p99_ceiling &&
                            canary_p99 > p99_baseline_ratio * baseline_p99;
  // A p99 of few answers can be due to a short disturbance of one endpoint, so the mean must be
  // higher too.
  if (p99_exceeded && difference > significant_difference && stage.window_over && most_slow)
    return CheckResult::failure(AnalysisReason::p99_latency, canary_p99, baseline_p99);

  const bool slower_after_window =
      stage.window_over && difference > significant_difference &&
      difference - errors_after_window * confidence * error > min_difference_after_window;
  const bool slower_before_window =
      difference - errors_before_window * confidence * error > min_difference_before_window;
  if (most_slow && (slower_after_window || slower_before_window))
    return CheckResult::failure(AnalysisReason::latency, std::exp(difference), std::exp(error));
  return CheckResult::not_failed(difference > suspicious_difference &&
                                 difference > suspicious_errors * error);
}

}  // namespace robinhoist
