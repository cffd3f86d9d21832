/// Health of the endpoints as the proxy's own attempts show it: outlier ejection, recent results,
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

/// How an attempt ended, as far as it says something about the endpoint's health.
struct AttemptResult {
  TimePoint at;
  bool healthy;          ///< an answer, or a late one of an endpoint that answered others meanwhile
  double latency_ratio;  ///< latency over the typical one
  Duration latency;
  int concurrency;  ///< own requests in flight there when this one was sent, itself included
  bool timed;       ///< the latency counts: not an error, which may come at once
};

/// Sums over an endpoint's recent results.
struct RecentResults {
  std::size_t count = 0;
  std::size_t failed = 0;
  TimePoint last_failed_at = long_ago;
  TimePoint valid_until = TimePoint::max();  ///< then the oldest result is no longer recent
  double latency_s = 0;                      ///< sum over timed results
  double concurrency = 0;                    ///< sum over timed results
  double latency_ratios = 0;                 ///< an untimed result counts as 1
};

/// Owns what the proxy itself has seen of each endpoint, by the endpoint's number.
class EndpointHealth {
 public:
  /// The latency model must outlive this object.
  explicit EndpointHealth(LatencyModel& latency) : latency_(latency) {}

  /// Makes room for this many endpoints.
  void resize(int endpoint_count);

  /// Forgets results and losses: the endpoint is another process now. Attempts in flight stay.
  void reset(int endpoint);

  void attempt_sent(int endpoint, TimePoint now);

  /// Takes an ended attempt from those in flight.
  void remove_in_flight(const Attempt& attempt);

  /// Whether the endpoint has answered nothing since the attempt was sent, for longer than the
  /// response timeout.
  bool is_silent_since(const Attempt& attempt, TimePoint now);

  /// Notes whether an ended attempt reached the endpoint. Returns whether the endpoint has
  /// recovered: it answered after consecutive losses that ejected it.
  bool record_reachability(const Attempt& attempt, Outcome outcome, TimePoint now);

  /// Notes an ended attempt's result for the recent results and the pause after rejections.
  void record_result(const Attempt& attempt, Outcome outcome, const RequestInfo& request,
                     TimePoint now);

  /// Notes a load report; one that tells neither requests in flight nor utilization is ignored.
  void record_load(int endpoint, const LoadReport& load, TimePoint now);

  /// Whether the endpoint is ejected after consecutive losses: for a time, then until a single
  /// attempt has shown whether it answers again.
  bool is_ejected(int endpoint, TimePoint now) const;

  /// Whether the endpoint answers, neither failing often nor rejecting work just now.
  bool is_healthy(int endpoint, TimePoint now);

  /// Attempts in a row that were lost without any answer between.
  int consecutive_losses(int endpoint) const { return endpoints_[endpoint].consecutive_losses; }

  TimePoint last_answer_at(int endpoint) const { return endpoints_[endpoint].last_answer_at; }

  /// Own attempts in flight at the endpoint.
  std::size_t in_flight(int endpoint) const { return endpoints_[endpoint].in_flight.size(); }

  /// Sums over the results that are recent enough to tell of the endpoint's health.
  const RecentResults& recent_results(int endpoint, TimePoint now);

  /// The endpoint's latest load report, empty if that is too old.
  LoadReport fresh_load(int endpoint, TimePoint now) const;

  /// How long one more request would take at the endpoint, zero if too little is known.
  Duration expected_wait(int endpoint, TimePoint now);

 private:
  struct State {
    explicit State();
    int consecutive_losses = 0;
    int consecutive_rejections = 0;
    TimePoint last_loss_at = long_ago;
    TimePoint last_answer_at = long_ago;
    TimePoint last_rejection_at = long_ago;
    std::vector<TimePoint> in_flight{};  // when each was sent
    SlidingWindow<AttemptResult> results;
    std::optional<RecentResults> recent{};  // cached sums over `results`
    LoadReport load{};
    TimePoint load_at = long_ago;
  };

  LatencyModel& latency_;
  std::vector<State> endpoints_{};
};

}  // namespace robinhoist
