#include <map>
#include <set>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

std::string build_of(const std::string& step) {
  return step.substr(0, step.find('/'));
}

// The first earlier step of the same build that has not been applied; empty: all have been.
std::string missing_before(const std::vector<std::string>& order, std::size_t position,
                           const std::set<std::size_t>& applied) {
  const std::string build = build_of(order[position]);
  for (std::size_t earlier = 0; earlier < position; ++earlier)
    if (build_of(order[earlier]) == build && applied.count(earlier) == 0)
      return order[earlier];
  return {};
}

std::string describe(const StepRun& run, const std::string& how, const std::string& why) {
  return run.step + " ran" + how + " at " + to_text(run.at) + why;
}

}  // namespace

void check_steps(const Events& events, RuleReport& report) {
  for (const UnreadyAnswer& answer : events.unready_answers)
    report.add_violation(answer.server + " answered at " + to_text(answer.at) +
                         " without the tables that its build needs");
  const std::vector<std::string>& order = events.meta.steps;
  std::map<std::string, std::size_t> positions;
  for (std::size_t i = 0; i < order.size(); ++i)
    positions[order[i]] = i;
  std::set<std::size_t> applied;
  for (const StepRun& run : events.step_runs) {
    ++report.checked;
    const auto found = positions.find(run.step);
    if (found == positions.end()) {
      report.add_violation(describe(run, "", ", which is in no plan"));
      continue;
    }
    const std::size_t position = found->second;
    if (run.rollback) {
      applied.erase(position);
      continue;
    }
    if (applied.count(position) > 0)
      report.add_violation(describe(run, " twice, again", ""));
    const std::string missing = missing_before(order, position, applied);
    if (!missing.empty())
      report.add_violation(describe(run, "", ", before " + missing));
    if (run.done)
      applied.insert(position);
  }
}

}  // namespace robinhoist::audit
