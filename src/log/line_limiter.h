/// Limits how often log lines are written, so that no peer can fill the log. It reads no clock; the
/// caller passes the time.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limits/token_bucket.h"
#include "time/time_types.h"

namespace robinhoist::log {

/// Limits the lines of each message separately. The messages must be a small, fixed set.
class LineLimiter {
 public:
  LineLimiter(double lines_per_second, double burst) : limiter_(lines_per_second, burst) {}

  /// Returns how many lines with this message were left out since the last one that was written, or
  /// nothing if this one is to be left out, too.
  std::optional<long> admit(std::string_view message, TimePoint now) {
    const std::string name(message);
    long& left_out = left_out_[name];
    if (limiter_.try_acquire(name, now)) {
      ++left_out;
      return {};
    }
    return std::exchange(left_out, 0);
  }

 private:
  limits::TokenBucketLimiter limiter_;
  std::map<std::string, long> left_out_{};
};

}  // namespace robinhoist::log
