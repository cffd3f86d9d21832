#include "migration/plan_state_machine.h"

#include <algorithm>
#include <cmath>

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;

/// Above this share of unsuccessful requests the pause between batches doubles; otherwise it is
/// reduced by a quarter.
constexpr double max_unsuccessful_share = 0.02;
/// Reports with fewer requests are ignored.
constexpr long min_requests = 20;
constexpr std::size_t max_batch_samples = 16;
constexpr Duration min_batch_pause = 20ms;
constexpr Duration max_batch_pause = 5s;

bool is_earlier(TimePoint time, const std::optional<TimePoint>& other) {
  return !other || time < *other;
}

bool is_unresolved(StepState state) {
  return state == StepState::maybe_applied || state == StepState::maybe_rolled_back;
}

}  // namespace

PlanStateMachine::PlanStateMachine(Plan plan)
    : plan_(std::move(plan)), progress_(plan_.steps.size()) {}

int PlanStateMachine::find_step(const std::string& id) const {
  for (std::size_t i = 0; i < plan_.steps.size(); ++i)
    if (plan_.steps[i].id == id)
      return static_cast<int>(i);
  return -1;
}

/// A migrate step is due from the stage before the one that requires it.
bool PlanStateMachine::is_due(int index) const {
  if (!release_.offered || release_.rolling_back || release_.rolled_back)
    return false;
  const Step& step = plan_.steps[index];
  if (step.phase == Phase::contract)
    return release_.finalized;
  return step.phase == Phase::expand || release_.stage >= step.before_stage - 1;
}

bool PlanStateMachine::is_finished(int index) const {
  const Progress& progress = progress_[index];
  if (progress.skipped)
    return true;
  const bool has_check = !plan_.steps[index].check_query.empty();
  return progress.state == StepState::applied && (!has_check || progress.verified);
}

bool PlanStateMachine::needs_rollback(int index) const {
  const Step& step = plan_.steps[index];
  const Progress& progress = progress_[index];
  if (step.phase == Phase::contract || progress.skipped || !step.rollback_with_release)
    return false;
  switch (progress.state) {
    case StepState::applied:
    case StepState::maybe_applied:
    case StepState::maybe_rolled_back:
      return true;
    case StepState::not_applied:
      return progress.cursor > 0;  // Some batches have been applied.
    case StepState::rolled_back:
      break;
  }
  return false;
}

std::optional<Action> PlanStateMachine::start_run(int index, Direction direction) {
  busy_ = true;
  Progress& progress = progress_[index];
  progress.earlier_attempt_unresolved = is_unresolved(progress.state);
  const bool rolls_back_all = direction == Direction::rollback && progress.fully_applied &&
                              plan_.steps[index].rollback_in_batches;
  return Action{.kind = ActionKind::run,
                .step = index,
                .direction = direction,
                .attempt = progress.failures + 1,
                .cursor = rolls_back_all ? beyond_all_keys : progress.cursor};
}

/// Probes a step that may have run. If it can't be probed, runs it again if it is idempotent, and
/// otherwise leaves the decision to the operator.
std::optional<Action> PlanStateMachine::resolve_unknown(int index, Direction direction) {
  const Step& step = plan_.steps[index];
  Progress& progress = progress_[index];
  Action action{.kind = ActionKind::wait_for_operator,
                .step = index,
                .direction = direction,
                .attempt = progress.failures};
  if (step.transactional || !step.check_query.empty()) {
    busy_ = true;
    action.kind = step.transactional ? ActionKind::query_marker : ActionKind::run_check;
    return action;
  }
  if (step.idempotent)
    return start_run(index, direction);
  progress.blocked = true;
  progress.undecidable = true;
  progress.reason = "it may have run, nothing can tell, and it must not run twice";
  action.reason = progress.reason;
  return action;
}

