/// Conversion of wall-clock times that other machines have stamped to the time of a run.
///
/// The wall clock may be stepped at any moment, the clock of the run is not. A stamp from before a
/// step may be read after it, and the other way round, so for some time after a step both are
/// possible.
#pragma once
#include <optional>

#include "time/time_types.h"

namespace robinhoist {

class WallClockOffset {
 public:
  /// Converts the stamp of an event that has happened. `now` and `wall_now` are the same instant.
  /// If the clock was stepped lately, the result is the latest of the possible times.
  TimePoint to_run_time(WallTime stamp, TimePoint now, WallTime wall_now);

 private:
  void update(TimePoint now, WallTime wall_now);

  std::optional<Duration> offset_{};      // wall clock less the clock of the run
  std::optional<Duration> old_offset_{};  // the lowest one before the latest steps
  TimePoint stepped_at_{};
};

}  // namespace robinhoist
