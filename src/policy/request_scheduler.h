/// The life of a request: attempts, retries, hedges, time-outs, rejection and the final answer.
#pragma once
#include <deque>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/canary_quota.h"
#include "policy/decision.h"
#include "policy/endpoint_set.h"
#include "policy/request.h"
#include "util/sliding_window.h"

namespace robinhoist {

struct ScheduledRequest {
  RequestInfo info;
  TimePoint look_at{};
  std::vector<Attempt> attempts{};
  bool over = false, streaming = false;
};

// Requests: attempts, repeats, time-outs, rejects and final answers.
class RequestScheduler {
 public:
  RequestScheduler(const RequestSettings& settings, EndpointSet& endpoints,
                   CanaryQuota& canary_quota, std::minstd_rand& random);
  void arrived(const RequestInfo& request);
  void streaming(int request_id);
  void ended(int request_id, int attempt, Outcome outcome, bool succeeded, TimePoint now);
  void left(int request_id);
  bool knows(int request_id) const { return requests_.count(request_id) > 0; }
  const ScheduledRequest* find(int request_id) const;
  std::optional<Decision> next(TimePoint now);
  std::optional<TimePoint> next_look() const {
    return looks_.empty() ? std::nullopt : std::optional<TimePoint>(looks_.top().first);
  }
  double canary_share(TimePoint now);
  bool shedding() const;

 private:
  std::optional<Decision> decide(int id, ScheduledRequest& request, TimePoint now);
  std::optional<Decision> forward(int id, ScheduledRequest& request, int endpoint, TimePoint now);
  std::optional<Decision> finish(int id, ScheduledRequest& request, Duration pause, TimePoint now);
  int place(const ScheduledRequest& request, TimePoint now);
  void felt(const Attempt& one, Outcome outcome, int request_class, TimePoint now);
  Duration longest_wait(const ScheduledRequest& request, TimePoint now) const;
  bool over_share(int tenant) const;
  bool let_in(const RequestInfo& info, TimePoint now);
  bool may_go(const ScheduledRequest& request, int endpoint, TimePoint now) const;
  void look(int id, ScheduledRequest& request, TimePoint at);
  void forget(int id);

  RequestSettings settings_;
  EndpointSet& endpoints_;
  CanaryQuota& canary_quota_;
  std::minstd_rand& random_;
  std::unordered_map<int, ScheduledRequest> requests_{};
  std::deque<int> ready_{};
  std::deque<std::pair<int, int>> cancels_{};
  std::priority_queue<std::pair<TimePoint, int>, std::vector<std::pair<TimePoint, int>>,
                      std::greater<>>
      looks_{};
  SlidingWindow<char> again_, rejections_;
  SlidingWindow<int> tenants_;
  SlidingWindow<char> slow_;
  TimePoint felt_at_{};
  double open_ = 1;  // the part of requests that is let in
};

}  // namespace robinhoist
