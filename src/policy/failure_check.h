/// Failure check of the canary analysis: whether the canary fails significantly more often than the
/// baseline.
#pragma once
#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"

namespace robinhoist {

/// Judges all attempts together, then each request class by itself, because the total can hide a
/// fault that affects a single class. The first failure decides.
CheckResult check_failures(const CohortStatistics& canary, const CohortStatistics& baseline,
                           const CheckContext& context);

}  // namespace robinhoist
