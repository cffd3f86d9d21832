/// Vote scheduler: when this proxy votes on a release. It keeps to the quota of votes, renews a
/// vote before it expires, and votes again after a failure.
#pragma once
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

/// The vote of this proxy that stands, the one that it wants, and the one that is on its way.
class VoteScheduler {
 public:
  explicit VoteScheduler(const AnalysisSettings& settings);

  /// A new build, stage or phase takes the standing vote away.
  void release_updated(const ReleaseUpdate& release);
  /// The verdict to vote for from now on. A change of verdict draws the time of the vote, so that
  /// proxies which decide alike do not vote all at once.
  void set_verdict(Verdict verdict, TimePoint now, std::minstd_rand& random);
  /// The answer to the last vote that next() returned.
  void vote_answered(Outcome outcome, TimePoint now);
  /// The vote to send now, if one is due. At most one is on its way.
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);

 private:
  int votes_needed(Verdict verdict) const;
  bool renewal_due(TimePoint now) const;

  AnalysisSettings settings_;
  int build_ = -1;
  int stage_ = -1;
  ReleasePhase phase_ = ReleasePhase::released;
  Verdict wanted_ = Verdict::none;
  Verdict standing_ = Verdict::none;
  Verdict sent_ = Verdict::none;
  TimePoint expires_at_ = long_ago;  // of the standing vote
  TimePoint sent_at_ = long_ago;
  TimePoint not_before_{};
  TimePoint retry_at_ = long_ago;
  bool awaiting_answer_ = false;
};

}  // namespace robinhoist
