#include "policy/traffic_split.h"

#include <algorithm>

namespace robinhoist {

namespace {
constexpr double cap_utilization = 0.9;    // part of the cap used by first attempts
constexpr double max_relative_load = 1.0;  // a canary endpoint's load over an older endpoint's

// Sums of the sizes of ready endpoints.
struct Capacity {
  double newest = 0;  // of healthy endpoints only, weighted by their warm-up
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
  // While requests are rejected, the load is balanced over all endpoints. Otherwise the fully
  // loaded endpoints of one build would look slow in comparison with idle ones of the other.
  const double total = canary_quota.in_place() || is_rejecting
                           ? capacity.all
                           : std::max(capacity.older, capacity.newest);
  const double capacity_share = std::min(1.0, max_relative_load * capacity.newest / total);
  const int newest = cluster.endpoints().newest_build();
  if (!canary_quota.is_canary(newest))
    return capacity_share;
  return std::min(cap_utilization * canary_quota.cap(newest), capacity_share);
}

}  // namespace robinhoist
