/// Plain arithmetic of the decision module: unit conversions, tails of distributions, quantiles.
#pragma once
#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

inline double to_seconds(Duration s) {
  return std::chrono::duration<double>(s).count();
}
inline double to_millis(Duration s) {
  return to_seconds(s) * 1e3;
}
inline Duration from_millis(double ms) {
  return Duration(static_cast<long long>(ms * 1e3));
}
inline double uniform_sample(std::minstd_rand& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// How many of these come in a second of late.
inline double rate_of(const SlidingWindow<TimePoint>& of, TimePoint now) {
  return of.size() == 0 ? 0 : of.size() / std::max(0.2, to_seconds(now - of.back(of.size() - 1)));
}

// Chance of k or more rare events where `expected` are due (Poisson).
inline double poisson_upper_tail(double k, double expected) {
  double term = std::exp(-expected), below = 0;
  for (int i = 0; i < k; ++i) {
    below += term;
    term *= expected / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

// Chance that `both` or more of `some` are among the `marked` when these are picked blindly from
// `all`.
inline double hypergeometric_upper_tail(int all, int some, int marked, int both) {
  auto ways = [](int n, int k) {
    return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
  };
  double sum = 0;
  for (int i = both; i <= std::min(some, marked); ++i)
    if (marked - i <= all - some)
      sum += std::exp(ways(some, i) + ways(all - some, marked - i) - ways(all, marked));
  return std::min(1.0, sum);
}

// The value below which this part of the values lies; reorders them.
inline double quantile(std::vector<double>& values, double part) {
  auto at = values.begin() + static_cast<long>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

inline int count(const SlidingWindow<char>& of) {
  int sum = 0;
  for (std::size_t i = 0; i < of.size(); ++i)
    sum += of.back(i);
  return sum;
}

// Points spread evenly over 0 to 1, however many are taken in a row.
inline double golden_part(int n) {
  return n * 0.6180339887498949 - std::floor(n * 0.6180339887498949);
}

}  // namespace robinhoist
