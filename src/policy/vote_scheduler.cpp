#include "policy/vote_scheduler.h"

#include <algorithm>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

constexpr Duration retry_after_conflict = 500ms;
constexpr Duration retry_after_failure = 250ms;

}  // namespace

VoteScheduler::VoteScheduler(const AnalysisSettings& settings) : settings_(settings) {}

void VoteScheduler::release_updated(const ReleaseUpdate& release) {
  if (release.build != build_ || release.stage != stage_ || release.phase != phase_)
    standing_ = Verdict::none;
  build_ = release.build;
  stage_ = release.stage;
  phase_ = release.phase;
}

int VoteScheduler::votes_needed(Verdict verdict) const {
  switch (verdict) {
    case Verdict::none:
      return 0;
    case Verdict::promote:
      return settings_.votes_to_promote;
    case Verdict::hold:
      return settings_.votes_to_hold;
    case Verdict::roll_back:
      return settings_.votes_to_roll_back;
  }
  return 0;
}

// The delay is uniform over the time that twice the needed votes take at the rate limit. The
// withdrawal of a vote is not delayed, since it needs no votes.
void VoteScheduler::set_verdict(Verdict verdict, TimePoint now, std::minstd_rand& random) {
  if (verdict == wanted_)
    return;
  wanted_ = verdict;
  const int voters = std::min(settings_.proxies, 2 * votes_needed(verdict));
  not_before_ = now + from_millis(1e3 * uniform_sample(random) * voters /
                                  std::max(1.0, settings_.votes_per_s));
}

void VoteScheduler::vote_answered(Outcome outcome, TimePoint now) {
  awaiting_answer_ = false;
  if (outcome == Outcome::ok) {
    standing_ = sent_;
    expires_at_ = sent_at_ + settings_.vote_lifetime;
  } else {
    retry_at_ = now + (outcome == Outcome::obsolete ? retry_after_conflict : retry_after_failure);
  }
}

bool VoteScheduler::renewal_due(TimePoint now) const {
  return standing_ == wanted_ && wanted_ != Verdict::none &&
         now >= expires_at_ - settings_.vote_lifetime / 4;
}

std::optional<Decision> VoteScheduler::next(TimePoint now, std::minstd_rand& random) {
  // If no answer arrives, the vote is given up after twice the call timeout.
  if (awaiting_answer_ && now < sent_at_ + 2 * settings_.call_timeout)
    return {};
  if (now >= expires_at_)
    standing_ = Verdict::none;
  if (standing_ == wanted_ && !renewal_due(now))
    return {};
  if (now < not_before_ || now < retry_at_)
    return {};
  // If the rate limit does not suffice for votes of all proxies, each votes with the probability
  // that the limit allows.
  const double probability =
      settings_.votes_per_s * to_seconds(settings_.vote_lifetime) / std::max(1, settings_.proxies);
  if (wanted_ != Verdict::none && probability < 1 && uniform_sample(random) >= probability) {
    not_before_ = now + settings_.vote_lifetime;
    return {};
  }
  awaiting_answer_ = true;
  sent_ = wanted_;
  sent_at_ = now;
  return Decision{.action = Action::vote, .build = build_, .stage = stage_, .verdict = wanted_};
}

}  // namespace robinhoist
