/// The proxies' votes on a release: which stand, how many are needed, and how many a second are
/// accepted. Free of I/O and clocks.
#pragma once
#include <map>
#include <string>

#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// How many votes make up a share of the proxies; one at least.
int votes_needed(double share, int proxies);

/// One proxy's vote. It stands until `until`.
struct Vote {
  int build;
  int stage;
  Verdict verdict;
  TimePoint until;
};

/// The last vote of each proxy.
class VoteTally {
 public:
  /// Accepts `votes_per_s`, and twice as many in a burst. The bucket is full at `now`.
  VoteTally(double votes_per_s, TimePoint now);

  /// Takes a token for one more vote; false when the rate is exceeded.
  bool admit(TimePoint now);
  /// Replaces the proxy's earlier vote.
  void record(const std::string& proxy, const Vote& vote);
  void clear() { votes_.clear(); }

  /// How many stand for a verdict. One to promote or hold counts for its stage alone, one to roll
  /// back for the whole release.
  int count(Verdict verdict, int build, int stage, TimePoint now) const;
  /// The votes on a build that stand, by proxy.
  std::map<std::string, Vote> standing(int build, TimePoint now) const;

 private:
  double votes_per_s_;
  double tokens_;
  TimePoint refilled_at_;
  std::map<std::string, Vote> votes_{};
};

}  // namespace robinhoist::rollout
