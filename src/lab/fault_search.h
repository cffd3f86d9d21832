// The hunt for bad days: troubles are drawn, the worst day found is changed for the worse step by
// step, and what comes out is shrunk to the smallest day that is still as bad. Every run is
// audited: a day on which a rule breaks beats any loss of priority weight.
#pragma once
#include <functional>
#include <string>

#include "day/scenario.h"

namespace robinhoist::lab {

struct HuntSettings {
  int runs = 400;  // in all, shrinking included
  long seed = 1;   // of what is drawn, and of each run
  int jobs = 1;
  int troubles_most = 4;
};

struct Found {
  std::vector<day::Fault> faults{};
  double priority_weight = 100;  // % in time
  std::string broken{};          // the rules, if any, with the first case
  int runs = 0;
  bool worse_than(const Found& other) const {
    if (broken.empty() != other.broken.empty())
      return !broken.empty();
    return priority_weight < other.priority_weight;
  }
};

// `told` hears of each worse day.
Found hunt(const day::Scenario& base, const HuntSettings& settings,
           const std::function<void(const Found&)>& told);

// The base day's text with these troubles in place of its own, as a file that `day` and `emulate`
// play.
std::string day_text(const std::string& base, const std::vector<day::Fault>& faults,
                     const std::string& comment);

}  // namespace robinhoist::lab
