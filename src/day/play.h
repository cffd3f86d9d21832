// Plays a day on loopback sockets: proxies as processes of their own, the rest on threads of this
// one; leaves the record in a folder. Simulated servers, real proxies.
#pragma once
#include <string>

#include "day/scenario.h"

namespace robinhoist::day {

struct Played {
  bool ended_well = true;  // each proxy that was told to stop did so by itself
  std::string trouble{};   // why not
};

// `program` is the file to start proxies from. Throws std::runtime_error when the day can't be
// played.
Played play(const Scenario& day, long seed, const std::string& folder, const std::string& program);

}  // namespace robinhoist::day
