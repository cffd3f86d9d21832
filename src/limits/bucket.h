// Token buckets by name: who may do how much. Free of clocks. A name that has not been seen for as
// long as its bucket takes to fill is forgotten, for a full bucket holds nothing worth keeping.
#pragma once
#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::limits {

class Buckets {
 public:
  // Tokens a second; `most` at once. A rate of 0 takes everything.
  Buckets(double rate, double most) : rate_(rate), most_(std::max(1.0, most)) {}

  // Nothing when it is let through; else when to come back.
  std::optional<Duration> take(const std::string& who, TimePoint now) {
    if (rate_ <= 0)
      return {};
    forget(now);
    auto [at, fresh] = buckets_.try_emplace(who, Bucket{most_, now});
    Bucket& bucket = at->second;
    bucket.held = std::min(most_, bucket.held + rate_ * seconds(now - bucket.at));
    bucket.at = now;
    if (bucket.held >= 1) {
      bucket.held -= 1;
      return {};
    }
    return Duration(static_cast<std::int64_t>(std::ceil((1 - bucket.held) / rate_ * 1e6)));
  }
  std::size_t known() const { return buckets_.size(); }

 private:
  struct Bucket {
    double held;
    TimePoint at;
  };
  static double seconds(Duration span) { return static_cast<double>(span.count()) / 1e6; }
  void forget(TimePoint now) {
    const Duration fills(static_cast<std::int64_t>(most_ / rate_ * 1e6));
    if (now < forgot_at_ + fills)
      return;
    forgot_at_ = now;
    std::erase_if(buckets_, [&](auto& each) { return now >= each.second.at + fills; });
  }
  double rate_, most_;
  std::map<std::string, Bucket> buckets_{};
  TimePoint forgot_at_{};
};

}  // namespace robinhoist::limits
