/// An experiment: a base scenario, what is varied in it, and how often each cell is played.
///
/// Read from S-expressions and checked whole: every cell's scenario is read before anything runs.
///
///     (experiment (name how-many-umpires) (day "short.day") (repetitions 20) (seed 1)
///       (policies module least-requests)   ; the first to compare with; module alone without
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
  std::string name{}, at{};
  std::vector<std::string> values{};
  double least = 0, most = 0;  // of a range
  bool range = false;
};

struct Cell {
  std::vector<std::string> values{};  // by parameter
  day::Scenario day{};
  std::string text{};  // the day as it is played
  emulator::PolicySpec policy{};
};

struct Experiment {
  std::string name{}, day_file{};
  int repetitions = 1;
  long seed = 1;
  std::vector<Parameter> parameters{};
  std::vector<Cell> cells{};
  std::string digest{};  // of all that decides what is played
};

Experiment read(const std::string& file);  // throws settings::ValidationError

// A measure of one run; each says which way is better.
struct Measure {
  const char* name;
  const char* unit;
  bool more_is_better;
};
const std::vector<Measure>& measures();

}  // namespace robinhoist::lab