std::optional<Action> PlanStateMachine::next_apply_action(int index, TimePoint now) {
  const Progress& progress = progress_[index];
  if (progress.blocked || now < progress.retry_at)
    return {};
  const bool continues_batches = plan_.steps[index].kind == StepKind::data && progress.cursor > 0;
  switch (progress.state) {
    case StepState::not_applied:
    case StepState::rolled_back:
      if (continues_batches && now < next_batch_at_)
        return {};
      return start_run(index, Direction::apply);
    case StepState::maybe_applied:
      return resolve_unknown(index, Direction::apply);
    case StepState::maybe_rolled_back:
      return resolve_unknown(index, Direction::rollback);
    case StepState::applied:
      break;
  }
  busy_ = true;
  return Action{.kind = ActionKind::verify, .step = index, .attempt = progress.failures};
}

std::optional<Action> PlanStateMachine::next_rollback_action(int index, TimePoint now) {
  const Progress& progress = progress_[index];
  if (progress.blocked || now < progress.retry_at)
    return {};
  if (progress.state == StepState::maybe_applied)
    return resolve_unknown(index, Direction::apply);
  if (progress.state == StepState::maybe_rolled_back)
    return resolve_unknown(index, Direction::rollback);
  const bool continues_batches = plan_.steps[index].rollback_in_batches && !progress.fully_applied;
  if (continues_batches && now < next_batch_at_)
    return {};
  return start_run(index, Direction::rollback);
}

std::optional<Action> PlanStateMachine::next_action(TimePoint now) {
  if (busy_ || paused_ || !lease_held_)
    return {};
  const int count = static_cast<int>(plan_.steps.size());
  if (release_.rolled_back) {
    for (int index = count - 1; index >= 0; --index)
      if (needs_rollback(index))
        return next_rollback_action(index, now);
    return {};
  }
  // Strictly in order: a step that is not due, or that waits, blocks all steps after it.
  for (int index = 0; index < count && is_due(index); ++index)
    if (!is_finished(index))
      return next_apply_action(index, now);
  return {};
}

std::optional<TimePoint> PlanStateMachine::next_check_at() const {
  std::optional<TimePoint> earliest;
  for (const Progress& progress : progress_) {
    const bool waits_for_retry = !progress.blocked && progress.retry_at > TimePoint{};
    if (waits_for_retry && is_earlier(progress.retry_at, earliest))
      earliest = progress.retry_at;
  }
  if (next_batch_at_ > TimePoint{} && is_earlier(next_batch_at_, earliest))
    earliest = next_batch_at_;
  return earliest;
}

void PlanStateMachine::schedule_retry(Progress& progress, const Step& step, TimePoint now) {
  ++progress.failures;
  Duration delay = step.min_retry_delay;
  for (int i = 1; i < progress.failures && delay < step.max_retry_delay; ++i)
    delay *= 2;
  delay = std::min(delay, step.max_retry_delay);
  // The jitter is derived from the step's digest, so that the same events result in the same delays
  // and different steps have different delays.
  const std::string& digest = step.digest;
  const int jitter = digest.empty() ? 0 : digest[progress.failures % digest.size()] % 16;
  progress.retry_at = now + delay / 2 + delay * jitter / 32;
}

void PlanStateMachine::add_batch_sample(Progress& progress, std::int64_t cursor, TimePoint now) {
  auto& samples = progress.recent_batches;
  // An apply and a rollback may progress at different rates, so their samples are not mixed.
  if (samples.size() > 1) {
    const bool was_ascending = samples[1].cursor > samples[0].cursor;
    const bool is_ascending = cursor > samples.back().cursor;
    if (was_ascending != is_ascending)
      samples.clear();
  }
  samples.push_back({now, cursor});
  if (samples.size() > max_batch_samples)
    samples.pop_front();
}

void PlanStateMachine::on_run_result(int index, Direction direction, StepResult result,
                                     std::int64_t cursor, const std::string& reason,
                                     TimePoint now) {
  busy_ = false;
  Progress& progress = progress_[index];
  const Step& step = plan_.steps[index];
  progress.reason = reason;
  replay_run_result(index, direction, result, cursor);
  switch (result) {
    case StepResult::done:
    case StepResult::more:
      progress.failures = 0;
      progress.retry_at = TimePoint{};
      next_batch_at_ = now + batch_pause_;
      add_batch_sample(progress, cursor, now);
      break;
    case StepResult::not_run:
      schedule_retry(progress, step, now);
      if (progress.failures >= step.max_attempts)
        progress.blocked = true;
      break;
    case StepResult::unknown:
      schedule_retry(progress, step, now);
      break;
    case StepResult::fenced:
      lease_held_ = false;
      break;
  }
}

