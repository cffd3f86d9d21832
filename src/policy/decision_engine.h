/// The interface of the decision module: one DecisionEngine decides for one proxy instance.
///
/// The host, which is the program that embeds the module, reports events through the input
/// functions; these only update state. It then calls next(now) until that returns nothing, and
/// carries out each decision. The module does no I/O, reads no clock and throws no exceptions; the
/// host must validate what it passes in.
#pragma once
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "policy/analysis_report.h"
#include "policy/canary_analysis.h"
#include "policy/canary_quota.h"
#include "policy/list_subscription.h"
#include "policy/request_scheduler.h"
#include "policy/upstream_cluster.h"
#include "policy/vote_scheduler.h"

namespace robinhoist {

/// Owns the components of the module and passes each event to those that handle it. The host
/// identifies requests, endpoints, builds, request classes and tenants by numbers from 0. Those of
/// endpoints, request classes and tenants are indices and should be small.
class DecisionEngine {
 public:
  /// `seed` initialises the random number generator.
  DecisionEngine(unsigned seed, const EndpointSettings& endpoints,
                 const CanaryQuotaSettings& canary_quota, const AnalysisSettings& analysis,
                 const RequestSettings& requests);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  /// The endpoint list was updated, or an update has failed; then `entries` are ignored.
  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint now);

  /// A client's request has arrived.
  void request_arrived(const RequestInfo& request, TimePoint now);

  /// The answer to a request has begun to stream to its client.
  void stream_began(int request_id) { requests_.stream_began(request_id); }

  /// An attempt, given by its index in the request, has ended. `succeeded` means that the client
  /// has got its answer; `load` is the load report received with the answer, empty if there was
  /// none. Unknown requests and attempts are ignored.
  void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded,
                     const LoadReport& load, TimePoint now);

  /// The client of a request has disconnected.
  void client_disconnected(int request_id) { requests_.client_disconnected(request_id); }

  /// The release has changed its stage, phase or cap.
  void release_updated(const ReleaseUpdate& release, TimePoint now);

  /// The last vote was answered.
  void vote_answered(Outcome outcome, TimePoint now) {
    vote_scheduler_.vote_answered(outcome, now);
  }

  /// A client has reported an answer of this endpoint as wrong.
  void wrong_answer_reported(int endpoint) {
    analysis_.wrong_answer_reported(cluster_.endpoints()[endpoint].build);
  }

  /// A health check has ended.
  void probe_ended(int endpoint, const LoadReport& load, TimePoint now) {
    cluster_.load_reported(endpoint, load, now);
  }

  /// The next decision, or nothing if none is due. Must be called after each input, and at the time
  /// requested by the last Action::wake.
  std::optional<Decision> next(TimePoint now);

  /// Whether the request is still tracked: false once it is done and all its attempts have ended.
  bool has_request(int request_id) const { return requests_.has_request(request_id); }

 private:
  void record_sent_attempt(const Decision& forward, TimePoint now);
  void record_sample(const Attempt& attempt, Outcome evidence, const RequestInfo& request,
                     TimePoint now);
  void analyze(TimePoint now);
  std::optional<Decision> next_wake_up(TimePoint now);

  std::minstd_rand random_;
  UpstreamCluster cluster_;
  ListSubscription list_subscription_;
  CanaryQuota canary_quota_;
  CanaryAnalysis analysis_;
  VoteScheduler vote_scheduler_;
  RequestScheduler requests_;
  SlidingWindow<TimePoint> first_requests_;  // arrivals, without those of clients' retries
  TimePoint analyzed_at_ = long_ago;
  TimePoint wake_up_at_ = long_ago;  // as last requested from the host
  std::optional<AnalysisReport> last_report_{};
  std::deque<AnalysisReport> reports_to_log_{};
};

}  // namespace robinhoist
