/// The decision engine's view of the release as the admin API has always worded it, in the field
/// "mode" of the status report and of traces. The log has a wording of its own
/// (policy/analysis_report.h).
#pragma once
#include <string>

#include "policy/analysis_report.h"

namespace robinhoist::proxy {

/// Such as "back build 2 stage 1 trial: failures 4 against 60".
std::string mode_text(const AnalysisReport& report);

}  // namespace robinhoist::proxy
