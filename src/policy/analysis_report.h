/// The outcome of the canary analysis in typed form, and its one wording for the log.
///
/// CanaryAnalysis::judge() returns an AnalysisResult. The decision engine combines it with the
/// release that it is about into an AnalysisReport, which goes to the log, and with the decision
/// Action::log to hosts that need the parts.
#pragma once
#include <optional>
#include <string>

#include "policy/release.h"

namespace robinhoist {

/// The kind of evidence behind a verdict. Each kind gives the two figures of the AnalysisResult
/// its own meaning.
enum class AnalysisReason {
  none,                    ///< no evidence yet, or nothing to judge
  failures,                ///< failed attempts; all attempts of the canary
  request_class_failures,  ///< the same, for one request class
  wrong_answers,           ///< answers reported wrong; answers given by the canary
  fleet_slowdown,          ///< load per endpoint now; load per endpoint before the offer
  p99_latency,             ///< p99 over latency objective of the canary; of the baseline
  latency,                 ///< latency relative to the baseline's; its uncertainty as a factor
  answer_rate,             ///< answers of the canary; how many the baseline's rate gives
  ageing,                  ///< p-value that chance picks the oldest endpoints; its threshold
  hold,                    ///< attempts judged so far; failures among them
  released,                ///< no figures: the build is released and still analysed
};

/// The verdict on a release and the evidence behind it.
struct AnalysisResult {
  Verdict verdict = Verdict::none;
  AnalysisReason reason = AnalysisReason::none;
  double observed = 0;   ///< first figure of the reason
  double reference = 0;  ///< second figure of the reason
};

/// The result together with the release as it was then; no release: none has been offered yet.
struct AnalysisReport {
  AnalysisResult result{};
  std::optional<ReleaseUpdate> release{};
};

/// Whether both reports name the same verdict, build, stage and phase. Their figures may differ:
/// these change with every answer and are not worth a line in the log.
bool same_mode(const AnalysisReport& left, const AnalysisReport& right);

/// "watching", "promote", "hold" or "roll back".
const char* to_string(Verdict verdict);

/// "canary", "rolling back", "released" or "rolled back".
const char* to_string(ReleasePhase phase);

/// The kind of evidence with its figures, such as "failures 4 of 60 attempts"; empty without any.
std::string describe_reason(const AnalysisResult& result);

/// The line for the log, such as
/// "roll back build 7 stage 1 canary: failures 4 of 60 attempts" (see docs/on-call.md).
std::string to_string(const AnalysisReport& report);

}  // namespace robinhoist
