/// Samples of ended attempts, and their sums over one cohort: the canary or the baseline.
///
/// A cohort is filled from a window of samples. The baseline's cohort is filled first; the canary's
/// samples are then compared with the baseline's samples of the same time.
#pragma once
#include <functional>
#include <map>
#include <vector>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// One ended attempt as evidence on the build that served it.
struct Sample {
  TimePoint ended_at;
  TimePoint sent_at;
  int endpoint;
  int request_class;
  int tenant;
  bool failed;             ///< the endpoint answered with an error
  bool lost;               ///< no answer arrived
  bool warm;               ///< the endpoint had warmed up when the attempt was sent
  double latency_ratio;    ///< latency over the request class's typical one
  double objective_ratio;  ///< latency over the request class's latency objective
};

/// Sums over a set of samples: their number, their outcomes, and the logarithms of their latencies.
/// Counts are doubles because they are used to compute rates.
struct AttemptTotals {
  double attempts = 0;
  double failed = 0;
  double lost = 0;                     ///< paired attempts only
  double paired = 0;                   ///< attempts with baseline outcomes of the same time
  double expected_failures = 0;        ///< at the baseline's failure rate of the same time
  double latency_samples = 0;          ///< warm attempts with baseline latencies of the same time
  double sum_log_latency = 0;          ///< of latencies relative to the baseline's
  double sum_squared_log_latency = 0;  ///< of the same logarithms, squared
  double sum_log_objective_ratio = 0;  ///< of latencies over the latency objective

  /// Counts one attempt, with the failure rate that the baseline had at the same time.
  void add_outcome(const Sample& sample, bool is_paired, double baseline_failure_rate);
  /// Counts the latency of one attempt.
  void add_latency(double log_latency, double objective_ratio);

  /// Mean logarithm of the latency. This and the next two functions require a latency sample.
  double mean_log_latency() const { return sum_log_latency / latency_samples; }
  double mean_log_objective_ratio() const { return sum_log_objective_ratio / latency_samples; }
  /// Variance of mean_log_latency().
  double mean_variance() const;
  /// Whether so many attempts failed that an endpoint with these totals counts as faulty.
  bool unhealthy() const;
};

/// Returns true for samples to exclude.
using SampleFilter = std::function<bool(const Sample&)>;

/// The filter that excludes no sample.
bool exclude_none(const Sample& sample);

/// Totals of one cohort, overall and by the dimensions that the checks use.
class CohortStatistics {
 public:
  explicit CohortStatistics(int request_classes) : by_request_class(request_classes) {}

  /// Adds the samples that ended at `from` or later, except those that `excluded` selects. With a
  /// baseline, each sample is compared with the baseline's samples of the same time.
  void add(const SlidingWindow<Sample>& samples, TimePoint from, const SampleFilter& excluded,
           const CohortStatistics* baseline = nullptr);

  /// The number of endpoints with at least `min_samples` latency samples, but at least 1.
  double endpoints_with_latencies(double min_samples) const;
  /// The number of unhealthy endpoints.
  long unhealthy_endpoints() const;

  AttemptTotals total{};
  std::map<int, AttemptTotals> by_endpoint{};
  std::map<int, AttemptTotals> by_tenant{};
  std::map<long, AttemptTotals> by_time_slot{};  ///< by the time slot in which it was sent
  std::vector<AttemptTotals> by_request_class;
  std::vector<double> objective_ratios{};  ///< of all warm samples, newest first

 private:
  void add_sample(const Sample& sample, const CohortStatistics* baseline);
};

}  // namespace robinhoist
