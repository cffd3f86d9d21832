/// What the decision module asks of its host, one decision at a time. Plain data.
#pragma once
#include <optional>
#include <string>

#include "policy/analysis_report.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

/// What the host is to do.
enum class Action {
  forward,    ///< send an attempt of `request_id` to `endpoint`, with a timeout of `duration`
  reject,     ///< tell the client that it may safely retry, after `duration` if that is not zero
  fail,       ///< tell the client that the request failed and may have run
  cancel,     ///< cancel attempt number `attempt` of `request_id`
  probe,      ///< send a health check to `endpoint`
  close,      ///< close the connections to `endpoint`
  subscribe,  ///< subscribe to the endpoint list
  fetch,      ///< fetch the endpoint list once
  vote,       ///< send the vote `verdict` on `build` at `stage`
  wake,       ///< call DecisionEngine::next() again after `duration`
  log         ///< write `text` to the log
};

/// One decision; which fields count follows from the action.
struct Decision {
  Action action;
  int request_id = -1;
  int endpoint = -1;
  int attempt = -1;     ///< index of the attempt within its request, from 0
  Duration duration{};  ///< forward: the timeout, zero for none; reject: the Retry-After advice,
                        ///< zero for none; wake: the time until then
  int build = -1;
  int stage = 0;
  Verdict verdict = Verdict::none;
  std::string text{};                      ///< log: the line
  std::optional<AnalysisReport> report{};  ///< log: the same in typed form
};

}  // namespace robinhoist
