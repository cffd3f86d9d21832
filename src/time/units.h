/// Conversion between durations and numbers of seconds or milliseconds.
#pragma once
#include <chrono>

#include "time/time_types.h"

namespace robinhoist {

/// Converts a duration to seconds.
inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts a duration to milliseconds.
inline double to_millis(Duration duration) {
  return to_seconds(duration) * 1e3;
}

/// Converts seconds to a duration, truncated to whole microseconds.
inline Duration from_seconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// Converts milliseconds to a duration, truncated to whole microseconds.
inline Duration from_millis(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1e3));
}

}  // namespace robinhoist
