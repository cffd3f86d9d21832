/// Stateless statistical functions of the decision module: random draws, rates and tails of
/// distributions.
#pragma once
#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "time/time_types.h"
#include "time/units.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// A sample of the uniform distribution over [0, 1).
inline double uniform_sample(std::minstd_rand& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Recent events per second: the number of events in the window over the time since the oldest one.
inline double rate_of(const SlidingWindow<TimePoint>& events, TimePoint now) {
  constexpr double min_seconds = 0.2;  // avoids an excessive rate after a short burst
  if (events.size() == 0)
    return 0;
  const TimePoint oldest = events.back(events.size() - 1);
  return static_cast<double>(events.size()) / std::max(min_seconds, to_seconds(now - oldest));
}

/// Probability of `count` or more events in a Poisson distribution with mean `expected`.
inline double poisson_upper_tail(double count, double expected) {
  double term = std::exp(-expected);
  double below = 0;
  for (int i = 0; i < count; ++i) {
    below += term;
    term *= expected / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

/// Probability that a random sample of `draws` members out of `population` contains at least `hits`
/// of the `successes` members that the population contains (hypergeometric distribution).
inline double hypergeometric_upper_tail(int population, int successes, int draws, int hits) {
  const auto log_combinations = [](int n, int k) {
    return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
  };
  double sum = 0;
  for (int i = hits; i <= std::min(successes, draws); ++i)
    if (draws - i <= population - successes)
      sum += std::exp(log_combinations(successes, i) +
                      log_combinations(population - successes, draws - i) -
                      log_combinations(population, draws));
  return std::min(1.0, sum);
}

/// The fractional part of `number` times the golden ratio. The points of consecutive numbers are
/// spread evenly over [0, 1), whatever their count (a low-discrepancy sequence).
inline double golden_ratio_point(int number) {
  constexpr double golden_ratio = 0.6180339887498949;
  return number * golden_ratio - std::floor(number * golden_ratio);
}

}  // namespace robinhoist
