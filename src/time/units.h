/// Lengths of time as plain numbers of seconds or milliseconds, and back.
#pragma once
#include <chrono>

#include "time/time_types.h"

namespace robinhoist {

/// A length of time in seconds.
inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// A length of time in milliseconds.
inline double to_millis(Duration duration) {
  return to_seconds(duration) * 1e3;
}

/// A length of time from seconds, cut to whole microseconds.
inline Duration from_seconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// A length of time from milliseconds, cut to whole microseconds.
inline Duration from_millis(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1e3));
}

}  // namespace robinhoist
