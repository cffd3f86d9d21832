/// Ageing check of the canary analysis: whether precisely the canary's oldest endpoints are
/// degraded.
#pragma once
#include <vector>

#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"
#include "policy/endpoint_set.h"

namespace robinhoist {

/// A build that degrades with uptime does so first on the endpoints of its earlier stages. These
/// are few, so each one alone could be taken for a faulty endpoint. The check compares the set of
/// unhealthy or slow endpoints with the set of those started first. It fails if a random selection
/// is unlikely to match as well.
CheckResult check_ageing(const CohortStatistics& canary, int build,
                         const std::vector<EndpointState>& endpoints, const CheckContext& context);

}  // namespace robinhoist
