/// Plain arithmetic of the decision module: random draws, rates and tails of distributions. Free
/// functions without state.
#pragma once
#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "time/time_types.h"
#include "time/units.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// A draw from the uniform distribution over [0, 1).
inline double uniform_sample(std::minstd_rand& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Recent events per second: the window's size over the time since its oldest event.
inline double rate_of(const SlidingWindow<TimePoint>& events, TimePoint now) {
  constexpr double min_seconds = 0.2;  // a burst of few events is no rate yet
  if (events.size() == 0)
    return 0;
  const TimePoint oldest = events.back(events.size() - 1);
  return static_cast<double>(events.size()) / std::max(min_seconds, to_seconds(now - oldest));
}

/// Probability of `count` or more events where `expected` are due (Poisson).
inline double poisson_upper_tail(double count, double expected) {
  double term = std::exp(-expected);
  double below = 0;
  for (int i = 0; i < count; ++i) {
    below += term;
    term *= expected / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

/// Probability that `both` or more of `some` members are among the `marked` ones, when those are
/// picked at random from `all` members (hypergeometric).
inline double hypergeometric_upper_tail(int all, int some, int marked, int both) {
  const auto log_combinations = [](int n, int k) {
    return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
  };
  double sum = 0;
  for (int i = both; i <= std::min(some, marked); ++i)
    if (marked - i <= all - some)
      sum += std::exp(log_combinations(some, i) + log_combinations(all - some, marked - i) -
                      log_combinations(all, marked));
  return std::min(1.0, sum);
}

/// The fractional part of `number` times the golden ratio: consecutive numbers give points spread
/// evenly over [0, 1), however many are taken.
inline double golden_ratio_point(int number) {
  constexpr double golden_ratio = 0.6180339887498949;
  return number * golden_ratio - std::floor(number * golden_ratio);
}

}  // namespace robinhoist
