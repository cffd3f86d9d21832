/// The decisions that the decision module returns to its host, the program that embeds it. Plain
/// data.
#pragma once
#include <optional>
#include <string>

#include "policy/analysis_report.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

/// What the host must do.
enum class Action {
  forward,    ///< send an attempt of `request_id` to `endpoint`, with a timeout of `duration`
  reject,     ///< answer that the client may safely retry, after `duration` if that is not zero
  fail,       ///< answer that the request failed and may have run
  cancel,     ///< cancel attempt number `attempt` of `request_id`
  probe,      ///< send a health check to `endpoint`
  close,      ///< close the connections to `endpoint`
  subscribe,  ///< subscribe to the endpoint list
  fetch,      ///< fetch the endpoint list once
  vote,       ///< send the vote `verdict` on `build` at `stage`
  wake,       ///< call DecisionEngine::next() again after `duration`
  log         ///< write `text` to the log
};

/// One decision. The action determines which fields are set.
struct Decision {
  Action action;
  int request_id = -1;
  int endpoint = -1;
  int attempt = -1;     ///< index of the attempt within its request, from 0
  Duration duration{};  ///< forward: the timeout, zero for none; reject: the Retry-After delay,
                        ///< zero for none; wake: the delay of the call
  /// forward: the attempt must not be written at this time or later; zero if there is no such limit
  TimePoint write_before{};
  int build = -1;
  int stage = 0;
  Verdict verdict = Verdict::none;
  std::string text{};                      ///< log: the line to write
  std::optional<AnalysisReport> report{};  ///< log: the content of the line in typed form
};

}  // namespace robinhoist
