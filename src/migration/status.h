/// The state of all migration plans, as reported by the API and the command line.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "migration/plan_state_machine.h"

namespace robinhoist::migration {

/// One step of a plan, for the API's release object.
struct StepSummary {
  std::string id;
  std::string phase;
  std::string state;
};

/// The input of the status report. The state machines must stay valid during the call.
struct StatusReport {
  bool holds_lease = false;
  std::int64_t token = 0;
  std::string journal_error{};  ///< Empty when the journal works.
  std::vector<const PlanStateMachine*> plans{};
};

/// Summarizes the steps of a plan, in the order in which they run.
std::vector<StepSummary> summarize_steps(const PlanStateMachine& machine);

/// Formats the body of GET /v1/steps.
std::string to_json(const StatusReport& report);

}  // namespace robinhoist::migration
