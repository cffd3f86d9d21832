/// Answer rate check of the canary analysis: whether the canary's answers come more slowly than the
/// baseline's, attempts that are still open included.
///
/// Where traffic is thin a stage is over before the slow attempts of a bad build end, and the
/// latencies of those that did end are the short ones. An open attempt is known to take at least
/// its age (a right-censored latency). So the check compares answers for each second of waiting: as
/// many as the baseline gives in the time that the canary's attempts have been waited for are
/// expected of the canary.
#pragma once
#include <map>
#include <utility>

#include "policy/canary_check.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Names an attempt: its request and its index in the request.
using AttemptKey = std::pair<int, int>;

/// The waiting for one attempt.
struct AttemptWait {
  TimePoint sent_at;
  TimePoint ended_at;  ///< for an open attempt the time of the check
  int endpoint;
  bool answered;
};

class AnswerRateCheck {
 public:
  /// Where a single vote rolls back, it notes nothing and always passes: one proxy's evidence of
  /// this kind is too thin to decide alone.
  explicit AnswerRateCheck(bool many_votes);

  /// An attempt at a warm endpoint of the canary or the baseline was sent.
  void attempt_sent(AttemptKey key, bool canary, int endpoint, TimePoint now);
  /// It ended. Attempts that were not noted as sent are ignored.
  void attempt_ended(AttemptKey key, bool answered, TimePoint now);
  /// It ended without having been waited for: rejected, or never sent.
  void attempt_withdrawn(AttemptKey key);
  /// What has ended at the canary tells nothing of the next stage.
  void stage_began() { canary_.clear(); }
  /// Nothing of the canary so far belongs to the build that is offered now.
  void build_offered();

  /// Fails if the canary gives far fewer answers for its waiting than the baseline since `from`.
  CheckResult run(TimePoint from, const CheckContext& context, TimePoint now) const;

 private:
  struct Waiting {
    Duration time{};
    double answers = 0;
  };
  using WaitingByEndpoint = std::map<int, Waiting>;
  struct OpenAttempt {
    bool canary;
    int endpoint;
    TimePoint sent_at;
  };

  WaitingByEndpoint waiting(bool canary, TimePoint from, TimePoint now) const;

  bool many_votes_;
  std::map<AttemptKey, OpenAttempt> open_{};
  SlidingWindow<AttemptWait> canary_;
  SlidingWindow<AttemptWait> baseline_;
};

}  // namespace robinhoist
