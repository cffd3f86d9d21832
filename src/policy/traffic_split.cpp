#include "policy/traffic_split.h"

#include <algorithm>

namespace robinhoist {

namespace {
constexpr double cap_utilization = 0.9;    // part of the cap that first attempts fill
constexpr double max_relative_load = 1.0;  // a canary endpoint's load over an older endpoint's

/// Sizes of the ready endpoints, in usual endpoints.
struct Capacity {
  double newest = 0;  // of the healthy ones, as far as they have warmed up
  double older = 0;
  double all = 0;
};

Capacity ready_capacity(UpstreamCluster& cluster, TimePoint now) {
  const EndpointSet& endpoints = cluster.endpoints();
  EndpointHealth& health = cluster.health();
  Capacity capacity;
  for (int endpoint = 0; endpoint < endpoints.size(); ++endpoint) {
    if (!endpoints.is_ready(endpoint))
      continue;
    const double size = endpoints[endpoint].size;
    capacity.all += size;
    if (endpoints[endpoint].build != endpoints.newest_build())
      capacity.older += size;
    else if (!health.is_ejected(endpoint, now) && health.is_healthy(endpoint, now))
      capacity.newest += size * endpoints.warm_up_factor(endpoint, now);
  }
  return capacity;
}

}  // namespace

double newest_build_share(UpstreamCluster& cluster, const CanaryQuota& canary_quota,
                          bool is_rejecting, TimePoint now) {
  if (!cluster.endpoints().has_older_build())
    return 1;
  const Capacity capacity = ready_capacity(cluster, now);
  // While requests are rejected all endpoints share alike: full ones would look slow beside idle
  // ones.
  const double total = canary_quota.in_place() || is_rejecting
                           ? capacity.all
                           : std::max(capacity.older, capacity.newest);
  const double able = std::min(1.0, max_relative_load * capacity.newest / total);
  const int newest = cluster.endpoints().newest_build();
  if (!canary_quota.is_canary(newest))
    return able;
  return std::min(cap_utilization * canary_quota.cap(newest), able);
}

}  // namespace robinhoist
