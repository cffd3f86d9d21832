/// Distinct types for durations and for points in time of different clocks.
///
/// Code that does no I/O gets the time as a parameter. Its host reads the time from the clock of an
/// event loop or of a simulation. Both count from the start of their own run, so a TimePoint has no
/// meaning in another process.
#pragma once
#include <chrono>

namespace robinhoist {

/// A duration, with the resolution used by settings, the wire protocols and recordings.
using Duration = std::chrono::microseconds;

/// The clock of one run: the steady clock of an event loop, or the clock of a simulation. Its zero
/// is the start of the run. It has no now(), because its owner passes the time on.
struct RunClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RunClock>;
  static constexpr bool is_steady = true;
};

/// A point in time of one run.
using TimePoint = RunClock::time_point;

/// A point in time on the machine's steady clock, which all processes of the machine share.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in wall-clock time, for timestamps that other machines read. The epoch itself (1970)
/// stands for an unspecified time long ago.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Earlier than any event of a run; the initial value of the time of an event that has not
/// happened.
inline constexpr TimePoint long_ago{std::chrono::hours(-1)};

}  // namespace robinhoist
