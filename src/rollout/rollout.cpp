#include "rollout/rollout.h"

#include <algorithm>
#include <cmath>

namespace robinhoist::rollout {
namespace {
double seconds(Duration s) {
  return std::chrono::duration<double>(s).count();
}
constexpr std::size_t changes_kept = 1000;
}  // namespace

Rollout::Rollout(const Settings& settings, int places, int build, int proxies)
    : settings_(settings),
      places_(places),
      baseline_(build),
      proxies_(proxies),
      rollback_proxies_(proxies),
      build_(build),
      newest_offered_(build),
      next_machine_(places) {
  for (int place = 0; place < places; ++place)
    machines_[place] = Machine{place, build, MachinePhase::ordered, TimePoint{}};
  for (int place = 0; place < places; ++place)
    orders_.push_back({OrderKind::start, place, place, build});
  tokens_ = 2 * settings_.votes_per_s;
}

Rollout::Rollout(const Settings& settings, int places, int proxies, const Kept& kept, TimePoint now)
    : settings_(settings),
      places_(places),
      baseline_(kept.baseline),
      proxies_(proxies),
      rollback_proxies_(proxies),
      build_(kept.build),
      stage_(kept.stage),
      phase_(kept.phase),
      phase_at_(now - kept.since),
      ordered_at_(now),
      ticked_at_(now),
      operator_holds_(kept.operator_holds),
      begun_(kept.begun),
      queued_(kept.queued),
      newest_offered_(kept.newest_offered),
      next_machine_(kept.next_machine),
      machines_(kept.machines),
      fates_(kept.fates),
      tokens_(2 * settings.votes_per_s),
      tokens_at_(now),
      version_(kept.version + 1) {
  // Machines of a fleet that has shrunk or grown are a matter for the next release.
  for (auto& [id, machine] : machines_) {
    machine.since = now;
    if (machine.phase == MachinePhase::ordered)
      orders_.push_back({OrderKind::start, id, machine.place, machine.build});
    if (machine.phase == MachinePhase::draining)
      orders_.push_back({OrderKind::drain, id, machine.place, machine.build});
  }
}

Kept Rollout::kept(TimePoint now) const {
  return {build_,   stage_,    baseline_,       newest_offered_, next_machine_,
          version_, phase_,    now - phase_at_, begun_,          operator_holds_,
          queued_,  machines_, fates_};
}

bool Rollout::can_go_back(TimePoint now) const {
  if (build_ == baseline_ || phase_ == ReleasePhase::rolling_back ||
      phase_ == ReleasePhase::rolled_back)
    return false;
  return phase_ == ReleasePhase::canary ||
         (!queued_ && (settings_.back_for == Duration{} || now < phase_at_ + settings_.back_for));
}

int Rollout::needed(double share, int proxies) {
  return std::max(1, static_cast<int>(std::ceil(share * proxies - 1e-9)));
}

// Of a stage that is due now.
bool Rollout::passes(int stage, TimePoint now) {
  if (!due_since_) {
    due_since_ = now;
    if (begun_ || stage == 0)
      gate_waited_ = Duration{};
  }
  if (!gate(stage))
    return false;
  gate_waited_ += now - *due_since_;
  due_since_.reset();
  return true;
}

bool Rollout::gate(int stage) const {
  auto at = gates_.find({build_, stage});
  return at == gates_.end() ? !settings_.gated : at->second;
}

int Rollout::target(int stage) const {
  return std::clamp(static_cast<int>(std::ceil(settings_.stages[stage] * places_ - 1e-9)), 1,
                    places_);
}

int Rollout::running(int build, bool up_only) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](auto& m) {
    return m.second.build == build && (m.second.phase == MachinePhase::up ||
                                       (!up_only && m.second.phase == MachinePhase::ordered));
  }));
}

ReleaseUpdate Rollout::news(TimePoint now) const {
  double cap = phase_ == ReleasePhase::released           ? 1
               : phase_ == ReleasePhase::canary && begun_ ? settings_.caps[stage_]
                                                          : 0;
  return {build_, stage_, phase_, cap, now - phase_at_};
}

std::map<std::string, Vote> Rollout::votes(TimePoint now) const {
  std::map<std::string, Vote> standing;
  for (auto& [name, vote] : votes_)
    if (vote.until > now && vote.build == build_)
      standing.emplace(name, vote);
  return standing;
}

// A vote for on or hold counts for its stage alone, one for back for the release.
int Rollout::standing(Verdict verdict, TimePoint now) const {
  return static_cast<int>(std::count_if(votes_.begin(), votes_.end(), [&](auto& v) {
    return v.second.verdict == verdict && v.second.build == build_ && v.second.until > now &&
           (verdict == Verdict::roll_back || v.second.stage == stage_);
  }));
}

bool Rollout::held(TimePoint now) const {
  if (phase_ != ReleasePhase::canary)
    return false;
  return operator_holds_ ||
         (settings_.promotion_mode == PromotionMode::clock &&
          standing(Verdict::hold, now) >= needed(settings_.votes_to_hold, rollback_proxies_));
}

