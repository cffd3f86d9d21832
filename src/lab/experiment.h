/// An experiment: a base scenario, the parameters that are varied, and the repetitions of each
/// cell.
///
/// Read from S-expressions. Every cell's scenario is read and checked before any run starts.
///
///     (experiment (name how-many-umpires) (day "short.day") (repetitions 20) (seed 1)
///       (policies module least-requests)   ; compared with the first; module alone if left out
///       (draw grid)                        ; grid, (random 30) or (latin 30)
///       (vary umpires (at "deployment.umpires") (values 1 2 4 8))
///       (vary rate (at "day.load.rate") (from 100 400)))
#pragma once
#include <map>
#include <string>
#include <vector>

#include "day/scenario.h"
#include "emulator/policy.h"

namespace robinhoist::lab {

struct Parameter {
  std::string name{};
  std::string path{};  ///< of the setting in the scenario; empty for the policy
  std::vector<std::string> values{};
  bool is_range = false;  ///< from `min` to `max` instead of `values`
  double min = 0, max = 0;
};

/// One combination of parameter values.
struct Cell {
  std::vector<std::string> values{};  ///< by parameter
  day::Scenario scenario{};
  std::string scenario_text{};
  emulator::PolicySpec policy{};
};

struct Experiment {
  std::string name{}, scenario_file{};
  int repetitions = 1;
  long seed = 1;
  std::vector<Parameter> parameters{};
  std::vector<Cell> cells{};
  std::string digest_input{};  ///< all that determines the outcome of the runs
};

/// Throws settings::ValidationError.
Experiment read(const std::string& file);

/// A figure that is computed for each run.
struct Measure {
  const char* name;
  const char* unit;
  bool more_is_better;
};
const std::vector<Measure>& measures();

}  // namespace robinhoist::lab
