/// The two clocks that a process reads. Code that does no I/O gets the time as a parameter instead.
#pragma once
#include "time/time_types.h"

namespace robinhoist::net {

/// The machine's steady clock, which all of its processes share.
SteadyTime steady_now();

/// Wall-clock time since 1970, for timestamps that other machines read.
WallTime wall_now();

}  // namespace robinhoist::net
