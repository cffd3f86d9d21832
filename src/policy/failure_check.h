/// Failure check of the canary analysis: whether the canary fails more often than the baseline and
/// chance explain.
#pragma once
#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"

namespace robinhoist {

/// Judges all attempts together, then each request class by itself: a fault in one class would
/// drown in the total. The first that fails decides.
CheckResult check_failures(const CohortStatistics& canary, const CohortStatistics& baseline,
                           const CheckContext& context);

}  // namespace robinhoist
