/// A search for the faults that a scenario copes with worst.
///
/// Draws faults at random, mutates the worst set found, and shrinks the result to the smallest set
/// that is about as bad. Every run is audited: a broken rule is worse than any loss of priority
/// weight.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "day/scenario.h"

namespace robinhoist::lab {

struct FaultSearchSettings {
  int runs = 400;  ///< in all, shrinking included
  long seed = 1;   ///< of the search and of each run
  int jobs = 1;
  int max_faults = 4;
};

/// A set of faults and the outcome of its run.
struct FaultSearchResult {
  std::vector<day::Fault> faults{};
  double priority_weight = 100;  ///< in time, in percent of what was asked
  std::string broken_rules{};    ///< with the first case of each; empty if all are kept
  int runs = 0;                  ///< of the search so far
  bool is_worse_than(const FaultSearchResult& other) const {
    if (broken_rules.empty() != other.broken_rules.empty())
      return !broken_rules.empty();
    return priority_weight < other.priority_weight;
  }
};

/// `on_worse` is called for each result that is worse than the ones before it; may be empty.
FaultSearchResult find_worst_faults(const day::Scenario& base, const FaultSearchSettings& settings,
                                    const std::function<void(const FaultSearchResult&)>& on_worse);

/// The text of a .day file: the base scenario with these faults instead of its own.
std::string scenario_text(const std::string& base, const std::vector<day::Fault>& faults,
                          const std::string& comment);

}  // namespace robinhoist::lab
