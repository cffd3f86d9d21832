#include "rollout/rollout.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace robinhoist::rollout {
namespace {

constexpr std::size_t max_changes = 1000;
constexpr auto check_interval = std::chrono::milliseconds(50);
// Absorbs floating-point error when a share of the slots is rounded up to a whole number.
constexpr double rounding_tolerance = 1e-9;

// Reasons for changes. They are part of the API, in the status of a release, and of stored data.
namespace reason {
constexpr const char* submitted = "offered";
constexpr const char* next_submitted = "the next build is offered";
constexpr const char* by_clock = "by the clock";
constexpr const char* by_votes = "by votes";
constexpr const char* last_stage_over = "the last wave is over";
constexpr const char* machines_gone = "all its machines are gone";
constexpr const char* proxies = " umpires";
constexpr const char* after_release = ", after the release";
}  // namespace reason

}  // namespace

Rollout::Rollout(const Settings& settings, int slots, int build, int proxies)
    : settings_(settings),
      electorate_{proxies, proxies},
      machines_(slots, build),
      votes_(settings.votes_per_s, TimePoint{}),
      baseline_(build),
      build_(build),
      newest_build_(build) {}

Rollout::Rollout(const Settings& settings, int slots, int proxies, const RolloutState& state,
                 TimePoint now)
    : settings_(settings),
      electorate_{proxies, proxies},
      machines_(slots, state.next_machine, state.machines, now),
      votes_(settings.votes_per_s, now),
      baseline_(state.baseline),
      build_(state.build),
      newest_build_(state.newest_build),
      queued_build_(state.queued_build),
      past_outcomes_(state.past_outcomes),
      phase_(state.phase),
      phase_since_(now - state.phase_age),
      stage_(state.stage),
      stage_started_(state.stage_started),
      stage_started_at_(now),
      held_by_operator_(state.held_by_operator),
      decided_at_(now),
      version_(state.version + 1) {}

RolloutState Rollout::state(TimePoint now) const {
  return {.build = build_,
          .stage = stage_,
          .baseline = baseline_,
          .newest_build = newest_build_,
          .next_machine = machines_.next_id(),
          .version = version_,
          .phase = phase_,
          .phase_age = now - phase_since_,
          .stage_started = stage_started_,
          .held_by_operator = held_by_operator_,
          .queued_build = queued_build_,
          .machines = machines_.all(),
          .past_outcomes = past_outcomes_};
}

// --- Inputs

std::optional<std::string> Rollout::submit(int build, TimePoint now) {
  if (build <= newest_build_)
    return "build " + std::to_string(build) + " is not newer than " + std::to_string(newest_build_);
  newest_build_ = build;
  if (phase_ == ReleasePhase::canary)
    begin_rollback(reason::next_submitted, now);
  queued_build_ = build;
  return {};
}

Outcome Rollout::vote(const std::string& proxy, int build, int stage, Verdict verdict,
                      TimePoint now) {
  if (!votes_.admit(now))
    return Outcome::rejected;
  if (build != build_ || !accepts(stage, verdict, now))
    return Outcome::obsolete;
  votes_.record(proxy, {build, stage, verdict, now + settings_.vote_lifetime});
  return Outcome::ok;
}

// Whether a vote on the current build applies in this phase and promotion mode.
bool Rollout::accepts(int stage, Verdict verdict, TimePoint now) const {
  const bool on_canary_stage = phase_ == ReleasePhase::canary && stage == stage_;
  const bool by_clock = settings_.promotion_mode == PromotionMode::clock;
  switch (verdict) {
    case Verdict::promote:
      return on_canary_stage && !by_clock;
    case Verdict::hold:
      return on_canary_stage && by_clock;
    case Verdict::roll_back:
      // Also accepted after the release, until the next build is submitted.
      return can_roll_back(now);
    case Verdict::none:
      return true;
  }
  return true;
}

bool Rollout::set_hold(bool held, const std::string& change, TimePoint now) {
  if (phase_ != ReleasePhase::canary || held_by_operator_ == held)
    return false;
  held_by_operator_ = held;
  changes_.push_back({now, build_, stage_, phase_, change});
  ++version_;
  return true;
}

