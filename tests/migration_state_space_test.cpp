/// Explores the complete state space of PlanStateMachine for small plans, breadth first. The runner
/// may crash, responses may be lost, and the release may be rolled back at any point.
#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "migration/plan_state_machine.h"
#include "migration_plans.h"

namespace robinhoist::migration {
namespace {

/// A bug injected into the simulated runner, which the search must find.
enum class InjectedBug { none, no_intent, lost_is_not_run };

constexpr int max_crashes = 2;
constexpr int max_faults = 2;
constexpr int stages = 3;
constexpr std::size_t max_states = 4000000;
/// Later than all retries.
constexpr TimePoint now{std::chrono::hours(10)};

struct State {
  PlanStateMachine machine;        ///< The state machine of the running process.
  PlanStateMachine durable;        ///< The state machine as rebuilt from the journal.
  std::vector<bool> is_applied;    ///< Whether each step is applied to the database.
  std::vector<bool> is_marked;     ///< Whether the database has a marker of each step.
  std::optional<Action> action{};  ///< The action in progress.
  ReleaseState release{};
  int crashes = 0;
  int faults = 0;

  /// Identifies the state; equal states have equal keys.
  std::string key() const {
    std::string key = machine_key(machine) + machine_key(durable);
    for (std::size_t i = 0; i < is_applied.size(); ++i)
      key += std::string(is_applied[i] ? "T" : "f") + (is_marked[i] ? "M" : "n");
    if (action)
      key += std::to_string(static_cast<int>(action->kind)) + "." + std::to_string(action->step) +
             std::to_string(static_cast<int>(action->direction));
    key += "r" + std::to_string(release.stage) + (release.offered ? "o" : "") +
           (release.rolling_back ? "b" : "") + (release.rolled_back ? "w" : "") +
           (release.finalized ? "f" : "");
    return key + "c" + std::to_string(crashes) + "f" + std::to_string(faults);
  }

 private:
  static std::string machine_key(const PlanStateMachine& machine) {
    std::string key;
    for (const Progress& progress : machine.progress())
      key += std::to_string(static_cast<int>(progress.state)) +
             (progress.fully_applied ? "w" : "") + (progress.verified ? "v" : "") +
             (progress.blocked ? "s" : "") + (progress.undecidable ? "a" : "") +
             (progress.skipped ? "k" : "") + (progress.earlier_attempt_unresolved ? "e" : "") +
             std::to_string(progress.failures) + ",";
    return key;
  }
};

/// Explores all reachable states until an invariant is violated.
class StateSpaceSearch {
 public:
  explicit StateSpaceSearch(const Plan& plan, InjectedBug bug = InjectedBug::none)
      : plan_(plan), bug_(bug) {}

  void run() {
    const std::vector<bool> nothing(plan_.steps.size(), false);
    State first{PlanStateMachine(plan_), PlanStateMachine(plan_), nothing, nothing};
    first.machine.set_lease_held(true);
    add(first);
    while (!open_.empty() && violation_.empty() && seen_.size() < max_states) {
      const State state = std::move(open_.front());
      open_.pop_front();
      check_running_stages(state);
      crash(state);
      if (!state.action)
        take_next_action(state);
      else if (state.action->kind == ActionKind::run)
        end_run(state);
      else
        answer_probe(state);
      move_release(state);
    }
  }

  std::size_t states() const { return seen_.size(); }
  const std::string& violation() const { return violation_; }

 private:
  void fail(const std::string& what) {
    if (violation_.empty())
      violation_ = what;
  }

  void add(State state) {
    if (seen_.insert(state.key()).second)
      open_.push_back(std::move(state));
  }

  /// Checks that the steps required by each running stage are applied.
  void check_running_stages(const State& state) {
    for (int stage = 0; stage <= state.release.stage; ++stage)
      for (std::size_t i = 0; i < plan_.steps.size(); ++i) {
        const Step& step = plan_.steps[i];
        const bool is_needed = step.phase == Phase::expand ||
                               (step.phase == Phase::migrate && step.before_stage <= stage);
        const bool is_done = state.is_applied[i] || state.machine.progress()[i].skipped;
        if (is_needed && !is_done && !state.release.rolled_back)
          fail("stage " + std::to_string(stage) + " runs without step " + step.id);
      }
  }

