/// Token-bucket rate limiters: a single bucket, and one bucket per name, such as per API caller.
/// They read no clock; the caller passes the time.
#pragma once
#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::limits {

/// May spend `tokens_per_second` on average and `burst` tokens at once.
class TokenBucket {
 public:
  /// A rate of 0 or less admits everything. The burst is at least one token.
  TokenBucket(double tokens_per_second, double burst)
      : tokens_per_second_(tokens_per_second), burst_(std::max(1.0, burst)), tokens_(burst_) {}

  /// Takes one token. Returns nothing if there was one, or the time until one is available.
  std::optional<Duration> try_acquire(TimePoint now) {
    if (tokens_per_second_ <= 0)
      return {};
    const double seconds = static_cast<double>((now - updated_at_).count()) / us_per_second;
    tokens_ = std::min(burst_, tokens_ + tokens_per_second_ * seconds);
    updated_at_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return {};
    }
    const double wait_us = std::ceil((1 - tokens_) / tokens_per_second_ * us_per_second);
    return Duration(static_cast<std::int64_t>(wait_us));
  }

  /// Whether all tokens are there again.
  bool is_full(TimePoint now) const {
    const Duration fill_time(
        static_cast<std::int64_t>(burst_ / tokens_per_second_ * us_per_second));
    return now >= updated_at_ + fill_time;
  }

 private:
  static constexpr double us_per_second = 1e6;

  double tokens_per_second_;
  double burst_;
  double tokens_;
  TimePoint updated_at_{};
};

/// A bucket for each name. One that has not been used for as long as it takes to fill is dropped,
/// because it is full.
class TokenBucketLimiter {
 public:
  TokenBucketLimiter(double tokens_per_second, double burst)
      : tokens_per_second_(tokens_per_second), burst_(burst) {}

  /// Takes one token from the bucket of `name`. Returns nothing if the call is admitted, or the
  /// time until a token is available.
  std::optional<Duration> try_acquire(const std::string& name, TimePoint now) {
    if (tokens_per_second_ <= 0)
      return {};
    drop_full_buckets(now);
    const auto [entry, inserted] =
        buckets_.try_emplace(name, TokenBucket(tokens_per_second_, burst_));
    return entry->second.try_acquire(now);
  }

  /// Number of names that have a bucket.
  std::size_t size() const { return buckets_.size(); }

 private:
  void drop_full_buckets(TimePoint now) {
    if (now < next_drop_at_)
      return;
    next_drop_at_ = now + drop_interval;
    std::erase_if(buckets_, [&](const auto& entry) { return entry.second.is_full(now); });
  }

  static constexpr Duration drop_interval = std::chrono::seconds(1);

  double tokens_per_second_;
  double burst_;
  std::map<std::string, TokenBucket> buckets_{};
  TimePoint next_drop_at_{};
};

}  // namespace robinhoist::limits
