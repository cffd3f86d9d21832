#include "policy/upstream_cluster.h"

namespace robinhoist {

UpstreamCluster::UpstreamCluster(const EndpointSettings& settings,
                                 const std::vector<RequestClass>& request_classes)
    : endpoints_(settings),
      latency_(request_classes),
      health_(latency_),
      slow_start_(settings, endpoints_),
      picker_(settings.proxy_index, endpoints_, health_, slow_start_, subset_size_) {}

void UpstreamCluster::list_updated(EndpointUpdateKind kind,
                                   const std::vector<EndpointInfo>& entries, TimePoint now) {
  slow_start_.list_changing();
  const std::vector<int> replaced = endpoints_.update(kind, entries, now);
  health_.resize(endpoints_.size());
  slow_start_.resize(endpoints_.size());
  for (int endpoint : replaced) {
    health_.reset(endpoint);
    slow_start_.reset(endpoint);
  }
}

void UpstreamCluster::attempt_sent(int endpoint, TimePoint now) {
  health_.attempt_sent(endpoint, now);
  subset_size_.attempt_sent(now);
  slow_start_.attempt_sent(endpoint, now);
}

void UpstreamCluster::attempt_ended(const Attempt& attempt, Outcome outcome,
                                    const RequestInfo& request, TimePoint now) {
  health_.remove_in_flight(attempt);
  const bool unresponsive = health_.is_unresponsive_since(attempt, now);
  if (outcome == Outcome::obsolete || (outcome == Outcome::cancelled && !unresponsive))
    return;
  if (health_.record_reachability(attempt, outcome, now))
    endpoints_.mark_recovered(attempt.endpoint, now);
  subset_size_.attempt_ended(outcome == Outcome::connect_failure);
  health_.record_result(attempt, outcome, request, now);
  if (outcome == Outcome::ok && endpoints_.is_warm(attempt.endpoint, attempt.sent))
    slow_start_.attempt_succeeded(attempt.endpoint, now);
}

void UpstreamCluster::load_reported(int endpoint, const LoadReport& load, TimePoint now) {
  health_.record_load(endpoint, load, now);
}

int UpstreamCluster::pick(const EndpointRequirements& requirements, TimePoint now,
                          std::minstd_rand& random) {
  return picker_.pick(requirements, now, random);
}

double UpstreamCluster::capacity(TimePoint now) const {
  double sum = 0;
  for (int endpoint = 0; endpoint < endpoints_.size(); ++endpoint)
    if (endpoints_.is_ready(endpoint) && !health_.is_ejected(endpoint, now))
      sum += endpoints_[endpoint].size * endpoints_.warm_up_factor(endpoint, now);
  return sum;
}

}  // namespace robinhoist
