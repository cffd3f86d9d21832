/// The lifecycle of requests: attempts, retries, hedged requests, rejection and completion.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "policy/admission_controller.h"
#include "policy/canary_quota.h"
#include "policy/decision.h"
#include "policy/request.h"
#include "policy/retry_budget.h"
#include "policy/upstream_cluster.h"
#include "time/time_types.h"

namespace robinhoist {

/// A request that the scheduler tracks.
struct ScheduledRequest {
  RequestInfo info;
  TimePoint next_check_at{};  ///< the earliest timer set for it; zero: none
  std::vector<Attempt> attempts{};
  bool done = false;       ///< it was answered, rejected or failed, or its client has disconnected
  bool streaming = false;  ///< its answer is being streamed; no more attempts are sent
};

/// Owns the requests from their arrival until they are done and all their attempts have ended.
/// The input functions only update state; next() decides.
class RequestScheduler {
 public:
  /// The objects passed by reference must outlive this object.
  RequestScheduler(const RequestSettings& settings, UpstreamCluster& cluster,
                   CanaryQuota& canary_quota, std::minstd_rand& random);

  /// A request has arrived; its id must not be in use.
  void request_arrived(const RequestInfo& request);

  /// The answer to a request has begun to stream to its client.
  void stream_began(int request_id);

  /// An attempt, given by its index in the request, has ended; `succeeded` means that the client
  /// has got its answer. Unknown requests and attempts are ignored.
  void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded, TimePoint now);

  /// The client of a request has disconnected.
  void client_disconnected(int request_id);

  /// Whether the request is still tracked.
  bool has_request(int request_id) const { return requests_.contains(request_id); }

  /// The request, nullptr if it is not tracked. Valid until the next call that is not const.
  const ScheduledRequest* find(int request_id) const;

  /// The next decision, if any is due.
  std::optional<Decision> next(TimePoint now);

  /// When next() must be called again if there is no event before.
  std::optional<TimePoint> next_check_at() const;

  /// The share of first attempts to send to the newest build; see newest_build_share().
  double newest_build_share(TimePoint now);

 private:
  struct AttemptId {
    int request_id;
    int attempt;
  };
  struct Timer {
    TimePoint at;
    int request_id;
    bool operator>(const Timer& other) const {
      return std::tie(at, request_id) > std::tie(other.at, other.request_id);
    }
  };
  std::optional<Decision> next_cancellation();
  void collect_due_timers(TimePoint now);
  std::optional<Decision> decide(ScheduledRequest& request, TimePoint now);
  std::optional<Decision> consider_hedge(ScheduledRequest& request, TimePoint now);
  bool may_send(const ScheduledRequest& request, TimePoint now);
  TimePoint hedge_due_at(const ScheduledRequest& request);
  Decision send(ScheduledRequest& request, int endpoint, TimePoint now);
  Decision finish(ScheduledRequest& request, Duration retry_after, TimePoint now);
  int pick_endpoint(const ScheduledRequest& request, TimePoint now);
  int pick_endpoint_in(BuildGroup build, const ScheduledRequest& request, TimePoint now);
  bool may_use(int endpoint, BuildGroup build, const ScheduledRequest& request, TimePoint now);
  void set_timer(ScheduledRequest& request, TimePoint at);
  void erase_if_ended(int request_id);
  const RequestClass& class_of(const ScheduledRequest& request) const;

  RequestSettings settings_;
  UpstreamCluster& cluster_;
  CanaryQuota& canary_quota_;
  std::minstd_rand& random_;
  AdmissionController admission_;
  RetryBudget retry_budget_;
  std::unordered_map<int, ScheduledRequest> requests_{};
  std::deque<int> undecided_{};        // requests that next() must decide on, in this order
  std::deque<AttemptId> to_cancel_{};  // attempts no longer needed
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_{};
};

}  // namespace robinhoist