  /// The runner crashes and restarts from its journal.
  void crash(State state) {
    if (state.crashes >= max_crashes)
      return;
    ++state.crashes;
    state.machine = state.durable;
    state.machine.set_lease_held(true);
    state.machine.set_release(state.release);
    state.action.reset();
    add(std::move(state));
  }

  /// The database runs the step. Checks that the run is allowed.
  void execute(State& state) {
    const int index = state.action->step;
    const Step& step = plan_.steps[index];
    const bool is_apply = state.action->direction == Direction::apply;
    if (is_apply && state.is_applied[index] && !step.idempotent)
      fail("step " + step.id + " ran twice");
    for (int earlier = 0; is_apply && earlier < index; ++earlier)
      if (!state.is_applied[earlier] && !state.machine.progress()[earlier].skipped)
        fail("step " + step.id + " ran before step " + plan_.steps[earlier].id);
    if (step.phase == Phase::contract && !state.release.finalized)
      fail("step " + step.id + " of phase contract ran while a rollback was possible");
    if (!is_apply && !state.release.rolled_back)
      fail("step " + step.id + " was rolled back while endpoints of the release served");
    state.is_applied[index] = is_apply;
    if (step.transactional)
      state.is_marked[index] = is_apply;
  }

  void report_run(State state, StepResult result) {
    const Action action = *state.action;
    state.machine.on_run_result(action.step, action.direction, result, 0, "", TimePoint{});
    state.durable.replay_run_result(action.step, action.direction, result, 0);
    state.action.reset();
    add(std::move(state));
  }

  /// The run succeeds, or its response is lost, or the request never reaches the database.
  void end_run(const State& state) {
    State done = state;
    execute(done);
    crash(done);
    report_run(done, StepResult::done);
    if (state.faults >= max_faults)
      return;
    ++done.faults;
    const bool misreported = bug_ == InjectedBug::lost_is_not_run;
    report_run(done, misreported ? StepResult::not_run : StepResult::unknown);
    State lost = state;
    ++lost.faults;
    report_run(lost, StepResult::not_run);
    report_run(lost, StepResult::unknown);
  }

  void report_probe(State state, ProbeResult result) {
    const int step = state.action->step;
    state.machine.on_probe_result(step, result, 0, "", TimePoint{});
    if (result != ProbeResult::unknown)
      state.durable.replay_probe_result(step, result, 0);
    state.action.reset();
    add(std::move(state));
  }

  void answer_probe(const State& state) {
    const int step = state.action->step;
    const bool asks_marker = state.action->kind == ActionKind::query_marker;
    const bool is_applied = asks_marker ? state.is_marked[step] : state.is_applied[step];
    report_probe(state, is_applied ? ProbeResult::yes : ProbeResult::no);
    if (state.faults >= max_faults)
      return;
    State lost = state;
    ++lost.faults;
    report_probe(lost, ProbeResult::unknown);
  }

  void take_next_action(State state) {
    const std::optional<Action> action = state.machine.next_action(now);
    if (!action || action->kind == ActionKind::wait_for_operator) {
      check_idle(state);
      return;
    }
    state.action = action;
    if (action->kind == ActionKind::run) {
      state.machine.replay_intent(action->step, action->direction);
      if (bug_ != InjectedBug::no_intent)
        state.durable.replay_intent(action->step, action->direction);
    }
    add(std::move(state));
  }

  /// Checks that a machine without a next action is complete or waits for the operator.
  void check_idle(const State& state) {
    bool is_blocked = false;
    for (const Progress& progress : state.machine.progress())
      is_blocked |= progress.blocked;
    if (!state.machine.is_complete() && !is_blocked)
      fail("there is no next action, but the plan is neither complete nor blocked");
    if (state.machine.is_complete() && state.release.rolled_back)
      check_rolled_back(state);
    for (std::size_t i = 0; is_blocked && i < plan_.steps.size(); ++i)
      retry_by_operator(state, static_cast<int>(i));
  }

