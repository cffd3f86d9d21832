/// Admission control: the share of requests admitted under overload, and which are shed first.
#pragma once
#include <random>

#include "policy/request.h"
#include "policy/upstream_cluster.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns the admission rate and the windows of recent rejections and of recent requests by tenant.
///
/// The admission rate follows the results of the proxy's own attempts, pooled over its endpoints.
/// It falls while many are slow or rejected and rises otherwise, by additive increase and
/// multiplicative decrease (AIMD). Pooling detects congestion that no proxy can measure at a single
/// endpoint, since each proxy sends only a small part of an endpoint's work. Timeouts at
/// unresponsive endpoints can cause a short phase of shedding.
class AdmissionController {
 public:
  /// The cluster must outlive this object.
  AdmissionController(const RequestSettings& settings, UpstreamCluster& cluster);

  void request_arrived(int tenant) { tenants_.push(tenant); }

  /// Records that the first attempt of a request was sent.
  void first_attempt_sent() { rejections_.push(false); }

  /// Records that a request was finished without any attempt.
  void request_rejected() { rejections_.push(true); }

  /// Updates the admission rate after an attempt has ended.
  void attempt_ended(const Attempt& attempt, Outcome outcome, int request_class, TimePoint now);

  /// Whether a new request is admitted. Draws from `random` only while requests are being shed.
  bool admits(const RequestInfo& request, TimePoint now, std::minstd_rand& random);

  /// The share of requests that is admitted, up to 1.
  double admission_rate() const { return admission_rate_; }

  /// Whether several recent requests were rejected.
  bool is_rejecting() const;

  /// The longest expected wait at an endpoint that this request accepts; the lower its priority
  /// weight, the shorter.
  Duration max_wait(const RequestInfo& request, TimePoint now) const;

 private:
  bool is_shedding() const;
  bool is_over_quota(int tenant) const;

  RequestSettings settings_;
  UpstreamCluster& cluster_;
  EventWindow rejections_;      // whether each recent request was finished without any attempt
  EventWindow slow_answers_;    // whether each recent answer was slow
  SlidingWindow<int> tenants_;  // the tenant of each recent request
  TimePoint rate_updated_at_{};
  double admission_rate_ = 1;
};

}  // namespace robinhoist
