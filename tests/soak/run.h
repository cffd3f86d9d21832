/// One run of the soak: the program on the operators' platform from its start to SIGKILL, with
/// clients that use their connections until it ends.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::soak {

struct RunResult {
  std::string description{};
  /// Number of requests by outcome, as named in the record.
  std::map<std::string, int> outcome_counts{};
  std::vector<std::string> breaches{};
  bool exited_before_kill = false;  ///< whether the program exited before SIGKILL
  Duration longest_stall{};         ///< of the test's own loop

  int requests() const;
};

/// Executes and audits the run of a seed. The record is left in the folder, which is created.
RunResult execute_run(long seed, const std::string& folder);

}  // namespace robinhoist::soak