void Rollout::enter(ReleasePhase phase, int stage, const std::string& why, TimePoint now) {
  phase_ = phase;
  stage_ = stage;
  phase_at_ = now;
  clock_at_ = long_ago;
  held_for_ = Duration{};
  due_since_.reset();
  ++version_;
  if (changes_.size() >= changes_kept)
    changes_.erase(changes_.begin());
  changes_.push_back({now, build_, stage, phase, why});
}

std::optional<std::string> Rollout::offer(int build, TimePoint now) {
  if (build <= newest_offered_)
    return "build " + std::to_string(build) + " is not newer than " +
           std::to_string(newest_offered_);
  newest_offered_ = build;
  if (phase_ == ReleasePhase::canary)
    go_back("the next build is offered", now);
  queued_ = build;
  return {};
}

void Rollout::machine_up(int id, TimePoint now) {
  auto at = machines_.find(id);
  if (at == machines_.end() || at->second.phase != MachinePhase::ordered)
    return;
  at->second.phase = MachinePhase::up;
  at->second.since = now;
}

void Rollout::machine_gone(int id, TimePoint now) {
  auto at = machines_.find(id);
  if (at == machines_.end())
    return;
  Machine& machine = at->second;
  if (machine.phase == MachinePhase::draining)
    machine.phase = MachinePhase::gone;
  else if (machine.phase == MachinePhase::up)
    machine.phase = MachinePhase::ordered;
  machine.since = now;
  if (machine.phase == MachinePhase::gone)
    machines_.erase(at);
}

Outcome Rollout::vote(const std::string& proxy, int build, int stage, Verdict verdict,
                      TimePoint now) {
  tokens_ = std::min(2 * settings_.votes_per_s,
                     tokens_ + seconds(now - tokens_at_) * settings_.votes_per_s);
  tokens_at_ = now;
  if (tokens_ < 1)
    return Outcome::rejected;
  tokens_ -= 1;
  if (build != build_)
    return Outcome::obsolete;
  const bool canary = phase_ == ReleasePhase::canary;
  switch (verdict) {
    case Verdict::promote:
      if (!canary || stage != stage_ || settings_.promotion_mode == PromotionMode::clock)
        return Outcome::obsolete;
      break;
    case Verdict::hold:
      if (!canary || stage != stage_ || settings_.promotion_mode != PromotionMode::clock)
        return Outcome::obsolete;
      break;
    case Verdict::roll_back:
      // A release that is out can be rolled back until the next is offered.
      if (!can_go_back(now))
        return Outcome::obsolete;
      break;
    case Verdict::none:
      break;
  }
  votes_[proxy] = Vote{build, stage, verdict, now + settings_.vote_lifetime};
  return Outcome::ok;
}

bool Rollout::hold(bool on, const std::string& why, TimePoint now) {
  if (phase_ != ReleasePhase::canary || operator_holds_ == on)
    return false;
  operator_holds_ = on;
  changes_.push_back({now, build_, stage_, phase_, (on ? "held: " : "resumed: ") + why});
  ++version_;
  return true;
}

bool Rollout::back(const std::string& why, TimePoint now) {
  if (!can_go_back(now))
    return false;
  go_back(why, now);
  return true;
}

void Rollout::want(int place, int build, TimePoint now) {
  int id = next_machine_++;
  machines_[id] = Machine{place, build, MachinePhase::ordered, now};
  orders_.push_back({OrderKind::start, id, place, build});
}

void Rollout::begin_stage(TimePoint now) {
  begun_ = true;
  ordered_at_ = now;
  std::vector<bool> taken(places_, false);
  int have = 0;
  for (auto& [id, machine] : machines_)
    if (machine.build == build_ && machine.phase <= MachinePhase::up) {
      taken[machine.place] = true;
      ++have;
    }
  // Spread over the places, so that zones get their part.
  const int wanted = target(stage_);
  for (int i = 0; have < wanted && i < places_; ++i) {
    int place = static_cast<int>((static_cast<long>(i) * 7 + 3) % places_);
    for (int tries = 0; taken[place] && tries < places_; ++tries)
      place = (place + 1) % places_;
    if (taken[place])
      break;
    taken[place] = true;
    ++have;
    want(place, build_, now);
  }
}

void Rollout::go_back(const std::string& why, TimePoint now) {
  operator_holds_ = false;
  enter(ReleasePhase::rolling_back, stage_, why, now);
  // Where the earlier machines have gone new ones are started first.
  std::vector<bool> served(places_, false);
  for (auto& [id, machine] : machines_)
    if (machine.build == baseline_ && machine.phase <= MachinePhase::up)
      served[machine.place] = true;
  for (int place = 0; place < places_; ++place)
    if (!served[place])
      want(place, baseline_, now);
}

