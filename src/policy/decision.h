/// What the decision module asks of its host, one decision at a time. Plain data.
#pragma once
#include <optional>
#include <string>

#include "policy/analysis_report.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

enum class Action {
  forward,
  reject,
  fail,
  cancel,
  probe,
  close,
  subscribe,
  fetch,
  vote,
  wake,
  log
};

// One decision; which fields count follows from the action.
struct Decision {
  Action action;
  int request_id = -1;
  int endpoint = -1;
  int attempt = -1;
  Duration span{};  // time-out, advice when to come back, or time until the wake-up
  int build = -1;
  int stage = 0;
  Verdict verdict = Verdict::none;
  std::string text{};                      // Action::log: the line
  std::optional<AnalysisReport> report{};  // Action::log: the same in typed form
};

}  // namespace robinhoist
