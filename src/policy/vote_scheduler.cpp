#include "policy/vote_scheduler.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

VoteScheduler::VoteScheduler(const AnalysisSettings& settings) : settings_(settings) {}

void VoteScheduler::news(const ReleaseUpdate& release) {
  if (release.build != build_ || release.stage != stage_ || release.phase != phase_)
    stands_ = Verdict::none;
  build_ = release.build;
  stage_ = release.stage;
  phase_ = release.phase;
}

// A decided proxy draws once per vote life, in the time of twice the votes needed; a hold ends at
// once.
void VoteScheduler::wants(Verdict verdict, TimePoint now, std::minstd_rand& random) {
  if (verdict == want_)
    return;
  want_ = verdict;
  const int needed[] = {0, settings_.votes_to_promote, settings_.votes_to_hold,
                        settings_.votes_to_roll_back};
  const int voters = std::min(settings_.proxies, 2 * needed[static_cast<int>(verdict)]);
  draw_at_ = now + from_millis(1e3 * uniform_sample(random) * voters /
                               std::max(1.0, settings_.votes_per_s));
}

void VoteScheduler::answered(Outcome outcome, TimePoint now) {
  waiting_ = false;
  if (outcome == Outcome::ok) {
    stands_ = asked_;
    stands_until_ = asked_at_ + settings_.vote_lifetime;
  } else {
    retry_at_ = now + (outcome == Outcome::obsolete ? 500ms : 250ms);
  }
}

std::optional<Decision> VoteScheduler::next(TimePoint now, std::minstd_rand& random) {
  // An answer that never came: twice the longest wait is enough.
  if (waiting_ && now < asked_at_ + 2 * settings_.call_timeout)
    return {};
  if (now >= stands_until_)
    stands_ = Verdict::none;
  bool renew = stands_ == want_ && want_ != Verdict::none &&
               now >= stands_until_ - settings_.vote_lifetime / 4;
  if ((stands_ == want_ && !renew) || now < draw_at_ || now < retry_at_)
    return {};
  double chosen =
      settings_.votes_per_s * to_seconds(settings_.vote_lifetime) / std::max(1, settings_.proxies);
  if (want_ != Verdict::none && chosen < 1 && uniform_sample(random) >= chosen) {
    draw_at_ = now + settings_.vote_lifetime;
    return {};
  }
  waiting_ = true;
  asked_ = want_;
  asked_at_ = now;
  return Decision{.action = Action::vote, .build = build_, .stage = stage_, .verdict = want_};
}

}  // namespace robinhoist
