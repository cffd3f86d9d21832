/// The two clocks that hosts read. Everything below the hosts gets the time handed to it.
#pragma once
#include "time/time_types.h"

namespace robinhoist::net {

/// The machine's steady clock, the same in all of its processes.
SteadyTime steady_now();

/// Time since 1970, for what crosses machines.
WallTime wall_now();

}  // namespace robinhoist::net
