/// One run of the soak: the program on the operators' platform from its start to SIGKILL, with
/// clients that use their connections to the end.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::soak {

struct RunResult {
  std::string description{};
  std::map<std::string, int> ends{};  ///< how many requests ended how, in the record's words
  std::vector<std::string> breaches{};
  bool ended_by_itself = false;  ///< before SIGKILL
  Duration longest_stall{};      ///< of the test itself

  int requests() const;
};

/// Plays the run of a seed and audits it. The record is left in the folder, which is made.
RunResult play_run(long seed, const std::string& folder);

}  // namespace robinhoist::soak
