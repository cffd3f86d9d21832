/// The proxies' votes on a release: which are in effect, how many are needed and the rate at which
/// they are accepted. Performs no I/O and reads no clock.
#pragma once
#include <map>
#include <string>

#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// The number of votes that make up a share of the proxies; at least one.
int votes_needed(double share, int proxies);

/// One proxy's vote. It is in effect until `until`.
struct Vote {
  int build;
  int stage;
  Verdict verdict;
  TimePoint until;
};

/// The latest vote of each proxy.
class VoteTally {
 public:
  /// Limits votes to `votes_per_s`, with bursts of two seconds' worth. The token bucket is full at
  /// `now`.
  VoteTally(double votes_per_s, TimePoint now);

  /// Consumes a token for one vote; returns false if the rate limit is exceeded.
  bool admit(TimePoint now);
  /// Stores a vote, replacing the proxy's earlier one.
  void record(const std::string& proxy, const Vote& vote);
  void clear() { votes_.clear(); }

  /// The number of votes in effect for a verdict. A vote to promote or to hold counts only for its
  /// stage, a vote to roll back counts for the whole release.
  int count(Verdict verdict, int build, int stage, TimePoint now) const;
  /// The votes on a build that are in effect, by proxy.
  std::map<std::string, Vote> standing(int build, TimePoint now) const;

 private:
  double votes_per_s_;
  double tokens_;
  TimePoint refilled_at_;
  std::map<std::string, Vote> votes_{};
};

}  // namespace robinhoist::rollout