void PlanStateMachine::on_probe_result(int index, ProbeResult applied, std::int64_t cursor,
                                       const std::string& reason, TimePoint now) {
  busy_ = false;
  Progress& progress = progress_[index];
  progress.reason = reason;
  const bool was_verification = progress.state == StepState::applied;
  replay_probe_result(index, applied, cursor);
  if (applied == ProbeResult::unknown) {
    schedule_retry(progress, plan_.steps[index], now);
  } else if (was_verification && applied == ProbeResult::no) {
    progress.blocked = true;
    progress.reason = "it was applied, but its check says that it is not";
  } else {
    progress.retry_at = TimePoint{};
  }
}

void PlanStateMachine::replay_intent(int index, Direction direction) {
  Progress& progress = progress_[index];
  progress.earlier_attempt_unresolved = is_unresolved(progress.state);
  progress.state =
      direction == Direction::apply ? StepState::maybe_applied : StepState::maybe_rolled_back;
  progress.verified = false;
}

void PlanStateMachine::replay_run_result(int index, Direction direction, StepResult result,
                                         std::int64_t cursor) {
  Progress& progress = progress_[index];
  const bool is_apply = direction == Direction::apply;
  switch (result) {
    case StepResult::done:
      progress.state = is_apply ? StepState::applied : StepState::rolled_back;
      progress.fully_applied = is_apply;
      progress.cursor = is_apply ? cursor : 0;
      progress.verified = false;
      break;
    case StepResult::more:
      progress.state = StepState::not_applied;
      progress.fully_applied = false;
      progress.cursor = cursor;
      break;
    case StepResult::not_run:
    case StepResult::fenced: {
      // The result only covers the last attempt; an earlier one may still have run.
      if (progress.earlier_attempt_unresolved) {
        progress.state = is_apply ? StepState::maybe_applied : StepState::maybe_rolled_back;
        break;
      }
      // After a rollback that changed nothing, the step is still applied as far as it was before:
      // completely, or the batches that had run when the release was rolled back.
      const bool stays_applied = !is_apply && progress.fully_applied;
      progress.state = stays_applied ? StepState::applied : StepState::not_applied;
      break;
    }
    case StepResult::unknown:
      progress.state = is_apply ? StepState::maybe_applied : StepState::maybe_rolled_back;
      break;
  }
}

void PlanStateMachine::replay_probe_result(int index, ProbeResult applied, std::int64_t cursor) {
  Progress& progress = progress_[index];
  if (applied == ProbeResult::unknown)
    return;
  if (progress.state == StepState::applied) {
    progress.verified = applied == ProbeResult::yes;
    return;
  }
  const bool was_rollback = progress.state == StepState::maybe_rolled_back;
  if (applied == ProbeResult::yes) {
    const bool only_part = was_rollback && !progress.fully_applied;
    progress.state = only_part ? StepState::not_applied : StepState::applied;
    progress.fully_applied |= !was_rollback;
    return;
  }
  // A cursor above 0 means that the batches up to it are still applied.
  progress.state = was_rollback && cursor == 0 ? StepState::rolled_back : StepState::not_applied;
  progress.fully_applied = false;
  progress.cursor = cursor;
}

void PlanStateMachine::on_client_outcomes(long requests, long failed, TimePoint now) {
  if (requests < min_requests)
    return;
  const double max_failed = max_unsuccessful_share * static_cast<double>(requests);
  if (static_cast<double>(failed) > max_failed) {
    batch_pause_ = std::min(max_batch_pause, std::max(min_batch_pause, 2 * batch_pause_));
  } else {
    const Duration shorter = batch_pause_ * 3 / 4;
    batch_pause_ = shorter < min_batch_pause / 2 ? Duration{} : shorter;
  }
  next_batch_at_ = std::min(std::max(next_batch_at_, now), now + batch_pause_);
}

