/// Ageing check of the canary analysis: whether just the canary's oldest endpoints have turned bad.
#pragma once
#include <vector>

#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"
#include "policy/endpoint_set.h"

namespace robinhoist {

/// A build that turns bad with age does so first on the endpoints of its earlier stages. As few as
/// they are, each might pass for an endpoint with a fault of its own. The check compares the
/// unhealthy or slow endpoints with those started first, and fails if chance would hardly pick
/// just these.
CheckResult check_ageing(const CohortStatistics& canary, int build,
                         const std::vector<EndpointState>& endpoints, const CheckContext& context);

}  // namespace robinhoist
