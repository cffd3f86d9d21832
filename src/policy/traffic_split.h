/// How first attempts are split between the newest build and the older ones.
#pragma once
#include "policy/canary_quota.h"
#include "policy/upstream_cluster.h"
#include "time/time_types.h"

namespace robinhoist {

/// The share of first attempts (0 to 1) that the newest build is to get: most of the canary's cap,
/// but no more than its endpoints can carry without working harder than the others. `is_rejecting`
/// tells whether this proxy rejects requests at present: then all endpoints share alike.
double newest_build_share(UpstreamCluster& cluster, const CanaryQuota& canary_quota,
                          bool is_rejecting, TimePoint now);

}  // namespace robinhoist
