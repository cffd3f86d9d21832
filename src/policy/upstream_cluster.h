/// The upstream endpoints as one component: their list, health, latencies, slow start and load
/// balancing.
#pragma once
#include <random>
#include <vector>

#include "policy/endpoint.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_picker.h"
#include "policy/endpoint_set.h"
#include "policy/latency_model.h"
#include "policy/request.h"
#include "policy/slow_start_limiter.h"
#include "policy/subset_size.h"
#include "time/time_types.h"

namespace robinhoist {

/// Owns the components that handle endpoints, and passes each event to them in the required order.
/// State is read from the components directly.
class UpstreamCluster {
 public:
  UpstreamCluster(const EndpointSettings& settings,
                  const std::vector<RequestClass>& request_classes);
  UpstreamCluster(const UpstreamCluster&) = delete;
  UpstreamCluster& operator=(const UpstreamCluster&) = delete;

  /// Applies a list update other than a failed one.
  void list_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                    TimePoint now);

  /// An attempt is being sent to the endpoint.
  void attempt_sent(int endpoint, TimePoint now);

  /// An attempt has ended. `outcome` is the one to use for the endpoint's health, which is
  /// Outcome::obsolete if the attempt is no evidence on the endpoint.
  void attempt_ended(const Attempt& attempt, Outcome outcome, const RequestInfo& request,
                     TimePoint now);

  /// A load report was received.
  void load_reported(int endpoint, const LoadReport& load, TimePoint now);

  /// Picks an endpoint for an attempt, -1 if there is none; see EndpointPicker.
  int pick(const EndpointRequirements& requirements, TimePoint now, std::minstd_rand& random);

  /// The capacity of the ready endpoints that are not ejected, in warm endpoints of usual size.
  double capacity(TimePoint now) const;

  const EndpointSet& endpoints() const { return endpoints_; }
  EndpointHealth& health() { return health_; }
  LatencyModel& latency() { return latency_; }

  /// This proxy's recent attempts per second.
  double attempts_per_s(TimePoint now) const { return subset_size_.attempts_per_s(now); }

 private:
  EndpointSet endpoints_;
  LatencyModel latency_;
  EndpointHealth health_;
  SubsetSize subset_size_;
  SlowStartLimiter slow_start_;
  EndpointPicker picker_;
};

}  // namespace robinhoist
