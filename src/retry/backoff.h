// Pauses between tries: they double from the least to the most, each cut by a random part so that
// many who failed together do not come back together ("full jitter" keeps half here). Free of
// clocks.
#pragma once
#include <algorithm>
#include <chrono>
#include <random>

#include "time/time_types.h"

namespace robinhoist::retry {

class Backoff {
 public:
  Backoff(Duration least, Duration most, unsigned salt)
      : least_(least), most_(most), next_(least), random_(salt) {}
  Duration failed() {
    const Duration whole = next_;
    next_ = std::min(2 * next_, most_);
    const double part = std::uniform_real_distribution<double>(0.5, 1)(random_);
    return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
  }
  void worked() { next_ = least_; }

 private:
  Duration least_, most_, next_;
  std::minstd_rand random_;
};

}  // namespace robinhoist::retry
