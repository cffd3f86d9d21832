#include "rollout/vote_tally.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace robinhoist::rollout {
namespace {

constexpr double burst_seconds = 2;
// Absorbs floating-point error when a share of the proxies is rounded up to a whole number.
constexpr double rounding_tolerance = 1e-9;

}  // namespace

int votes_needed(double share, int proxies) {
  return std::max(1, static_cast<int>(std::ceil(share * proxies - rounding_tolerance)));
}

VoteTally::VoteTally(double votes_per_s, TimePoint now)
    : votes_per_s_(votes_per_s), tokens_(burst_seconds * votes_per_s), refilled_at_(now) {}

bool VoteTally::admit(TimePoint now) {
  const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(burst_seconds * votes_per_s_, tokens_ + elapsed_s * votes_per_s_);
  refilled_at_ = now;
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

void VoteTally::record(const std::string& proxy, const Vote& vote) {
  votes_[proxy] = vote;
}

int VoteTally::count(Verdict verdict, int build, int stage, TimePoint now) const {
  return static_cast<int>(std::count_if(votes_.begin(), votes_.end(), [&](const auto& each) {
    const Vote& vote = each.second;
    return vote.verdict == verdict && vote.build == build && vote.until > now &&
           (verdict == Verdict::roll_back || vote.stage == stage);
  }));
}

std::map<std::string, Vote> VoteTally::standing(int build, TimePoint now) const {
  std::map<std::string, Vote> votes;
  for (const auto& [proxy, vote] : votes_)
    if (vote.until > now && vote.build == build)
      votes.emplace(proxy, vote);
  return votes;
}

}  // namespace robinhoist::rollout
