/// Admission of requests: how much is let in under overload, and whose requests are shed first.
#pragma once
#include <random>

#include "policy/request.h"
#include "policy/upstream_cluster.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns the admission rate, recent rejections, and whose requests came of late.
///
/// The admission rate follows the proxy's own answers, pooled over its endpoints: it falls while
/// many come late or are rejected, and rises while they are not, by additive increase and
/// multiplicative decrease (AIMD). Guards against congestion that no proxy can see at one endpoint,
/// of whose work each brings a small part. It may shed for a moment when silent endpoints swallow
/// requests.
class AdmissionController {
 public:
  /// The cluster must outlive this object.
  AdmissionController(const RequestSettings& settings, UpstreamCluster& cluster);

  void request_arrived(int tenant) { tenants_.push(tenant); }

  /// Notes that a request got its first attempt.
  void first_attempt_sent() { rejections_.push(false); }

  /// Notes that a request was finished without any attempt.
  void request_rejected() { rejections_.push(true); }

  /// Updates the admission rate after an attempt that ended.
  void attempt_ended(const Attempt& attempt, Outcome outcome, int request_class, TimePoint now);

  /// Whether a new request is admitted. Draws from `random` only while the proxy sheds.
  bool admits(const RequestInfo& request, TimePoint now, std::minstd_rand& random);

  /// The part of requests that is admitted, up to 1.
  double admission_rate() const { return admission_rate_; }

  /// Whether several recent requests were rejected.
  bool is_rejecting() const;

  /// The longest queue that a request may join: the lower its priority weight, the shorter.
  Duration max_wait(const RequestInfo& request, TimePoint now) const;

 private:
  bool is_shedding() const;
  bool is_over_quota(int tenant) const;

  RequestSettings settings_;
  UpstreamCluster& cluster_;
  EventWindow rejections_;      // of requests without any attempt
  EventWindow slow_answers_;    // among the latest answers
  SlidingWindow<int> tenants_;  // of the latest requests
  TimePoint rate_updated_at_{};
  double admission_rate_ = 1;
};

}  // namespace robinhoist