bool Rollout::roll_back(const std::string& why, TimePoint now) {
  if (!can_roll_back(now))
    return false;
  begin_rollback(why, now);
  return true;
}

// --- Queries

ReleaseUpdate Rollout::release_update(TimePoint now) const {
  double cap = 0;
  if (phase_ == ReleasePhase::released)
    cap = 1;
  else if (phase_ == ReleasePhase::canary && stage_started_)
    cap = settings_.caps[stage_];
  return {build_, stage_, phase_, cap, now - phase_since_};
}

int Rollout::active_stage() const {
  return stage_started_ || phase_ != ReleasePhase::canary ? stage_ : stage_ - 1;
}

bool Rollout::on_hold(TimePoint now) const {
  if (phase_ != ReleasePhase::canary)
    return false;
  return held_by_operator_ || (settings_.promotion_mode == PromotionMode::clock &&
                               count_votes(Verdict::hold, now) >=
                                   votes_needed(settings_.votes_to_hold, electorate_.roll_back));
}

bool Rollout::can_roll_back(TimePoint now) const {
  if (build_ == baseline_)
    return false;
  if (phase_ == ReleasePhase::canary)
    return true;
  if (phase_ != ReleasePhase::released || queued_build_)
    return false;
  return settings_.rollback_window == Duration{} || now < phase_since_ + settings_.rollback_window;
}

int Rollout::count_votes(Verdict verdict, TimePoint now) const {
  return votes_.count(verdict, build_, stage_, now);
}

// The number of machines of the release that a stage runs.
int Rollout::stage_machines(int stage) const {
  const double share = settings_.stages[stage];
  const int wanted = static_cast<int>(std::ceil(share * machines_.slots() - rounding_tolerance));
  return std::clamp(wanted, 1, machines_.slots());
}

bool Rollout::gate_is_open(int stage) const {
  const auto found = gates_.find({build_, stage});
  if (found == gates_.end())
    return !settings_.gates_closed_by_default;
  return found->second == Gate::open;
}

// Call only for a stage that is due. Updates the time that the stage has waited for its gate.
bool Rollout::passes_gate(int stage, TimePoint now) {
  if (!gate_wait_since_) {
    gate_wait_since_ = now;
    if (stage_started_ || stage == 0)
      gate_wait_ = Duration{};
  }
  if (!gate_is_open(stage))
    return false;
  gate_wait_ += now - *gate_wait_since_;
  gate_wait_since_.reset();
  return true;
}

// --- Decisions

std::optional<Command> Rollout::next_command(TimePoint now) {
  if (!machines_.has_commands())
    decide(now);
  return machines_.take_command();
}

std::optional<TimePoint> Rollout::next_check_at(TimePoint now) const {
  const bool moving = phase_ == ReleasePhase::canary || phase_ == ReleasePhase::rolling_back;
  if (!moving && !machines_.any_draining() && !queued_build_ && !machines_.has_commands())
    return {};
  return now + check_interval;
}

void Rollout::decide(TimePoint now) {
  if (phase_ == ReleasePhase::canary)
    decide_canary(now);
  else if (phase_ == ReleasePhase::released && can_roll_back(now))
    roll_back_by_votes(reason::after_release, now);
  if (phase_ == ReleasePhase::rolling_back)
    continue_rollback(now);
  drain_replaced_machines(now);
  machines_.stop_drained(settings_.drain, now);
  start_queued_release(now);
}

void Rollout::decide_canary(TimePoint now) {
  add_hold_time(now);
  if (roll_back_by_votes("", now))
    return;
  if (!stage_started_) {
    if (passes_gate(stage_, now))
      begin_stage(now);
  } else if (!stage_clock_start_) {
    start_stage_clock_when_ready(now);
  } else if (stage_is_over(now)) {
    advance_stage(now);
  }
}

void Rollout::add_hold_time(TimePoint now) {
  const Duration elapsed = std::max(Duration{}, now - decided_at_);
  if (stage_started_ && stage_clock_start_ && on_hold(now))
    hold_time_ += std::min(elapsed, now - *stage_clock_start_);
  decided_at_ = now;
}

void Rollout::begin_stage(TimePoint now) {
  stage_started_ = true;
  stage_started_at_ = now;
  machines_.start_spread(stage_machines(stage_), build_, now);
  ++version_;
}

