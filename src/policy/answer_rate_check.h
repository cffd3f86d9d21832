/// Answer rate check of the canary analysis: whether the canary's answers come more slowly than the
/// baseline's, attempts that are still open included.
///
/// With little traffic a stage is over before the slow attempts of a bad build end, and the
/// latencies measured until then are biased towards short ones. An open attempt has a
/// right-censored latency: it takes at least as long as it has been open. The check therefore
/// compares answers per second of waiting. The canary is expected to give as many answers as the
/// baseline does in an equal total waiting time.
#pragma once
#include <map>
#include <utility>

#include "policy/canary_check.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Identifies an attempt by its request and its index in the request.
using AttemptKey = std::pair<int, int>;

/// How long one attempt was waited for.
struct AttemptWait {
  TimePoint sent_at;
  TimePoint ended_at;  ///< of an open attempt: the time of the check
  int endpoint;
  bool answered;
};

/// Tracks open and recently ended attempts of both cohorts and runs the check on them.
class AnswerRateCheck {
 public:
  /// Unless `many_votes` are needed to roll back, the check is disabled: it records nothing and
  /// always passes, because one proxy's evidence of this kind is too weak to decide alone.
  explicit AnswerRateCheck(bool many_votes);

  /// An attempt was sent to a warm endpoint of the canary or the baseline.
  void attempt_sent(AttemptKey key, bool canary, int endpoint, TimePoint now);
  /// The attempt ended. Attempts without a call of attempt_sent() are ignored.
  void attempt_ended(AttemptKey key, bool answered, TimePoint now);
  /// The attempt ended in a way that gives no waiting time, such as a rejection; it is dropped.
  void attempt_withdrawn(AttemptKey key);
  /// Drops the canary's ended attempts, which belong to the previous stage.
  void stage_began() { canary_.clear(); }
  /// Drops all of the canary's attempts, which belong to the previous build.
  void build_offered();

  /// Fails if, since `from`, the canary gave far fewer answers for its waiting time than the
  /// baseline.
  CheckResult run(TimePoint from, const CheckContext& context, TimePoint now) const;

 private:
  struct WaitTotals {
    Duration time{};
    double answers = 0;
  };
  using WaitTotalsByEndpoint = std::map<int, WaitTotals>;
  struct OpenAttempt {
    bool canary;
    int endpoint;
    TimePoint sent_at;
  };

  WaitTotalsByEndpoint wait_totals(bool canary, TimePoint from, TimePoint now) const;

  bool many_votes_;
  std::map<AttemptKey, OpenAttempt> open_{};
  SlidingWindow<AttemptWait> canary_;
  SlidingWindow<AttemptWait> baseline_;
};

}  // namespace robinhoist