std::optional<Estimate> PlanStateMachine::estimate(int index) const {
  const Progress& progress = progress_[index];
  const bool is_under_way = plan_.steps[index].kind == StepKind::data &&
                            progress.state != StepState::applied && progress.cursor > 0;
  if (!is_under_way || progress.max_key < progress.cursor)
    return {};
  Estimate estimate{static_cast<double>(progress.cursor) / static_cast<double>(progress.max_key)};
  if (progress.recent_batches.size() < 2)
    return estimate;
  const Progress::BatchSample& first = progress.recent_batches.front();
  const Progress::BatchSample& last = progress.recent_batches.back();
  const bool is_ascending = last.cursor > first.cursor;
  const std::int64_t keys_left = is_ascending ? progress.max_key - last.cursor : last.cursor;
  const double keys_done = std::abs(static_cast<double>(last.cursor - first.cursor));
  if (keys_done > 0) {
    const auto elapsed_us = static_cast<double>((last.ended_at - first.ended_at).count());
    const double left_us = elapsed_us * static_cast<double>(keys_left) / keys_done;
    estimate.time_left = Duration(static_cast<std::int64_t>(left_us));
  }
  return estimate;
}

bool PlanStateMachine::retry(int index) {
  Progress& progress = progress_[index];
  if (!progress.blocked && progress.retry_at == TimePoint{})
    return false;
  if (progress.undecidable && progress.state == StepState::maybe_applied)
    progress.state = StepState::not_applied;
  if (progress.undecidable && progress.state == StepState::maybe_rolled_back)
    progress.state = progress.fully_applied ? StepState::applied : StepState::not_applied;
  progress.blocked = false;
  progress.undecidable = false;
  progress.failures = 0;
  progress.retry_at = TimePoint{};
  return true;
}

void PlanStateMachine::mark_skipped(int index) {
  Progress& progress = progress_[index];
  progress.skipped = true;
  progress.blocked = false;
  progress.undecidable = false;
  progress.retry_at = TimePoint{};
}

bool PlanStateMachine::skip(int index) {
  const bool is_done = release_.rolled_back ? !needs_rollback(index) : is_finished(index);
  if (busy_ || is_done)
    return false;
  mark_skipped(index);
  return true;
}

std::optional<std::string> PlanStateMachine::blocking_reason(int stage) const {
  for (std::size_t i = 0; i < plan_.steps.size(); ++i) {
    const Step& step = plan_.steps[i];
    const bool is_needed =
        step.phase == Phase::expand || (step.phase == Phase::migrate && step.before_stage <= stage);
    if (is_needed && !is_finished(static_cast<int>(i)))
      return "step " + step.id + " is not done (" + to_string(progress_[i].state) + ")";
  }
  return {};
}

bool PlanStateMachine::is_complete() const {
  for (int index = 0; index < static_cast<int>(plan_.steps.size()); ++index) {
    const bool has_work =
        release_.rolled_back ? needs_rollback(index) : is_due(index) && !is_finished(index);
    if (has_work)
      return false;
  }
  return true;
}

// The texts below are stored in the journal and sent in the API's JSON, and must not change.

const char* to_string(StepState state) {
  switch (state) {
    case StepState::not_applied:
      return "not applied";
    case StepState::maybe_applied:
      return "may be applied";
    case StepState::applied:
      return "applied";
    case StepState::maybe_rolled_back:
      return "may be undone";
    case StepState::rolled_back:
      break;
  }
  return "undone";
}

const char* to_string(StepResult result) {
  switch (result) {
    case StepResult::done:
      return "done";
    case StepResult::more:
      return "more";
    case StepResult::not_run:
      return "not-run";
    case StepResult::unknown:
      return "unknown";
    case StepResult::fenced:
      break;
  }
  return "fenced";
}

const char* to_string(ProbeResult result) {
  switch (result) {
    case ProbeResult::yes:
      return "yes";
    case ProbeResult::no:
      return "no";
    case ProbeResult::unknown:
      break;
  }
  return "unknown";
}

const char* to_string(Direction direction) {
  return direction == Direction::apply ? "apply" : "undo";
}

}  // namespace robinhoist::migration
