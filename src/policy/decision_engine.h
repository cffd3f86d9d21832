/// The decision module's interface: one DecisionEngine is one proxy instance.
///
/// A host tells it what happens through the input functions, which only note what is known; then it
/// calls next(now) until that returns nothing, and carries out each decision. The module has no I/O
/// and no clock of its own, and throws nothing: a host checks what it passes in.
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

/// Owns the parts of the module and passes each event to those that it concerns. Requests,
/// endpoints, builds, request classes and tenants are named by small numbers from 0 that the host
/// gives them.
class DecisionEngine {
 public:
  /// `seed` starts the module's random generator.
  DecisionEngine(unsigned seed, const EndpointSettings& endpoints,
                 const CanaryQuotaSettings& canary_quota, const AnalysisSettings& analysis,
                 const RequestSettings& requests);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  /// The endpoint list has changed, or a poll of it has failed; then `entries` are ignored.
  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint now);

  /// A client's request has arrived.
  void request_arrived(const RequestInfo& request, TimePoint now);

  /// The answer to a request has begun to stream to its client.
  void stream_began(int request_id) { requests_.stream_began(request_id); }

  /// An attempt, by its index in the request, has ended. `succeeded` tells that with it the client
  /// has its answer; `load` is the report that came along, empty if none did. Unknown requests and
  /// attempts are ignored.
  void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded,
                     const LoadReport& load, TimePoint now);

  /// The client of a request has disconnected.
  void client_disconnected(int request_id) { requests_.client_disconnected(request_id); }

  /// The release has changed its stage, phase or cap.
  void release_updated(const ReleaseUpdate& release, TimePoint now);

  /// The vote sent last has been answered.
  void vote_answered(Outcome outcome, TimePoint now) {
    vote_scheduler_.vote_answered(outcome, now);
  }

  /// An answer given by this endpoint has been reported as wrong.
  void wrong_answer_reported(int endpoint) {
    analysis_.wrong_answer_reported(cluster_.endpoints()[endpoint].build);
  }

  /// A health check has ended.
  void probe_ended(int endpoint, const LoadReport& load, TimePoint now) {
    cluster_.load_reported(endpoint, load, now);
  }

  /// The next decision, until there is none. To be called again after each input, and when the
  /// wake-up is due that it asked for.
  std::optional<Decision> next(TimePoint now);

  /// Whether the request still matters: false once it is done and all its attempts have ended.
  bool has_request(int request_id) const { return requests_.has_request(request_id); }

 private:
  void note_wait(const Decision& forward, TimePoint now);
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
  SlidingWindow<TimePoint> first_requests_;  // when requests arrived that are no client's retries
  TimePoint analyzed_at_ = long_ago;
  TimePoint wake_up_at_ = long_ago;  // asked for last
  std::optional<AnalysisReport> last_report_{};
  std::deque<AnalysisReport> reports_to_log_{};
};

}  // namespace robinhoist
