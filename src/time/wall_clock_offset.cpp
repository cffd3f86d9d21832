#include "time/wall_clock_offset.h"

#include <algorithm>
#include <chrono>

namespace robinhoist {
namespace {

// A larger change between two readings is a step; the adjustment of a clock's rate is slower.
constexpr Duration min_step = std::chrono::milliseconds(100);
// How long after a step a stamp of the time before may still be read.
constexpr Duration old_stamp_lifetime = std::chrono::seconds(60);

}  // namespace

TimePoint WallClockOffset::to_run_time(WallTime stamp, TimePoint now, WallTime wall_now) {
  update(now, wall_now);
  TimePoint time(stamp.time_since_epoch() - *offset_);
  if (old_offset_)
    time = std::max(time, TimePoint(stamp.time_since_epoch() - *old_offset_));
  return std::min(time, now);
}

void WallClockOffset::update(TimePoint now, WallTime wall_now) {
  if (old_offset_ && now >= stepped_at_ + old_stamp_lifetime)
    old_offset_.reset();
  const Duration offset = wall_now.time_since_epoch() - now.time_since_epoch();
  if (offset_ && std::chrono::abs(offset - *offset_) >= min_step) {
    old_offset_ = std::min(old_offset_.value_or(*offset_), *offset_);
    stepped_at_ = now;
  }
  offset_ = offset;
}

}  // namespace robinhoist
