/// Vote scheduler: decides when this proxy votes on a release. It observes the rate limit on votes,
/// renews a vote before it expires, and retries a vote that failed.
#pragma once
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

/// Owns this proxy's current vote, the vote it should have, and the vote awaiting an answer.
class VoteScheduler {
 public:
  explicit VoteScheduler(const AnalysisSettings& settings);

  /// The release has changed. A new build, stage or phase invalidates the current vote.
  void release_updated(const ReleaseUpdate& release);
  /// Sets the verdict to vote for from now on. A change of the verdict schedules the vote after a
  /// random delay, so that proxies with the same verdict do not all vote at once.
  void set_verdict(Verdict verdict, TimePoint now, std::minstd_rand& random);
  /// The last vote returned by next() was answered.
  void vote_answered(Outcome outcome, TimePoint now);
  /// The vote to send now, if one is due. At most one vote awaits an answer at a time.
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);

 private:
  int votes_needed(Verdict verdict) const;
  bool renewal_due(TimePoint now) const;

  AnalysisSettings settings_;
  int build_ = -1;
  int stage_ = -1;
  ReleasePhase phase_ = ReleasePhase::released;
  Verdict wanted_ = Verdict::none;
  Verdict standing_ = Verdict::none;  // the vote that the controller has accepted
  Verdict sent_ = Verdict::none;
  TimePoint expires_at_ = long_ago;  // of the standing vote
  TimePoint sent_at_ = long_ago;
  TimePoint not_before_{};
  TimePoint retry_at_ = long_ago;
  bool awaiting_answer_ = false;
};

}  // namespace robinhoist