void Rollout::start_stage_clock_when_ready(TimePoint now) {
  const bool all_up = machines_.count_up(build_) >= stage_machines(stage_);
  const bool settled = all_up && now >= machines_.last_change(build_) + settings_.settle;
  if (settled || now >= stage_started_at_ + settings_.max_launch_time)
    stage_clock_start_ = now;
}

bool Rollout::stage_is_over(TimePoint now) const {
  if (now < *stage_clock_start_ + settings_.bake)
    return false;
  switch (settings_.promotion_mode) {
    case PromotionMode::clock:
      return !on_hold(now) && now >= *stage_clock_start_ + settings_.stage_duration + hold_time_;
    case PromotionMode::first_vote:
      return !held_by_operator_ && count_votes(Verdict::promote, now) >= 1;
    case PromotionMode::count:
      return !held_by_operator_ &&
             count_votes(Verdict::promote, now) >=
                 votes_needed(settings_.votes_to_promote, electorate_.promote);
  }
  return false;
}

void Rollout::advance_stage(TimePoint now) {
  const int next = stage_ + 1;
  if (next >= static_cast<int>(settings_.stages.size())) {
    enter_phase(ReleasePhase::released, stage_, reason::last_stage_over, now);
    return;
  }
  // The current stage continues until the migration steps before the next stage are done.
  if (!passes_gate(next, now))
    return;
  const bool by_clock = settings_.promotion_mode == PromotionMode::clock;
  enter_phase(ReleasePhase::canary, next, by_clock ? reason::by_clock : reason::by_votes, now);
  stage_started_ = false;
  decide(now);
}

bool Rollout::roll_back_by_votes(const std::string& reason_suffix, TimePoint now) {
  const int votes = count_votes(Verdict::roll_back, now);
  if (votes < votes_needed(settings_.votes_to_roll_back, electorate_.roll_back))
    return false;
  begin_rollback(std::to_string(votes) + " of " + std::to_string(electorate_.roll_back) +
                     reason::proxies + reason_suffix,
                 now);
  return true;
}

void Rollout::begin_rollback(const std::string& why, TimePoint now) {
  held_by_operator_ = false;
  enter_phase(ReleasePhase::rolling_back, stage_, why, now);
  machines_.fill_slots(baseline_, now);
}

// The release's machines are drained only once the baseline is up in every slot, or its launch time
// limit has passed.
void Rollout::continue_rollback(TimePoint now) {
  const bool baseline_serves = machines_.count_up(baseline_) >= machines_.slots() ||
                               now >= phase_since_ + settings_.max_launch_time;
  if (baseline_serves)
    machines_.drain_build(build_, now);
  if (!machines_.has_build(build_))
    enter_phase(ReleasePhase::rolled_back, stage_, reason::machines_gone, now);
}

void Rollout::drain_replaced_machines(TimePoint now) {
  const bool released = phase_ == ReleasePhase::released;
  const bool replaces_in_place = phase_ == ReleasePhase::canary && settings_.in_place;
  if (released || replaces_in_place)
    machines_.drain_replaced(build_, now);
}

void Rollout::start_queued_release(TimePoint now) {
  const bool finished = phase_ == ReleasePhase::released || phase_ == ReleasePhase::rolled_back;
  if (!queued_build_ || !finished)
    return;
  past_outcomes_[build_] = phase_;
  if (phase_ == ReleasePhase::released)
    baseline_ = build_;
  build_ = *queued_build_;
  queued_build_.reset();
  votes_.clear();
  gates_.erase(gates_.begin(), gates_.lower_bound({build_, 0}));
  held_by_operator_ = false;
  stage_started_ = false;
  enter_phase(ReleasePhase::canary, 0, reason::submitted, now);
  decided_at_ = now;
  decide(now);
}

void Rollout::enter_phase(ReleasePhase phase, int stage, const std::string& why, TimePoint now) {
  phase_ = phase;
  stage_ = stage;
  phase_since_ = now;
  stage_clock_start_.reset();
  hold_time_ = Duration{};
  gate_wait_since_.reset();
  ++version_;
  if (changes_.size() >= max_changes)
    changes_.erase(changes_.begin());
  changes_.push_back({now, build_, stage, phase, why});
}

}  // namespace robinhoist::rollout
