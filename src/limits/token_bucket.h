/// Token-bucket rate limiter with one bucket per name, such as per API caller. It reads no clock;
/// the caller passes the time.
#pragma once
#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::limits {

/// Each name may spend `tokens_per_second` on average and `burst` tokens at once. A bucket that has
/// not been used for as long as it takes to fill is dropped, because it is full.
class TokenBucketLimiter {
 public:
  /// A rate of 0 or less admits everything. The burst is at least one token.
  TokenBucketLimiter(double tokens_per_second, double burst)
      : tokens_per_second_(tokens_per_second), burst_(std::max(1.0, burst)) {}

  /// Takes one token from the bucket of `name`. Returns nothing if the call is admitted, or the
  /// time until a token is available.
  std::optional<Duration> try_acquire(const std::string& name, TimePoint now) {
    if (tokens_per_second_ <= 0)
      return {};
    drop_full_buckets(now);
    auto [entry, inserted] = buckets_.try_emplace(name, Bucket{burst_, now});
    Bucket& bucket = entry->second;
    const double refill = tokens_per_second_ * seconds(now - bucket.updated_at);
    bucket.tokens = std::min(burst_, bucket.tokens + refill);
    bucket.updated_at = now;
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return {};
    }
    const double wait_us = std::ceil((1 - bucket.tokens) / tokens_per_second_ * us_per_second);
    return Duration(static_cast<std::int64_t>(wait_us));
  }

  /// Number of names that have a bucket.
  std::size_t size() const { return buckets_.size(); }

 private:
  static constexpr double us_per_second = 1e6;

  struct Bucket {
    double tokens;
    TimePoint updated_at;
  };

  static double seconds(Duration duration) {
    return static_cast<double>(duration.count()) / us_per_second;
  }

  void drop_full_buckets(TimePoint now) {
    const Duration fill_time(
        static_cast<std::int64_t>(burst_ / tokens_per_second_ * us_per_second));
    if (now < last_drop_at_ + fill_time)
      return;
    last_drop_at_ = now;
    std::erase_if(buckets_,
                  [&](const auto& entry) { return now >= entry.second.updated_at + fill_time; });
  }

  double tokens_per_second_;
  double burst_;
  std::map<std::string, Bucket> buckets_{};
  TimePoint last_drop_at_{};
};

}  // namespace robinhoist::limits
