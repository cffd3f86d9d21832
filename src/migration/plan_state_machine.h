/// Decides which step of a migration plan runs next, which steps must be probed before they are
/// repeated, and which rollout stage may take traffic.
///
/// It does no I/O and reads no clock. The host reports events with the on_ and set_ functions, and
/// asks next_action() for one action at a time. It journals the intent of each action before it
/// acts and the result after; after a restart it feeds the journal to the replay_ functions.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "migration/plan.h"
#include "time/time_types.h"

namespace robinhoist::migration {

enum class Direction { apply, rollback };

/// How a run of a step, or of one batch of a data step, ended.
enum class StepResult {
  done,
  more,     ///< A batch is done, and there are more.
  not_run,  ///< It is known to have changed nothing.
  unknown,  ///< It may have run.
  fenced,   ///< The target has seen the token of a newer runner.
};

/// Whether a step is applied, according to the target.
enum class ProbeResult { yes, no, unknown };

enum class ActionKind {
  run,                ///< Run the step, or its next batch.
  query_marker,       ///< Ask the target for the step's marker: it may have run.
  run_check,          ///< Ask the step's check query: it may have run.
  verify,             ///< Ask the check query of a step that was applied.
  wait_for_operator,  ///< Nothing can tell whether it has run; an operator must decide.
};

/// The key before which a rollback in batches begins when the whole step is to be rolled back. It
/// is above every key.
constexpr std::int64_t beyond_all_keys = std::int64_t{1} << 53;

/// What the host has to do next.
struct Action {
  ActionKind kind;
  int step = -1;  ///< Index in the plan.
  Direction direction = Direction::apply;
  int attempt = 0;
  /// Data steps: the key after which the next batch begins; of a rollback, at which it ends.
  std::int64_t cursor = 0;
  std::string reason{};  ///< Of wait_for_operator.
};

/// The state of the release, as far as migrations are concerned.
struct ReleaseState {
  int stage = -1;  ///< The stage now running; -1 before the first.
  bool offered = false;
  bool rolling_back = false;  ///< Its endpoints may still serve.
  bool rolled_back = false;   ///< None of its endpoints serve any more.
  bool finalized = false;     ///< Released, and can't be rolled back any more.
  bool operator==(const ReleaseState&) const = default;
};

enum class StepState { not_applied, maybe_applied, applied, maybe_rolled_back, rolled_back };

/// What is known about one step.
struct Progress {
  StepState state = StepState::not_applied;
  bool fully_applied = false;  ///< It was applied to its end; stays while a rollback is under way.
  bool verified = false;       ///< Its check agreed that it is applied.
  bool blocked = false;        ///< It waits for the operator.
  bool skipped = false;        ///< The operator took it as done.
  bool undecidable = false;    ///< Nothing can tell whether it has run.
  bool earlier_attempt_unresolved = false;  ///< One before the last may have run, too.
  int failures = 0;                         ///< In a row.
  TimePoint retry_at{};
  std::int64_t cursor = 0;   ///< Data steps: the last key of the batches that are done.
  std::int64_t max_key = 0;  ///< Data steps: the largest key of the table; 0 when not known.
  std::string reason{};      ///< Why the last attempt failed.

  struct BatchSample {
    TimePoint ended_at;
    std::int64_t cursor;
  };
  std::deque<BatchSample> recent_batches{};
};

/// How far a data step has come, by its keys.
struct Estimate {
  double fraction_done = 0;
  /// At the pace of the last few batches; nothing before there are two.
  std::optional<Duration> time_left{};
};

class PlanStateMachine {
 public:
  explicit PlanStateMachine(Plan plan);

  void set_release(const ReleaseState& release) { release_ = release; }
  /// Whether this runner holds the lease; without it there is no action.
  void set_lease_held(bool held) { lease_held_ = held; }
  void set_paused(bool paused) { paused_ = paused; }
  /// The largest key of a data step's table, for the estimate.
  void set_max_key(int step, std::int64_t key) { progress_[step].max_key = key; }

  /// The run that next_action() asked for has ended.
  void on_run_result(int step, Direction direction, StepResult result, std::int64_t cursor,
                     const std::string& reason, TimePoint now);
  /// The probe that next_action() asked for was answered.
  void on_probe_result(int step, ProbeResult applied, std::int64_t cursor,
                       const std::string& reason, TimePoint now);
  /// Outcomes of client requests since the last report; `failed` were late, shed or failed. Data
  /// steps slow down when there are too many of them.
  void on_client_outcomes(long requests, long failed, TimePoint now);

  /// The operator knows that it is safe to run the step again. False when it is not waiting.
  bool retry(int step);
  /// The operator takes the step as done. False when it is done already or something runs.
  bool skip(int step);

  void replay_intent(int step, Direction direction);
  void replay_run_result(int step, Direction direction, StepResult result, std::int64_t cursor);
  void replay_probe_result(int step, ProbeResult applied, std::int64_t cursor);
  void replay_skip(int step) { mark_skipped(step); }

  /// The next action, if there is one now. Until its result is reported there is no other.
  std::optional<Action> next_action(TimePoint now);
  /// When next_action() should be asked again; nothing when only an event can change its answer.
  std::optional<TimePoint> next_check_at() const;
  /// Why a stage may not take traffic yet; nothing when it may.
  std::optional<std::string> blocking_reason(int stage) const;
  bool allows(int stage) const { return !blocking_reason(stage); }
  /// Whether nothing is left to do in the present state of the release.
  bool is_complete() const;

  const Plan& plan() const { return plan_; }
  const std::vector<Progress>& progress() const { return progress_; }
  bool is_busy() const { return busy_; }
  bool is_paused() const { return paused_; }
  bool is_rolling_back() const { return release_.rolled_back; }
  /// The pause between two batches of a data step.
  Duration batch_pause() const { return batch_pause_; }
  /// Of a data step under way; nothing before its first batch and once it is done.
  std::optional<Estimate> estimate(int step) const;
  /// The index of a step; -1 when the plan has none of that id.
  int find_step(const std::string& id) const;

 private:
  bool is_due(int step) const;
  bool is_finished(int step) const;
  bool needs_rollback(int step) const;
  std::optional<Action> next_apply_action(int step, TimePoint now);
  std::optional<Action> next_rollback_action(int step, TimePoint now);
  std::optional<Action> resolve_unknown(int step, Direction direction);
  std::optional<Action> start_run(int step, Direction direction);
  void add_batch_sample(Progress& progress, std::int64_t cursor, TimePoint now);
  void schedule_retry(Progress& progress, const Step& step, TimePoint now);
  void mark_skipped(int step);

  Plan plan_;
  std::vector<Progress> progress_;
  ReleaseState release_{};
  bool lease_held_ = false;
  bool paused_ = false;
  bool busy_ = false;
  Duration batch_pause_{};
  TimePoint next_batch_at_{};
};

const char* to_string(StepState state);
const char* to_string(StepResult result);
const char* to_string(ProbeResult result);
const char* to_string(Direction direction);

}  // namespace robinhoist::migration
