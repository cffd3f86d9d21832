/// The command line of the soak.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::soak {

struct Options {
  long first_seed = 1;
  long last_seed = 1;
  std::string folder{};     ///< for the records of the runs
  bool check_only = false;  ///< the command line; prints the seeds and plays nothing
  bool rows_only = false;   ///< no head and no sum: one of several tables that run at once
};

/// Says in one line which word of the command line is wrong, and what is allowed.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads `[--check|--rows] [--seeds FIRST[-LAST]] [--out DIR]`. Throws UsageError.
Options parse_options(const std::vector<std::string>& words);

}  // namespace robinhoist::soak
