/// Runs a scenario on loopback sockets: each proxy is a process of the real program, the registry,
/// controller, stand-in servers and clients run on threads of this one.
#pragma once
#include <string>

#include "day/scenario.h"

namespace robinhoist::day {

struct RunResult {
  bool proxies_exited_cleanly = true;  ///< each exited by itself, with status 0, when asked to stop
  std::string problems{};              ///< of those that did not
};

/// Leaves the record of the run in `folder`. `program` is the executable that the proxies run.
/// Throws std::runtime_error when the scenario cannot be run.
RunResult run_scenario(const Scenario& scenario, long seed, const std::string& folder,
                       const std::string& program);

}  // namespace robinhoist::day
