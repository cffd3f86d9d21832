/// The state of all migration plans as the API and the command line show it.
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

/// What the status report is made of. The state machines are borrowed for the call.
struct StatusReport {
  bool holds_lease = false;
  std::int64_t token = 0;
  std::string journal_error{};  ///< Empty when the journal works.
  std::vector<const PlanStateMachine*> plans{};
};

/// The steps of a plan in their order.
std::vector<StepSummary> summarize_steps(const PlanStateMachine& machine);

/// The body of GET /v1/steps.
std::string to_json(const StatusReport& report);

}  // namespace robinhoist::migration
