/// Samples of attempts, and their sums for one cohort: the canary or the baseline.
#pragma once
#include <algorithm>
#include <cmath>
#include <string>

#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

// One judged attempt of an arm.
struct Sample {
  TimePoint at, sent;
  int endpoint, request_class, tenant;
  bool failed, lost, warm;
  double ratio, objective_ratio;  // latency over the request class's usual one, and over its
                                  // latency objective
};

// What is known of the release now offered, as judged from one arm's view.
struct AnalysisResult {
  Verdict verdict = Verdict::none;
  std::string why{};
};

// Sums over some samples: how many, how they ended, and the logarithms of their times.
struct Counts {
  double n = 0, failed = 0, lost = 0, timed = 0, sum = 0, squares = 0, whole = 0, near = 0, due = 0;
  void add(const Sample& sample, bool beside, double expected) {
    n += 1;
    near += beside;
    due += expected;
    failed += sample.failed;
    lost += sample.lost && beside;
  }
  void time(double log_ratio, double objective_ratio) {
    timed += 1;
    sum += log_ratio;
    squares += log_ratio * log_ratio;
    whole += std::log(std::clamp(objective_ratio, 0.001, 10.0));
  }
  double mean() const { return sum / timed; }
  double mean_log_objective_ratio() const { return whole / timed; }
  double doubt() const { return std::max(0.0, squares / timed - mean() * mean()) / timed; }
};

}  // namespace robinhoist
