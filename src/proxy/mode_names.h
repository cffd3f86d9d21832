/// Text of the canary analysis mode in the REST status and in traces.
#pragma once
#include <string>

#include "policy/analysis_report.h"

namespace robinhoist::proxy {

/// The mode in the wording of the REST API's first version, which clients may parse, such as
/// "back build 7 stage 1 trial: failures 4 against 60". Log lines use the current terms.
std::string api_mode(const AnalysisReport& report);

}  // namespace robinhoist::proxy
