#include "policy/cohort_statistics.h"

#include <algorithm>
#include <cmath>

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

// Attempts of both cohorts that were sent within one slot count as being of the same time.
constexpr Duration time_slot = 2s;
// Baseline samples that a slot needs for a comparison.
constexpr double min_slot_samples = 3;
constexpr double min_latency_ratio = 0.05;
constexpr double max_latency_ratio = 20;
constexpr double min_objective_ratio = 0.001;
constexpr double max_objective_ratio = 10;

constexpr double unhealthy_min_attempts = 3;
constexpr double unhealthy_min_failures = 2;
constexpr double unhealthy_failure_share = 0.12;

}  // namespace

void AttemptTotals::add_outcome(const Sample& sample, bool is_paired,
                                double baseline_failure_rate) {
  attempts += 1;
  paired += is_paired ? 1 : 0;
  expected_failures += baseline_failure_rate;
  failed += sample.failed ? 1 : 0;
  lost += sample.lost && is_paired ? 1 : 0;
}

void AttemptTotals::add_latency(double log_latency, double objective_ratio) {
  latency_samples += 1;
  sum_log_latency += log_latency;
  sum_squared_log_latency += log_latency * log_latency;
  sum_log_objective_ratio +=
      std::log(std::clamp(objective_ratio, min_objective_ratio, max_objective_ratio));
}

double AttemptTotals::mean_variance() const {
  const double mean = mean_log_latency();
  const double variance = sum_squared_log_latency / latency_samples - mean * mean;
  return std::max(0.0, variance) / latency_samples;
}

bool AttemptTotals::unhealthy() const {
  return attempts >= unhealthy_min_attempts &&
         failed + lost >= std::max(unhealthy_min_failures, unhealthy_failure_share * attempts);
}

bool exclude_none(const Sample& /*sample*/) {
  return false;
}

void CohortStatistics::add(const SlidingWindow<Sample>& samples, TimePoint from,
                           const SampleFilter& excluded, const CohortStatistics* baseline) {
  for (std::size_t age = 0; age < samples.size(); ++age) {
    const Sample& sample = samples.back(age);
    if (sample.ended_at < from)
      break;
    if (!excluded(sample))
      add_sample(sample, baseline);
  }
}

void CohortStatistics::add_sample(const Sample& sample, const CohortStatistics* baseline) {
  // Slots are by the time of sending. Errors arrive sooner than answers, so by the time of arrival
  // a new cohort would start with an excess of errors.
  const long slot = sample.sent_at.time_since_epoch() / time_slot;
  AttemptTotals same_time;
  if (baseline != nullptr) {
    const auto found = baseline->by_time_slot.find(slot);
    if (found != baseline->by_time_slot.end())
      same_time = found->second;
  }
  const bool paired = baseline == nullptr || same_time.attempts >= min_slot_samples;
  const double baseline_failure_rate =
      paired ? (same_time.failed + same_time.lost) / std::max(1.0, same_time.attempts) : 0;
  const bool has_latency =
      sample.warm && (baseline == nullptr || same_time.latency_samples >= min_slot_samples);
  const double baseline_log_latency =
      same_time.latency_samples > 0 ? same_time.mean_log_latency() : 0;
  const double log_latency =
      std::log(std::clamp(sample.latency_ratio, min_latency_ratio, max_latency_ratio)) -
      baseline_log_latency;
  for (AttemptTotals* totals :
       {&by_endpoint[sample.endpoint], &by_request_class[sample.request_class],
        &by_tenant[sample.tenant], &by_time_slot[slot], &total}) {
    totals->add_outcome(sample, paired, baseline_failure_rate);
    if (has_latency)
      totals->add_latency(log_latency, sample.objective_ratio);
  }
  if (sample.warm)
    objective_ratios.push_back(sample.objective_ratio);
}

double CohortStatistics::endpoints_with_latencies(double min_samples) const {
  const auto enough = [min_samples](const auto& entry) {
    return entry.second.latency_samples >= min_samples;
  };
  const auto endpoints = std::count_if(by_endpoint.begin(), by_endpoint.end(), enough);
  return std::max(1.0, static_cast<double>(endpoints));
}

long CohortStatistics::unhealthy_endpoints() const {
  return std::count_if(by_endpoint.begin(), by_endpoint.end(),
                       [](const auto& entry) { return entry.second.unhealthy(); });
}

}  // namespace robinhoist
