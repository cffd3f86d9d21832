/// Runs the steps of migration plans: writes each intent to the journal, calls the target, and
/// writes the result to the journal.
///
/// Plans run one after the other: the steps of a later release wait until the earlier plans are
/// complete. PlanStateMachine decides what runs next.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "journal/journal.h"
#include "log/logger.h"
#include "migration/lease.h"
#include "migration/plan_state_machine.h"
#include "migration/status.h"
#include "migration/step_journal.h"
#include "migration/target.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::migration {

struct RunnerSettings {
  std::string holder{};     ///< Name of this process in the lease and in the journal.
  Duration lease_length{};  ///< The lease is renewed after a third of this time.
  int stages = 1;           ///< Number of stages of the rollout.
  Duration journal_retry_delay = std::chrono::milliseconds(500);
  /// Called between any two writes; tests simulate a crash there.
  std::function<void(const char* point)> on_crash_point{};
};

/// All functions run on the loop's thread. The loop, the journal, the target and the logger must
/// outlive the runner.
class Runner {
 public:
  /// Loads the plans from the journal and rebuilds their state. Throws journal::JournalError, or
  /// settings::ValidationError when a stored plan is not valid with the current settings.
  Runner(net::Loop& loop, const RunnerSettings& settings, journal::Journal& journal, Target& target,
         const log::Logger& log);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Accepts a new plan, or an edited plan of the same build, and returns its build. Throws
  /// settings::ValidationError with all problems of the plan, or journal::JournalError when it
  /// cannot be stored.
  int accept_plan(const std::string& text, const std::string& name,
                  const std::string& operator_name);
  void set_release(int build, const ReleaseState& release);
  void on_client_outcomes(long requests, long failed);
  /// Executes the due actions and calls on_changed.
  void run_due_actions();

  /// Why a stage of a build may not take traffic yet; empty when it may. A build without a plan
  /// only waits for the plans of earlier builds.
  std::optional<std::string> blocking_reason(int build, int stage) const;
  bool allows(int build, int stage) const { return !blocking_reason(build, stage); }

  /// Commands of the operator. retry() and skip() return why the command was rejected; empty if it
  /// was accepted.
  void set_paused(bool paused, const std::string& operator_name, const std::string& reason);
  std::string retry(int build, const std::string& step, const std::string& operator_name,
                    const std::string& reason);
  std::string skip(int build, const std::string& step, const std::string& operator_name,
                   const std::string& reason);

  /// Asks the target whether the applied steps are still applied; `done` gets the result as JSON.
  void verify(std::function<void(const std::string& json)> done);

  std::string status_json() const;
  std::vector<StepSummary> step_summaries(int build) const;
  bool has_plan(int build) const { return find(build) != nullptr; }
  /// Whether all plans are complete.
  bool is_complete() const;
  /// Whether any step waits for the operator.
  bool is_blocked() const;

  /// Called after each change that may affect whether a stage may take traffic.
  std::function<void()> on_changed{};

 private:
  struct PlanRun {
    PlanStateMachine machine;
    TimePoint action_started_at{};
  };

  PlanRun* find(int build) const;
  std::unique_ptr<PlanRun> rebuild(const Plan& plan) const;
  void check_applied_steps_remain(const Plan& plan, const settings::SexpReader& reader) const;
  void store(std::unique_ptr<PlanRun> run);
  void keep_lease();
  void run_next_plan();
  void execute(PlanRun& run, const Action& action);
  void start_step(PlanRun& run, const Action& action);
  void probe_step(const PlanRun& run, const Action& action);
  void on_run_outcome(int build, const Action& action, const RunOutcome& outcome);
  void on_probe_outcome(int build, const Action& action, const ProbeOutcome& outcome);
  void log_action(const PlanRun& run, const Action& action) const;
  void on_journal_error(const std::string& reason);
  void crash_point(const char* point) const;

  net::Loop& loop_;
  RunnerSettings settings_;
  journal::Journal& journal_;
  Target& target_;
  const log::Logger& log_;
  Lease lease_;
  StepJournal step_journal_;
  std::vector<std::unique_ptr<PlanRun>> runs_{};  ///< By build, oldest first.
  net::Loop::Timer lease_timer_ = net::Loop::no_timer;
  net::Loop::Timer action_timer_ = net::Loop::no_timer;
  bool running_actions_ = false;  ///< Whether run_due_actions() is on the call stack.
};

}  // namespace robinhoist::migration
