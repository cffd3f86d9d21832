#include "migration/plan_state_machine.h"

#include <algorithm>
#include <cmath>

namespace robinhoist::migration {
namespace {
using namespace std::chrono_literals;
// A data step backs off while more than this part of the requests do poorly: its pause between
// batches doubles, and shrinks by a quarter with each word that all is well.
constexpr double max_unsuccessful_share = 0.02;
constexpr long min_requests = 20;
constexpr std::size_t pace_most = 16;
constexpr Duration throttle_least = 20ms, throttle_most = 5s;
}  // namespace

PlanStateMachine::PlanStateMachine(Plan plan)
    : plan_(std::move(plan)), progress_(plan_.steps.size()) {}

int PlanStateMachine::step(const std::string& id) const {
  for (std::size_t i = 0; i < plan_.steps.size(); ++i)
    if (plan_.steps[i].id == id)
      return static_cast<int>(i);
  return -1;
}

// A step that a stage needs runs while the stage before it goes on.
bool PlanStateMachine::wanted(int i) const {
  if (!release_.offered || release_.going_back || release_.withdrawn)
    return false;
  const Step& step = plan_.steps[i];
  if (step.phase == Phase::contract)
    return release_.final;
  return step.phase == Phase::expand || release_.stage >= step.before_stage - 1;
}

bool PlanStateMachine::finished(int i) const {
  const Progress& progress = progress_[i];
  if (progress.skipped)
    return true;
  return progress.fact == StepState::applied && (plan_.steps[i].check.empty() || progress.verified);
}

bool PlanStateMachine::to_undo(int i) const {
  const Step& step = plan_.steps[i];
  const Progress& progress = progress_[i];
  if (step.phase == Phase::contract || progress.skipped || !step.undo_on_back)
    return false;
  return progress.fact == StepState::applied || progress.fact == StepState::maybe_applied ||
         progress.fact == StepState::maybe_undone ||
         (progress.fact == StepState::not_applied && progress.after > 0);
}

std::optional<Action> PlanStateMachine::run(int i, Direction direction) {
  busy_ = true;
  const bool all =
      direction == Direction::undo && progress_[i].whole && plan_.steps[i].undo_in_batches;
  return Action{ActionKind::run,
                i,
                direction,
                progress_[i].tries + 1,
                all ? beyond_all_keys : progress_[i].after,
                ""};
}

// It may have run: that is looked into, never simply run again.
std::optional<Action> PlanStateMachine::resolve(int i, Direction direction) {
  const Step& step = plan_.steps[i];
  Progress& progress = progress_[i];
  if (step.transactional || !step.check.empty()) {
    busy_ = true;
    return Action{step.transactional ? ActionKind::look_for_mark : ActionKind::check,
                  i,
                  direction,
                  progress.tries,
                  0,
                  ""};
  }
  if (step.idempotent)
    return run(i, direction);
  progress.stuck = progress.asked = true;
  progress.why = "it may have run, nothing can tell, and it must not run twice";
  return Action{ActionKind::ask_operator, i, direction, progress.tries, 0, progress.why};
}

std::optional<Action> PlanStateMachine::forward(int i, TimePoint now) {
  Progress& progress = progress_[i];
  if (progress.stuck || now < progress.retry_at)
    return {};
  switch (progress.fact) {
    case StepState::not_applied:
    case StepState::undone:
      if (plan_.steps[i].kind == StepKind::data && progress.after > 0 && now < batch_at_)
        return {};
      return run(i, Direction::apply);
    case StepState::maybe_applied:
      return resolve(i, Direction::apply);
    case StepState::maybe_undone:
      return resolve(i, Direction::undo);
    case StepState::applied:
      break;
  }
  busy_ = true;
  return Action{ActionKind::verify, i, Direction::apply, progress.tries, 0, ""};
}

std::optional<Action> PlanStateMachine::backward(int i, TimePoint now) {
  Progress& progress = progress_[i];
  if (progress.stuck || now < progress.retry_at)
    return {};
  if (progress.fact == StepState::maybe_applied)
    return resolve(i, Direction::apply);
  if (progress.fact == StepState::maybe_undone)
    return resolve(i, Direction::undo);
  if (plan_.steps[i].undo_in_batches && !progress.whole && now < batch_at_)
    return {};
  return run(i, Direction::undo);
}

std::optional<Action> PlanStateMachine::next(TimePoint now) {
  // One at a time, and none while another runner may hold the lease.
  if (busy_ || paused_ || !leased_)
    return {};
  const int count = static_cast<int>(plan_.steps.size());
  if (release_.withdrawn) {
    for (int i = count - 1; i >= 0; --i)
      if (to_undo(i))
        return backward(i, now);
    return {};
  }
  // Strictly in order: what is not wanted yet, or stands still, holds up all that follows.
  for (int i = 0; i < count && wanted(i); ++i)
    if (!finished(i))
      return forward(i, now);
  return {};
}

std::optional<TimePoint> PlanStateMachine::next_look() const {
  std::optional<TimePoint> at;
  for (const Progress& progress : progress_)
    if (!progress.stuck && progress.retry_at > TimePoint{} && (!at || progress.retry_at < *at))
      at = progress.retry_at;
  if (batch_at_ > TimePoint{} && (!at || batch_at_ < *at))
    at = batch_at_;
  return at;
}

void PlanStateMachine::again(Progress& progress, const Step& step, TimePoint now) {
  ++progress.tries;
  Duration pause = step.pause_least;
  for (int i = 1; i < progress.tries && pause < step.pause_most; ++i)
    pause *= 2;
  // Spread by the step's own digest: the same events give the same pauses, and not all steps the
  // same.
  const int part = step.digest.empty() ? 0 : step.digest[progress.tries % step.digest.size()] % 16;
  pause = std::min(pause, step.pause_most);
  progress.retry_at = now + pause / 2 + pause * part / 32;
}

void PlanStateMachine::ended(int i, Direction direction, StepResult result, std::int64_t after,
                             const std::string& why, TimePoint now) {
  busy_ = false;
  Progress& progress = progress_[i];
  const Step& step = plan_.steps[i];
  progress.why = why;
  replay_ended(i, direction, result, after);
  switch (result) {
    case StepResult::done:
    case StepResult::more:
      progress.tries = 0;
      progress.retry_at = TimePoint{};
      batch_at_ = now + throttle_;
      // A pace is one of one direction.
      if (progress.pace.size() > 1 &&
          (progress.pace[1].after > progress.pace[0].after) != (after > progress.pace.back().after))
        progress.pace.clear();
      progress.pace.push_back({now, after});
      if (progress.pace.size() > pace_most)
        progress.pace.pop_front();
      break;
    case StepResult::not_run:
    case StepResult::unknown:
      again(progress, step, now);
      if (result == StepResult::not_run && progress.tries >= step.tries)
        progress.stuck = true;
      break;
    case StepResult::fenced:
      leased_ = false;
      break;
  }
}

void PlanStateMachine::looked(int i, ProbeResult applied, std::int64_t after,
                              const std::string& why, TimePoint now) {
  busy_ = false;
  Progress& progress = progress_[i];
  progress.why = why;
  const bool verifying = progress.fact == StepState::applied;
  replay_looked(i, applied, after);
  if (applied == ProbeResult::unknown) {
    again(progress, plan_.steps[i], now);
  } else if (verifying && applied == ProbeResult::no) {
    progress.stuck = true;
    progress.why = "it was applied, but its check says that it is not";
  } else {
    progress.retry_at = TimePoint{};
  }
}

void PlanStateMachine::replay_intent(int i, Direction direction) {
  Progress& progress = progress_[i];
  progress.fact =
      direction == Direction::apply ? StepState::maybe_applied : StepState::maybe_undone;
  progress.verified = false;
}

void PlanStateMachine::replay_ended(int i, Direction direction, StepResult result,
                                    std::int64_t after) {
  Progress& progress = progress_[i];
  const bool apply = direction == Direction::apply;
  switch (result) {
    case StepResult::done:
      progress.fact = apply ? StepState::applied : StepState::undone;
      progress.whole = apply;
      progress.after = apply ? after : 0;
      progress.verified = false;
      break;
    case StepResult::more:
      progress.fact = StepState::not_applied;
      progress.whole = false;
      progress.after = after;
      break;
    case StepResult::not_run:
    case StepResult::fenced:
      // An undo that changed nothing leaves what was there: all of the step, or the part that a
      // back cut off.
      progress.fact = !apply && progress.whole ? StepState::applied : StepState::not_applied;
      break;
    case StepResult::unknown:
      progress.fact = apply ? StepState::maybe_applied : StepState::maybe_undone;
      break;
  }
}

void PlanStateMachine::replay_looked(int i, ProbeResult applied, std::int64_t after) {
  Progress& progress = progress_[i];
  if (applied == ProbeResult::unknown)
    return;
  if (progress.fact == StepState::applied) {
    progress.verified = applied == ProbeResult::yes;
    return;
  }
  const bool undone = progress.fact == StepState::maybe_undone;
  if (applied == ProbeResult::yes) {
    progress.fact = undone && !progress.whole ? StepState::not_applied : StepState::applied;
    progress.whole |= !undone;
  } else {
    // Not whole, but with a cursor: the part that was there before the undo is there still.
    progress.fact = undone && after == 0 ? StepState::undone : StepState::not_applied;
    progress.whole = false;
    progress.after = after;
  }
}

void PlanStateMachine::client_outcomes(long requests, long unsuccessful, TimePoint now) {
  if (requests < min_requests)
    return;
  if (static_cast<double>(unsuccessful) > max_unsuccessful_share * static_cast<double>(requests))
    throttle_ = std::min(throttle_most, std::max(throttle_least, 2 * throttle_));
  else
    throttle_ = throttle_ * 3 / 4 < throttle_least / 2 ? Duration{} : throttle_ * 3 / 4;
  batch_at_ = std::min(std::max(batch_at_, now), now + throttle_);
}

std::optional<Estimate> PlanStateMachine::estimate(int i) const {
  const Progress& progress = progress_[i];
  if (plan_.steps[i].kind != StepKind::data || progress.fact == StepState::applied ||
      progress.after <= 0 || progress.last < progress.after)
    return {};
  Estimate estimate{static_cast<double>(progress.after) / static_cast<double>(progress.last)};
  if (progress.pace.size() < 2)
    return estimate;
  const auto& from = progress.pace.front();
  const auto& to = progress.pace.back();
  const std::int64_t left = to.after > from.after ? progress.last - to.after : to.after;
  const double keys = std::abs(static_cast<double>(to.after - from.after));
  if (keys > 0)
    estimate.left = Duration(static_cast<std::int64_t>(
        static_cast<double>((to.at - from.at).count()) * static_cast<double>(left) / keys));
  return estimate;
}

bool PlanStateMachine::retry(int i) {
  Progress& progress = progress_[i];
  if (!progress.stuck && progress.retry_at == TimePoint{})
    return false;
  if (progress.asked && progress.fact == StepState::maybe_applied)
    progress.fact = StepState::not_applied;
  if (progress.asked && progress.fact == StepState::maybe_undone)
    progress.fact = progress.whole ? StepState::applied : StepState::not_applied;
  progress.stuck = progress.asked = false;
  progress.tries = 0;
  progress.retry_at = TimePoint{};
  return true;
}

void PlanStateMachine::skip_now(int i) {
  Progress& progress = progress_[i];
  progress.skipped = true;
  progress.stuck = progress.asked = false;
  progress.retry_at = TimePoint{};
}

bool PlanStateMachine::skip(int i) {
  if (busy_ || (release_.withdrawn ? !to_undo(i) : finished(i)))
    return false;
  skip_now(i);
  return true;
}

bool PlanStateMachine::allows(int stage, std::string* why) const {
  for (std::size_t i = 0; i < plan_.steps.size(); ++i) {
    const Step& step = plan_.steps[i];
    const bool needed =
        step.phase == Phase::expand || (step.phase == Phase::migrate && step.before_stage <= stage);
    if (!needed || finished(static_cast<int>(i)))
      continue;
    if (why)
      *why = "step " + step.id + " is not done (" + to_string(progress_[i].fact) + ")";
    return false;
  }
  return true;
}

bool PlanStateMachine::succeeded() const {
  for (int i = 0; i < static_cast<int>(plan_.steps.size()); ++i) {
    if (release_.withdrawn ? to_undo(i) : wanted(i) && !finished(i))
      return false;
  }
  return true;
}

const char* to_string(StepState fact) {
  static const char* const words[] = {"not applied", "may be applied", "applied", "may be undone",
                                      "undone"};
  return words[static_cast<int>(fact)];
}

const char* to_string(StepResult result) {
  static const char* const words[] = {"done", "more", "not-run", "unknown", "fenced"};
  return words[static_cast<int>(result)];
}

}  // namespace robinhoist::migration
