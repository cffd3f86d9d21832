/// Points in time and lengths of time, as types that cannot be mixed up.
///
/// Everything below the hosts gets the time handed to it. A host measures it by the clock of its
/// event loop or of a simulation; both count from the start of their own run, so a TimePoint says
/// nothing to another process.
#pragma once
#include <chrono>

namespace robinhoist {

/// A length of time, at the resolution that settings, wire and records use.
using Duration = std::chrono::microseconds;

/// The clock of one run: an event loop's steady clock, or a simulation's. Its zero is the start of
/// the run. It has no now(): whoever owns the clock hands the time on.
struct RunClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RunClock>;
  static constexpr bool is_steady = true;
};

/// A point in time of one run.
using TimePoint = RunClock::time_point;

/// A point in time on the machine's steady clock, the same for all processes of that machine.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in time since 1970, for what crosses machines. The epoch itself stands for "long ago".
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Before anything that a run can remember.
inline constexpr TimePoint long_ago{std::chrono::hours(-1)};

}  // namespace robinhoist
