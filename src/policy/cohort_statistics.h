/// Samples of ended attempts, and their sums over one cohort: the canary or the baseline.
///
/// A cohort is filled from a window of samples. The canary's is filled beside the baseline's, so
/// that each outcome is set against the baseline's outcomes of the same time.
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
  bool lost;               ///< no answer came
  bool warm;               ///< the endpoint had warmed up when the attempt was sent
  double latency_ratio;    ///< latency over the request class's typical one
  double objective_ratio;  ///< latency over the request class's latency objective
};

/// Sums over some samples: how many, how they ended, and the logarithms of their latencies.
/// Counts are doubles because all that follows is arithmetic of rates.
struct AttemptTotals {
  double attempts = 0;
  double failed = 0;
  double lost = 0;                     ///< only those paired with baseline outcomes
  double paired = 0;                   ///< with baseline outcomes of the same time
  double expected_failures = 0;        ///< at the baseline's failure rate of the same time
  double latency_samples = 0;          ///< warm ones that could be set against the baseline
  double sum_log_latency = 0;          ///< of latencies relative to the baseline's
  double sum_squared_log_latency = 0;  ///< their squares
  double sum_log_objective_ratio = 0;  ///< of latencies over the latency objective

  /// Counts one attempt, with the failure rate that the baseline had at the same time.
  void add_outcome(const Sample& sample, bool is_paired, double baseline_failure_rate);
  /// Counts the latency of one attempt.
  void add_latency(double log_latency, double objective_ratio);

  /// Mean logarithm of the latency; needs a latency sample, as the next two.
  double mean_log_latency() const { return sum_log_latency / latency_samples; }
  double mean_log_objective_ratio() const { return sum_log_objective_ratio / latency_samples; }
  /// Variance of mean_log_latency().
  double mean_variance() const;
  /// Whether enough of its attempts failed that an endpoint with these totals has a fault.
  bool unhealthy() const;
};

/// Whether to leave a sample out.
using SampleFilter = std::function<bool(const Sample&)>;

/// The filter that leaves nothing out.
bool exclude_none(const Sample& sample);

/// Totals of one cohort, as a whole and by the dimensions that the checks look at.
class CohortStatistics {
 public:
  explicit CohortStatistics(int request_classes) : by_request_class(request_classes) {}

  /// Adds the samples that ended at `from` or later and that `excluded` does not leave out. With a
  /// baseline, each is set against the baseline's outcomes of the same time.
  void add(const SlidingWindow<Sample>& samples, TimePoint from, const SampleFilter& excluded,
           const CohortStatistics* baseline = nullptr);

  /// How many endpoints gave at least so many latency samples; 1 at least.
  double endpoints_with_latencies(double min_samples) const;
  /// How many endpoints are unhealthy.
  long unhealthy_endpoints() const;

  AttemptTotals total{};
  std::map<int, AttemptTotals> by_endpoint{};
  std::map<int, AttemptTotals> by_tenant{};
  std::map<long, AttemptTotals> by_time_slot{};  ///< by when the attempt was sent
  std::vector<AttemptTotals> by_request_class;
  std::vector<double> objective_ratios{};  ///< of all warm samples, newest first

 private:
  void add_sample(const Sample& sample, const CohortStatistics* baseline);
};

}  // namespace robinhoist
