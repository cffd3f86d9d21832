/// The mode of the canary analysis as the REST status and traces word it.
#pragma once
#include <string>

#include "policy/analysis_report.h"

namespace robinhoist::proxy {

/// The mode in the words of the REST API's first version, which its clients may read, such as
/// "back build 7 stage 1 trial: failures 4 against 60". Log lines have the field's terms.
std::string api_mode(const AnalysisReport& report);

}  // namespace robinhoist::proxy