  /// Checks that all steps of a rolled-back release are rolled back, except those that the plan
  /// keeps.
  void check_rolled_back(const State& state) {
    for (std::size_t i = 0; i < plan_.steps.size(); ++i)
      if (plan_.steps[i].rollback_with_release && state.is_applied[i] &&
          !state.machine.progress()[i].skipped)
        fail("step " + plan_.steps[i].id + " is still applied after the rollback of the release");
  }

  /// An operator retries a step only after making sure that it is not applied. The command is not
  /// written to the journal, so it has to be repeated after a crash.
  void retry_by_operator(State state, int index) {
    if (!state.machine.progress()[index].blocked || state.faults >= max_faults)
      return;
    ++state.faults;
    if (!state.is_applied[index] && state.machine.retry(index))
      add(std::move(state));
  }

  void add_with_release(State state, const ReleaseState& release) {
    state.release = release;
    state.machine.set_release(release);
    add(std::move(state));
  }

  /// The state of the release changes at any time, also while a step runs.
  void move_release(const State& state) {
    ReleaseState next = state.release;
    if (!next.offered) {
      next.offered = true;
      add_with_release(state, next);
    } else if (next.rolling_back && !next.rolled_back) {
      next.rolled_back = true;
      add_with_release(state, next);
    } else if (!next.rolling_back && !next.rolled_back && !next.finalized) {
      advance_release(state);
      next.rolling_back = true;
      add_with_release(state, next);
    }
  }

  void advance_release(const State& state) {
    ReleaseState next = state.release;
    const bool is_last_stage = next.stage + 1 == stages;
    if (!is_last_stage && state.machine.allows(next.stage + 1)) {
      ++next.stage;
      add_with_release(state, next);
    } else if (is_last_stage) {
      next.finalized = true;
      add_with_release(state, next);
    }
  }

  const Plan& plan_;
  InjectedBug bug_;
  std::deque<State> open_{};
  std::set<std::string> seen_{};
  std::string violation_{};
};

const char* const plans[] = {
    R"((plan (release 2)
      (step a (kind schema) (phase expand) (apply "A") (undo "UA") (on-back undo) (retry (tries 2)))
      (step b (kind schema) (phase migrate) (before-wave 1) (apply "B") (undo "UB") (on-back undo)
              (transactional no) (check "CB") (retry (tries 2)))
      (step c (kind schema) (phase contract) (apply "C") (retry (tries 2)))))",
    R"((plan (release 2)
      (step a (kind schema) (phase expand) (apply "A") (on-back keep) (transactional no) (idempotent yes) (retry (tries 2)))
      (step b (kind schema) (phase expand) (apply "B") (undo "UB") (on-back undo) (transactional no) (retry (tries 2)))
      (step c (kind schema) (phase migrate) (before-wave 2) (apply "C") (undo "UC") (on-back undo) (check "CC")
              (retry (tries 2)))))",
    R"((plan (release 2)
      (step a (kind schema) (phase expand) (apply "A") (undo "UA") (on-back undo) (transactional no) (idempotent yes)
              (retry (tries 2)))
      (step b (kind schema) (phase migrate) (before-wave 1) (apply "B") (undo "UB") (on-back undo) (transactional no)
              (idempotent yes) (retry (tries 2)))))"};

TEST(PlanStateSpace, HoldsItsInvariantsInEveryState) {
  for (const char* text : plans) {
    const Plan plan = tests::parse_plan(text);
    StateSpaceSearch search(plan);
    search.run();
    EXPECT_EQ(search.violation(), "");
    EXPECT_GT(search.states(), 1000u);
    RecordProperty("states", static_cast<int>(search.states()));
    std::printf("states: %zu\n", search.states());
  }
}

TEST(PlanStateSpace, FindsInjectedBugs) {
  const Plan plan = tests::parse_plan(plans[0]);
  for (InjectedBug bug : {InjectedBug::no_intent, InjectedBug::lost_is_not_run}) {
    StateSpaceSearch search(plan, bug);
    search.run();
    EXPECT_EQ(search.violation(), "step a ran twice") << static_cast<int>(bug);
  }
}

}  // namespace
}  // namespace robinhoist::migration
