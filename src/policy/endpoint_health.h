/// Passive health checking, based on the proxy's own attempts: outlier ejection, recent results,
/// attempts in flight, and load reports.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "policy/endpoint.h"
#include "policy/latency_model.h"
#include "policy/request.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// The end of an attempt, as far as it concerns the endpoint's health.
struct AttemptResult {
  TimePoint at;
  bool healthy;          ///< success, or a timeout while the endpoint answered other requests
  double latency_ratio;  ///< latency over the typical one
  Duration latency;
  int concurrency;   ///< own attempts in flight there when this one was sent, itself included
  bool has_latency;  ///< whether the latency is used; not that of errors, which may arrive quickly
};

/// Sums over an endpoint's recent results.
struct RecentResults {
  std::size_t count = 0;
  std::size_t failed = 0;
  TimePoint last_failed_at = long_ago;
  TimePoint valid_until = TimePoint::max();  ///< when the oldest of the results expires
  double latency_s = 0;                      ///< sum over results with a latency
  double concurrency = 0;                    ///< sum over results with a latency
  double latency_ratios = 0;                 ///< sum; a result without a latency counts as 1
};

/// Owns the proxy's observations of each endpoint, by the endpoint's number.
class EndpointHealth {
 public:
  /// The latency model must outlive this object.
  explicit EndpointHealth(LatencyModel& latency) : latency_(latency) {}

  /// Makes room for this many endpoints.
  void resize(int endpoint_count);

  /// Clears results, losses and rejections, because the endpoint is a new process now. Attempts in
  /// flight are kept.
  void reset(int endpoint);

  void attempt_sent(int endpoint, TimePoint now);

  /// Removes an ended attempt from those in flight.
  void remove_in_flight(const Attempt& attempt);

  /// Whether the endpoint has given no answer since the attempt was sent, for longer than the
  /// response timeout.
  bool is_unresponsive_since(const Attempt& attempt, TimePoint now);

  /// Records whether an ended attempt reached the endpoint. Returns whether the endpoint has
  /// recovered, that is, answered after so many consecutive losses that it was ejected.
  bool record_reachability(const Attempt& attempt, Outcome outcome, TimePoint now);

  /// Records an ended attempt for the recent results and for the pause after rejections.
  void record_result(const Attempt& attempt, Outcome outcome, const RequestInfo& request,
                     TimePoint now);

  /// Records a load report. A report with neither requests in flight nor utilization is ignored.
  void record_load(int endpoint, const LoadReport& load, TimePoint now);

  /// Whether the endpoint is ejected after consecutive losses. Once the ejection time is over, a
  /// single attempt is allowed; the endpoint stays ejected while that attempt is in flight.
  bool is_ejected(int endpoint, TimePoint now) const;

  /// Whether the endpoint responds, does not fail often and has not just rejected attempts.
  bool is_healthy(int endpoint, TimePoint now);

  /// The number of lost attempts since the endpoint last answered.
  int consecutive_losses(int endpoint) const { return endpoints_[endpoint].consecutive_losses; }

  TimePoint last_answer_at(int endpoint) const { return endpoints_[endpoint].last_answer_at; }

  /// Own attempts in flight at the endpoint.
  std::size_t in_flight(int endpoint) const { return endpoints_[endpoint].in_flight.size(); }

  /// Sums over the results that are recent enough to judge the endpoint's health.
  const RecentResults& recent_results(int endpoint, TimePoint now);

  /// The endpoint's latest load report, empty if it is too old.
  LoadReport fresh_load(int endpoint, TimePoint now) const;

  /// The expected latency of one more request at the endpoint, zero with too few recent results.
  Duration expected_wait(int endpoint, TimePoint now);

 private:
  struct State {
    explicit State();
    int consecutive_losses = 0;
    int consecutive_rejections = 0;
    TimePoint last_loss_at = long_ago;
    TimePoint last_answer_at = long_ago;
    TimePoint last_rejection_at = long_ago;
    std::vector<TimePoint> in_flight{};  // time of sending of each attempt
    SlidingWindow<AttemptResult> results;
    std::optional<RecentResults> recent{};  // cached sums over `results`
    LoadReport load{};
    TimePoint load_at = long_ago;
  };

  LatencyModel& latency_;
  std::vector<State> endpoints_{};
};

}  // namespace robinhoist
