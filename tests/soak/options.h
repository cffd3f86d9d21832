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
  bool check_only = false;  ///< only check the command line and print the seeds
  bool rows_only = false;   ///< print neither table head nor summary, for parallel processes
};

/// The message states in one line which argument is invalid and what is allowed.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses `[--check|--rows] [--seeds FIRST[-LAST]] [--out DIR]`. Throws UsageError.
Options parse_options(const std::vector<std::string>& arguments);

}  // namespace robinhoist::soak
