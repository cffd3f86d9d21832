/// When this proxy votes: within the quota of calls, again before a vote expires, again after a
/// failure.
#pragma once
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

// This proxy's standing vote.
class VoteScheduler {
 public:
  explicit VoteScheduler(const AnalysisSettings& settings);
  void news(const ReleaseUpdate& release);
  void wants(Verdict verdict, TimePoint now, std::minstd_rand& random);
  void answered(Outcome outcome, TimePoint now);
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);

 private:
  AnalysisSettings settings_;
  int build_ = -1, stage_ = -1;
  ReleasePhase phase_ = ReleasePhase::released;
  Verdict want_ = Verdict::none, stands_ = Verdict::none, asked_ = Verdict::none;
  TimePoint stands_until_ = long_ago, asked_at_ = long_ago, draw_at_{}, retry_at_ = long_ago;
  bool waiting_ = false;
};

}  // namespace robinhoist
