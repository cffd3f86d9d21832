/// Decides which step of a migration plan runs next, which steps must be probed before they are
/// repeated, and which rollout stage may take traffic.
///
/// The state machine does no I/O and reads no clock. The caller reports events with the on_ and
/// set_ functions and gets one action at a time from next_action(). It writes the intent of each
/// action to the journal before it acts and the result afterwards; after a restart it passes the
/// journal's entries to the replay_ functions.
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
  more,     ///< A batch is done, and more batches remain.
  not_run,  ///< The run is known to have changed nothing.
  unknown,  ///< The step may have run.
  fenced,   ///< The target has seen the fencing token of a newer runner.
};

/// Whether a step is applied, according to the target.
enum class ProbeResult { yes, no, unknown };

enum class ActionKind {
  run,                ///< Run the step, or its next batch.
  query_marker,       ///< Query the marker of a step that may have run.
  run_check,          ///< Run the check query of a step that may have run.
  verify,             ///< Run the check query of a step that was applied.
  wait_for_operator,  ///< Whether the step has run cannot be determined; an operator must decide.
};

/// The initial cursor of a rollback in batches of a fully applied step. It is greater than every
/// key.
constexpr std::int64_t beyond_all_keys = std::int64_t{1} << 53;

/// The next action of the caller.
struct Action {
  ActionKind kind;
  int step = -1;  ///< Index of the step in the plan.
  Direction direction = Direction::apply;
  int attempt = 0;
  /// Data steps: the key after which the next batch begins; for a rollback, the key at which it
  /// ends.
  std::int64_t cursor = 0;
  std::string reason{};  ///< Why an operator must decide; empty for other actions.
};

/// The state of the release that determines which steps are due.
struct ReleaseState {
  int stage = -1;  ///< The current stage; -1 before the first.
  bool offered = false;
  bool rolling_back = false;  ///< Being rolled back; its endpoints may still serve requests.
  bool rolled_back = false;   ///< Rolled back; none of its endpoints serves requests.
  bool finalized = false;     ///< Released; can no longer be rolled back.
  bool operator==(const ReleaseState&) const = default;
};

enum class StepState { not_applied, maybe_applied, applied, maybe_rolled_back, rolled_back };

/// What is known about one step.
struct Progress {
  StepState state = StepState::not_applied;
  bool fully_applied = false;  ///< Was applied completely; stays true during a rollback.
  bool verified = false;       ///< The check query confirmed that it is applied.
  bool blocked = false;        ///< Waits for the operator.
  bool skipped = false;        ///< The operator declared it done.
  bool undecidable = false;    ///< Whether it has run cannot be determined.
  bool earlier_attempt_unresolved = false;  ///< An attempt before the last may also have run.
  int failures = 0;                         ///< Number of consecutive failures.
  TimePoint retry_at{};
  std::int64_t cursor = 0;   ///< Data steps: the last key of the finished batches.
  std::int64_t max_key = 0;  ///< Data steps: the largest key of the table; 0 if unknown.
  std::string reason{};      ///< Why the last attempt failed.

  struct BatchSample {
    TimePoint ended_at;
    std::int64_t cursor;
  };
  std::deque<BatchSample> recent_batches{};
};

/// The progress of a data step, estimated from its keys.
struct Estimate {
  double fraction_done = 0;
  /// Derived from the rate of the last batches; empty before the second batch.
  std::optional<Duration> time_left{};
};

class PlanStateMachine {
 public:
  explicit PlanStateMachine(Plan plan);

  void set_release(const ReleaseState& release) { release_ = release; }
  /// Sets whether this runner holds the lease; without it there is no next action.
  void set_lease_held(bool held) { lease_held_ = held; }
  void set_paused(bool paused) { paused_ = paused; }
  /// Sets the largest key of a data step's table, for the estimate.
  void set_max_key(int step, std::int64_t key) { progress_[step].max_key = key; }

  /// Reports the end of the run that next_action() returned.
  void on_run_result(int step, Direction direction, StepResult result, std::int64_t cursor,
                     const std::string& reason, TimePoint now);
  /// Reports the answer to the probe that next_action() returned.
  void on_probe_result(int step, ProbeResult applied, std::int64_t cursor,
                       const std::string& reason, TimePoint now);
  /// Reports outcomes of client requests since the last report; `failed` counts those that were
  /// late, shed or failed. Data steps slow down when too many requests fail.
  void on_client_outcomes(long requests, long failed, TimePoint now);

  /// The operator has made sure that the step may run again. Returns false when the step is not
  /// waiting.
  bool retry(int step);
  /// The operator declares the step done. Returns false when the step is already done or an action
  /// is in progress.
  bool skip(int step);

  void replay_intent(int step, Direction direction);
  void replay_run_result(int step, Direction direction, StepResult result, std::int64_t cursor);
  void replay_probe_result(int step, ProbeResult applied, std::int64_t cursor);
  void replay_skip(int step) { mark_skipped(step); }

  /// Returns the next action, if there is one now. There is no other until its result is reported.
  std::optional<Action> next_action(TimePoint now);
  /// When next_action() must be called again; empty when only an event can lead to an action.
  std::optional<TimePoint> next_check_at() const;
  /// Why a stage may not take traffic yet; empty when it may.
  std::optional<std::string> blocking_reason(int stage) const;
  bool allows(int stage) const { return !blocking_reason(stage); }
  /// Whether no work remains in the current state of the release.
  bool is_complete() const;

  const Plan& plan() const { return plan_; }
  const std::vector<Progress>& progress() const { return progress_; }
  bool is_busy() const { return busy_; }
  bool is_paused() const { return paused_; }
  bool is_rolling_back() const { return release_.rolled_back; }
  /// The pause between two batches of a data step.
  Duration batch_pause() const { return batch_pause_; }
  /// The progress of a data step; empty before its first batch and once it is done.
  std::optional<Estimate> estimate(int step) const;
  /// The index of a step; -1 when the plan has no step with that id.
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
