/// Tests of migration plans: scripts for the state machine (tests/steps/README.md) and plans that
/// must be rejected (tests/plans).
#include <gtest/gtest.h>

#include <fstream>
#include <memory>
#include <optional>

#include "migration/plan.h"
#include "migration/plan_state_machine.h"
#include "migration_plans.h"
#include "scripted_test.h"
#include "settings/sexp_reader.h"

namespace robinhoist::migration {
namespace {

using tests::Words;

/// Runs the lines of a script against a state machine.
class ScriptRunner {
 public:
  void run_line(const Words& words) {
    const std::string& command = words[0];
    if (command == "step")
      plan_text_ += "(" + join(words) + ")";
    else if (!set_release(words) && !set_condition(words) && !report(words) && !expect(words))
      throw std::runtime_error("unknown command");
  }

 private:
  static std::string join(const Words& words) {
    std::string text;
    for (const std::string& word : words)
      text += (text.empty() ? "" : " ") + word;
    return text;
  }

  PlanStateMachine& machine() {
    if (!machine_) {
      machine_ = std::make_unique<PlanStateMachine>(
          tests::parse_plan("(plan (release 2) " + plan_text_ + ")"));
      machine_->set_lease_held(true);
    }
    return *machine_;
  }

  int step(const std::string& id) { return machine().find_step(id); }

  /// Commands that set the state of the release.
  bool set_release(const Words& words) {
    const std::string& command = words[0];
    if (command == "offered")
      release_.offered = true;
    else if (command == "wave")
      release_.stage = std::stoi(words[1]);
    else if (command == "back")
      release_.rolling_back = true;
    else if (command == "withdrawn")
      release_.rolled_back = true;
    else if (command == "final")
      release_.finalized = true;
    else
      return false;
    machine().set_release(release_);
    return true;
  }

  /// Commands that set the lease, the pause, the time, request outcomes and the largest key.
  bool set_condition(const Words& words) {
    const std::string& command = words[0];
    if (command == "lease")
      machine().set_lease_held(words[1] == "held");
    else if (command == "pause")
      machine().set_paused(words[1] == "on");
    else if (command == "run")
      now_ += std::chrono::milliseconds(std::stol(words[1]));
    else if (command == "patients")
      machine().on_client_outcomes(std::stol(words[1]), std::stol(words[2]), now_);
    else if (command == "reaches")
      machine().set_max_key(step(words[1]), std::stol(words[2]));
    else
      return false;
    return true;
  }

  /// Commands that report the result of the last action.
  bool report(const Words& words) {
    const bool is_run_result = words[0] == "ends";
    if (!is_run_result && words[0] != "says")
      return false;
    const std::int64_t cursor = words.size() > 2 ? std::stol(words[2]) : 0;
    if (is_run_result)
      machine().on_run_result(action_->step, action_->direction, step_result(words[1]), cursor, "",
                              now_);
    else
      machine().on_probe_result(action_->step, probe_result(words[1]), cursor, "", now_);
    return true;
  }

  static StepResult step_result(const std::string& name) {
    for (StepResult result : {StepResult::done, StepResult::more, StepResult::not_run,
                              StepResult::unknown, StepResult::fenced})
      if (name == to_string(result))
        return result;
    throw std::runtime_error("unknown result");
  }

  static ProbeResult probe_result(const std::string& name) {
    if (name == "yes")
      return ProbeResult::yes;
    return name == "no" ? ProbeResult::no : ProbeResult::unknown;
  }

  /// Commands that check the state machine.
  bool expect(const Words& words) {
    const std::string& command = words[0];
    if (command == "does")
      expect_action(words);
    else if (command == "retry")
      EXPECT_EQ(machine().retry(step(words[1])), words[2] == "yes");
    else if (command == "skip")
      EXPECT_EQ(machine().skip(step(words[1])), words[2] == "yes");
    else if (command == "allows")
      EXPECT_EQ(machine().allows(std::stoi(words[1])), words[2] == "yes");
    else if (command == "left")
      EXPECT_EQ(time_left(words[1]), words[2]);
    else if (command == "stuck")
      EXPECT_TRUE(machine().progress()[step(words[1])].blocked);
    else
      return false;
    return true;
  }

  /// does nothing | KIND STEP [undo] [after N]
  void expect_action(const Words& words) {
    action_ = machine().next_action(now_);
    if (words[1] == "nothing") {
      EXPECT_FALSE(action_) << name_of(action_->kind) << " " << id_of(*action_);
      return;
    }
    ASSERT_TRUE(action_);
    EXPECT_EQ(name_of(action_->kind), words[1]);
    EXPECT_EQ(id_of(*action_), words[2]);
    EXPECT_EQ(action_->direction == Direction::rollback, words.size() > 3 && words[3] == "undo");
    if (words.size() > 4 && words[words.size() - 2] == "after") {
      EXPECT_EQ(action_->cursor, std::stol(words.back()));
    }
    if (action_->kind == ActionKind::run)
      machine().replay_intent(action_->step, action_->direction);
  }

  std::string id_of(const Action& action) { return machine().plan().steps[action.step].id; }

  /// The name used in scripts.
  static std::string name_of(ActionKind kind) {
    switch (kind) {
      case ActionKind::run:
        return "run";
      case ActionKind::query_marker:
        return "looks";
      case ActionKind::run_check:
        return "checks";
      case ActionKind::verify:
        return "verifies";
      case ActionKind::wait_for_operator:
        break;
    }
    return "asks";
  }

  std::string time_left(const std::string& id) {
    const auto estimate = machine().estimate(step(id));
    if (!estimate || !estimate->time_left)
      return "none";
    return std::to_string(estimate->time_left->count() / 1000);
  }

  std::string plan_text_{};
  std::unique_ptr<PlanStateMachine> machine_{};
  std::optional<Action> action_{};
  ReleaseState release_{};
  TimePoint now_{};
};

class PlanStateMachineScript : public testing::TestWithParam<std::string> {};

TEST_P(PlanStateMachineScript, RunsAsWritten) {
  ScriptRunner runner;
  tests::run_script(GetParam(), [&](const Words& words) { runner.run_line(words); });
}

INSTANTIATE_TEST_SUITE_P(All, PlanStateMachineScript,
                         testing::ValuesIn(tests::files_in(TESTS "/steps", ".txt")),
                         tests::script_name);

/// The files in tests/plans begin with the expected problems, one `; LINE: TEXT` per line.
class PlanFile : public testing::TestWithParam<std::string> {};

TEST_P(PlanFile, IsRejectedWithTheProblemsItNames) {
  std::string problems;
  try {
    auto reader = settings::SexpReader::from_file(GetParam());
    read_plan(reader.child("plan"), 3, {{"2/known", "0123"}});
    reader.finish();
  } catch (const settings::ValidationError& error) {
    problems = error.what();
  }
  std::ifstream in(GetParam());
  std::string line;
  while (std::getline(in, line) && line.starts_with("; ")) {
    const std::size_t colon = line.find(':');
    const std::string position = ":" + line.substr(2, colon - 2) + ": ";
    EXPECT_NE(problems.find(position), std::string::npos) << line << "\n" << problems;
    EXPECT_NE(problems.find(line.substr(colon + 2)), std::string::npos) << line << "\n" << problems;
  }
}

INSTANTIATE_TEST_SUITE_P(All, PlanFile, testing::ValuesIn(tests::files_in(TESTS "/plans", ".conf")),
                         tests::script_name);

}  // namespace
}  // namespace robinhoist::migration
