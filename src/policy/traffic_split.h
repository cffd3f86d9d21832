/// The split of first attempts between the newest build and older builds.
#pragma once
#include "policy/canary_quota.h"
#include "policy/upstream_cluster.h"
#include "time/time_types.h"

namespace robinhoist {

/// The share of first attempts (0 to 1) to send to the newest build: most of the canary's cap, but
/// not more than puts the same load on its endpoints as on the others. `is_rejecting` means that
/// this proxy is rejecting requests; the load is then balanced over the endpoints of all builds.
double newest_build_share(UpstreamCluster& cluster, const CanaryQuota& canary_quota,
                          bool is_rejecting, TimePoint now);

}  // namespace robinhoist
