/// Exponential backoff with jitter between attempts to reach a peer. It reads no clock.
#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "time/time_types.h"

namespace robinhoist::retry {

/// The delay doubles from `min` to `max` with each failure. Half of each delay is randomized, so
/// that clients that failed at the same time do not retry at the same time.
class Backoff {
 public:
  /// `seed` should differ between the instances that retry against the same peer.
  Backoff(Duration min, Duration max, unsigned seed)
      : min_(min), max_(max), next_(min), random_(seed) {}

  /// The delay before the next attempt, after one that failed.
  Duration next_delay() {
    const Duration full = next_;
    next_ = std::min(2 * next_, max_);
    const double fraction = std::uniform_real_distribution<double>(0.5, 1)(random_);
    return Duration(static_cast<std::int64_t>(static_cast<double>(full.count()) * fraction));
  }

  /// An attempt succeeded: the next delay is `min` again.
  void reset() { next_ = min_; }

 private:
  Duration min_;
  Duration max_;
  Duration next_;
  std::minstd_rand random_;
};

}  // namespace robinhoist::retry
