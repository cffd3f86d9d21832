/// The decision module's interface: one DecisionEngine is one proxy instance.
///
/// Tell it what happens through the input functions, which only note what is known; then call
/// next(now) until it returns nothing, and carry out each decision that it hands over. It has no
/// I/O and no clock of its own.
#pragma once
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "policy/analysis_report.h"
#include "policy/canary_analysis.h"
#include "policy/canary_quota.h"
#include "policy/request_scheduler.h"
#include "policy/vote_scheduler.h"

namespace robinhoist {

class DecisionEngine {
 public:
  DecisionEngine(unsigned salt, const EndpointSettings& endpoints,
                 const CanaryQuotaSettings& canary_quota, const AnalysisSettings& analysis,
                 const RequestSettings& requests);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint now) {
    endpoints_.news(kind, entries, now);
  }
  void request_arrived(const RequestInfo& request, TimePoint now);
  void stream_began(int request_id) { requests_.streaming(request_id); }
  void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded,
                     const LoadReport& load, TimePoint now);
  void client_disconnected(int request_id) { requests_.left(request_id); }
  void release_updated(const ReleaseUpdate& release, TimePoint now);
  void vote_answered(Outcome outcome, TimePoint now) {
    vote_scheduler_.vote_answered(outcome, now);
  }
  void answer_found_wrong(int endpoint) {
    analysis_.answer_found_wrong(endpoints_.all()[endpoint].build);
  }
  void probe_ended(int endpoint, const LoadReport& load, TimePoint now) {
    endpoints_.report(endpoint, load, now);
  }

  // The next decision, until there is none. Call again after each input and at each asked-for
  // wake-up.
  std::optional<Decision> next(TimePoint now);
  // Whether the request still matters: false once it has ended and all its attempts have come back.
  bool knows(int request_id) const { return requests_.knows(request_id); }

 private:
  std::minstd_rand random_;
  EndpointSet endpoints_;
  CanaryQuota canary_quota_;
  CanaryAnalysis analysis_;
  VoteScheduler vote_scheduler_;
  RequestScheduler requests_;
  SlidingWindow<TimePoint> firsts_;
  TimePoint judged_at_ = long_ago, wake_at_ = long_ago;
  std::optional<AnalysisReport> last_report_{};
  std::deque<AnalysisReport> reports_to_log_{};
};

}  // namespace robinhoist