// Deciding what follows from what is known; orders queue up behind it.
void Rollout::tick(TimePoint now) {
  if (phase_ == ReleasePhase::canary) {
    const Duration passed = std::max(Duration{}, now - ticked_at_);
    if (begun_ && held(now) && clock_at_ != long_ago)
      held_for_ += std::min(passed, now - clock_at_);
    ticked_at_ = now;
    if (standing(Verdict::roll_back, now) >=
        needed(settings_.votes_to_roll_back, rollback_proxies_)) {
      go_back(std::to_string(standing(Verdict::roll_back, now)) + " of " +
                  std::to_string(rollback_proxies_) + " umpires",
              now);
    } else if (!begun_) {
      if (passes(stage_, now)) {
        begin_stage(now);
        ++version_;
      }
    } else if (clock_at_ == long_ago) {
      const bool all_up = running(build_, true) >= target(stage_);
      TimePoint latest{};
      for (auto& [id, machine] : machines_)
        if (machine.build == build_)
          latest = std::max(latest, machine.since);
      if ((all_up && now >= latest + settings_.settle) ||
          now >= ordered_at_ + settings_.launch_most)
        clock_at_ = now;
    } else {
      const bool baked = now >= clock_at_ + settings_.bake;
      const bool moves = settings_.promotion_mode == PromotionMode::clock
                             ? !held(now) && baked && now >= clock_at_ + settings_.step + held_for_
                             : !operator_holds_ && baked &&
                                   standing(Verdict::promote, now) >=
                                       (settings_.promotion_mode == PromotionMode::first_vote
                                            ? 1
                                            : needed(settings_.votes_to_promote));
      const bool last = stage_ + 1 >= static_cast<int>(settings_.stages.size());
      // The stage before goes on until the steps of the next are done.
      if (moves && !last && passes(stage_ + 1, now)) {
        enter(ReleasePhase::canary, stage_ + 1,
              settings_.promotion_mode == PromotionMode::clock ? "by the clock" : "by votes", now);
        begun_ = false;
        tick(now);
      } else if (moves && last) {
        enter(ReleasePhase::released, stage_, "the last wave is over", now);
      }
    }
  } else if (phase_ == ReleasePhase::released && can_go_back(now) &&
             standing(Verdict::roll_back, now) >=
                 needed(settings_.votes_to_roll_back, rollback_proxies_)) {
    go_back(std::to_string(standing(Verdict::roll_back, now)) + " of " +
                std::to_string(rollback_proxies_) + " umpires, after the release",
            now);
  }
  if (phase_ == ReleasePhase::rolling_back) {
    const bool earlier_serve =
        running(baseline_, true) >= places_ || now >= phase_at_ + settings_.launch_most;
    bool left = false;
    for (auto& [id, machine] : machines_) {
      if (machine.build != build_)
        continue;
      left = true;
      if (earlier_serve && machine.phase <= MachinePhase::up) {
        machine.phase = MachinePhase::draining;
        machine.since = now;
        orders_.push_back({OrderKind::drain, id, machine.place, machine.build});
      }
    }
    if (!left)
      enter(ReleasePhase::rolled_back, stage_, "all its machines are gone", now);
  }
  // Earlier machines make place: each for its successor, or all once the release is out.
  if (phase_ == ReleasePhase::released || (phase_ == ReleasePhase::canary && settings_.in_place)) {
    std::vector<bool> succeeded(places_, false);
    for (auto& [id, machine] : machines_)
      if (machine.build == build_ && machine.phase == MachinePhase::up)
        succeeded[machine.place] = true;
    for (auto& [id, machine] : machines_) {
      if (machine.build == build_ || machine.phase >= MachinePhase::draining ||
          !succeeded[machine.place])
        continue;
      machine.phase = MachinePhase::draining;
      machine.since = now;
      orders_.push_back({OrderKind::drain, id, machine.place, machine.build});
    }
  }
  for (auto& [id, machine] : machines_)
    if (machine.phase == MachinePhase::draining && now >= machine.since + settings_.drain) {
      machine.since = now + std::chrono::hours(1000);  // told once
      orders_.push_back({OrderKind::stop, id, machine.place, machine.build});
    }
  if (queued_ && (phase_ == ReleasePhase::released || phase_ == ReleasePhase::rolled_back)) {
    fates_[build_] = phase_;
    if (phase_ == ReleasePhase::released)
      baseline_ = build_;
    build_ = *queued_;
    queued_.reset();
    votes_.clear();
    gates_.erase(gates_.begin(), gates_.lower_bound({build_, 0}));
    operator_holds_ = false;
    begun_ = false;
    enter(ReleasePhase::canary, 0, "offered", now);
    ticked_at_ = now;
    tick(now);
  }
}

std::optional<Order> Rollout::next(TimePoint now) {
  if (orders_.empty())
    tick(now);
  if (orders_.empty())
    return {};
  Order order = orders_.front();
  orders_.pop_front();
  return order;
}

std::optional<TimePoint> Rollout::next_look(TimePoint now) const {
  const bool drains = std::any_of(machines_.begin(), machines_.end(),
                                  [](auto& m) { return m.second.phase == MachinePhase::draining; });
  if (phase_ != ReleasePhase::canary && phase_ != ReleasePhase::rolling_back && !drains &&
      !queued_ && orders_.empty())
    return {};
  return now + std::chrono::milliseconds(50);
}

}  // namespace robinhoist::rollout
