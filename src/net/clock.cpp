#include "net/clock.h"

namespace robinhoist::net {

SteadyTime steady_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime wall_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}  // namespace robinhoist::net
