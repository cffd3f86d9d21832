/// The result of the canary analysis as typed values, and its text for the log.
///
/// CanaryAnalysis::judge() returns an AnalysisResult. The decision engine adds the release that was
/// judged and emits both as an AnalysisReport with the decision Action::log: as text for the log,
/// and in typed form for hosts that process the fields.
#pragma once
#include <optional>
#include <string>

#include "policy/release.h"

namespace robinhoist {

/// The kind of evidence behind a verdict. It determines the meaning of the two figures of the
/// AnalysisResult, which are listed here in their order.
enum class AnalysisReason {
  none,                    ///< no evidence yet, or nothing to judge; no figures
  failures,                ///< the canary's failed attempts; all of its attempts
  request_class_failures,  ///< the same for a single request class
  wrong_answers,           ///< the canary's answers reported as wrong; all of its answers
  fleet_slowdown,          ///< load per endpoint now; the same before the build was offered
  p99_latency,             ///< the canary's p99 over the latency objective; the baseline's
  latency,                 ///< the canary's latency over the baseline's; standard error as a factor
  answer_rate,             ///< the canary's answers; the number expected at the baseline's rate
  ageing,                  ///< p-value of the match with the oldest endpoints; its threshold
  hold,                    ///< attempts judged so far; failures among them
  released,                ///< the build is released and still analysed; no figures
};

/// The verdict on a release and the evidence behind it.
struct AnalysisResult {
  Verdict verdict = Verdict::none;
  AnalysisReason reason = AnalysisReason::none;
  double observed = 0;   ///< first figure, see AnalysisReason
  double reference = 0;  ///< second figure, see AnalysisReason
};

/// The result together with the release as it was judged; without one if none was offered yet.
struct AnalysisReport {
  AnalysisResult result{};
  std::optional<ReleaseUpdate> release{};
};

/// Whether both reports have the same verdict, build, stage and phase. Figures are not compared:
/// they change with every answer, and a change of them alone is not logged.
bool same_mode(const AnalysisReport& left, const AnalysisReport& right);

/// "watching", "promote", "hold" or "roll back".
const char* to_string(Verdict verdict);

/// "canary", "rolling back", "released" or "rolled back".
const char* to_string(ReleasePhase phase);

/// The evidence with its figures, such as "failures 4 of 60 attempts"; empty if there is none.
std::string describe_reason(const AnalysisResult& result);

/// The log line, such as
/// "roll back build 7 stage 1 canary: failures 4 of 60 attempts" (see docs/on-call.md).
std::string to_string(const AnalysisReport& report);

}  // namespace robinhoist
