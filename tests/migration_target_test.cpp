/// Tests the client of the migration target against an endpoint with each kind of call failure.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "migration/target.h"
#include "scripted_endpoint.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;

constexpr int build = 2;

class MigrationTargetCalls : public testing::Test {
 protected:
  static Step step() {
    Step step;
    step.id = "s";
    step.apply_statement = "SELECT 1";
    step.timeout = 150ms;
    return step;
  }

  /// Runs one step on the target at this port. Empty if the handler did not run.
  static std::optional<RunOutcome> run_step(net::Loop& loop, int port) {
    Target target(loop, "127.0.0.1:" + std::to_string(port));
    std::optional<RunOutcome> result;
    target.run(build, step(), Direction::apply, 0, 1, [&](const RunOutcome& outcome) {
      result = outcome;
      loop.stop();
    });
    loop.in(3s, [&] { loop.stop(); });
    loop.run();
    return result;
  }

  static std::string reason_at_port(int port) {
    net::Loop loop(net::steady_now());
    return run_step(loop, port).value_or(RunOutcome{}).reason;
  }

  static std::string reason_of(const std::string& behaviour) {
    net::Loop loop(net::steady_now());
    const tests::ScriptedEndpoint endpoint(loop, behaviour);
    return run_step(loop, endpoint.port()).value_or(RunOutcome{}).reason;
  }
};

// Guards against a failure text that belongs to another result, because the operator decides on a
// retry by this text.
TEST_F(MigrationTargetCalls, EachFailureIsNamedByItsCause) {
  EXPECT_EQ(reason_at_port(tests::free_port()), "not reached");
  EXPECT_EQ(reason_of("close"), "connection broke");
  EXPECT_EQ(reason_of("reset"), "connection broke");
  EXPECT_EQ(reason_of("garbage"), "garbled answer");
  EXPECT_EQ(reason_of("silence"), "no answer in time");
}

// Guards against a step that waits for the operator although it was never sent, because all
// connections to the target were busy.
TEST_F(MigrationTargetCalls, AStepWithoutAFreeConnectionHasNotRun) {
  constexpr int more_than_connections = 5;
  net::Loop loop(net::steady_now());
  const tests::ScriptedEndpoint endpoint(loop, "silence");
  Target target(loop, "127.0.0.1:" + std::to_string(endpoint.port()));
  std::vector<RunOutcome> outcomes;
  for (int i = 0; i < more_than_connections; ++i)
    target.run(build, step(), Direction::apply, 0, 1, [&](const RunOutcome& outcome) {
      outcomes.push_back(outcome);
      if (outcomes.size() == more_than_connections)
        loop.stop();
    });
  loop.in(3s, [&] { loop.stop(); });
  loop.run();
  ASSERT_EQ(outcomes.size(), more_than_connections);
  EXPECT_EQ(outcomes.front().result, StepResult::not_run);
  EXPECT_EQ(outcomes.front().reason, "no connection free");
  EXPECT_EQ(outcomes.back().result, StepResult::unknown);
  EXPECT_EQ(endpoint.requests(), more_than_connections - 1);
}

}  // namespace
}  // namespace robinhoist::migration
