/// Tests the migration runner against the stand-in database: with a crash at every point between
/// two writes, with faults of the database and of the journal's disk, and with edited plans.
#include <Poco/ErrorHandler.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <thread>

#include "faulty_vfs.h"
#include "migration/runner.h"
#include "net/loop.h"
#include "settings/validation_error.h"
#include "standin/database.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

const char* const plan_text = R"P((plan (release 2)
  (step table (kind schema) (phase expand) (apply "CREATE TABLE chairs (id INTEGER PRIMARY KEY, room INTEGER)")
        (undo "DROP TABLE chairs") (on-back undo) (check "SELECT count(*) FROM sqlite_master WHERE name = 'chairs'")
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))
  (step counter (kind schema) (phase expand) (apply "UPDATE counter SET n = n + 1") (on-back keep)
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))
  (step fill (kind data) (phase migrate) (before-wave 1) (table visits) (key id) (batch 4) (on-back undo)
        (apply "UPDATE visits SET n = n + 1 WHERE id > :after AND id <= :upto") 
        (undo "UPDATE visits SET n = 0 WHERE id > :after AND id <= :upto")
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))))P";

constexpr int build = 2;
constexpr ReleaseState offered{.stage = -1, .offered = true};
constexpr ReleaseState first_stage{.stage = 0, .offered = true};
constexpr ReleaseState rolled_back{
    .stage = 0, .offered = true, .rolling_back = true, .rolled_back = true};

/// Thrown by a crash point to unwind out of the runner.
struct SimulatedCrash : std::exception {};

/// A runner, its journal, and the database that it migrates, on an event loop with its own thread.
/// The runner can be crashed at its Nth crash point; it is then restarted from the journal, as
/// after kill -9.
class TestEnvironment {
 public:
  TestEnvironment() {
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    run_on_loop([this] { create_database(); });
  }

  ~TestEnvironment() {
    run_on_loop([this] {
      drop_runner();
      database_.reset();
    });
    loop_.quit();
    thread_.join();
    fs::remove_all(folder_);
  }

  TestEnvironment(const TestEnvironment&) = delete;
  TestEnvironment& operator=(const TestEnvironment&) = delete;

  /// Runs a task on the loop's thread, on which the runner and the database run. A crash point
  /// inside the task ends the runner but not the test.
  template <class Task>
  void run_on_loop(Task task) {
    loop_.call([&] {
      try {
        task();
      } catch (const SimulatedCrash&) {
      }
    });
  }

  /// Starts a runner from the journal, in place of the current one. Must be called on the loop.
  void start(const ReleaseState& release) {
    release_ = release;
    restart();
  }

  /// Must be called on the loop.
  void set_release(const ReleaseState& release) {
    release_ = release;
    if (!runner_ || runner_is_dead_)
      return;
    runner_->set_release(build, release_);
    runner_->run_due_actions();
  }

  /// Waits until a condition on the runner holds; returns false if it does not within a few
  /// seconds.
  template <class Condition>
  bool wait_until(Condition condition) {
    for (int i = 0; i < 3000; ++i) {
      bool holds = false;
      loop_.call([&] { holds = !runner_is_dead_ && runner_ && condition(); });
      if (holds)
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }

  bool wait_until_allowed(int stage) {
    return wait_until([&] { return runner_->allows(build, stage); });
  }

  /// Must be called on the loop.
  std::unique_ptr<Target> new_target() {
    return std::make_unique<Target>(loop_, "127.0.0.1:" + std::to_string(database_->port()));
  }

  void crash_at(int point) { crash_at_ = point; }
  /// The number of crash points passed.
  int points() const { return points_; }
  Runner& runner() { return *runner_; }
  standin::Database& database() { return *database_; }

 private:
  void create_database() {
    database_ = std::make_unique<standin::Database>(loop_, http::ServerSettings{}, "", nullptr);
    database_->execute(
        "CREATE TABLE counter (n INTEGER); INSERT INTO counter VALUES (0);"
        "CREATE TABLE visits (id INTEGER PRIMARY KEY, n INTEGER)");
    for (int id = 1; id <= 10; ++id)
      database_->execute("INSERT INTO visits VALUES (" + std::to_string(id) + ", 0)");
  }

  void drop_runner() {
    runner_.reset();
    target_.reset();
    journal_.reset();
  }

  void restart() {
    drop_runner();
    try {
      journal_ = std::make_unique<journal::Journal>((folder_ / "journal").string());
    } catch (const journal::JournalError&) {
      restart_later();
      return;
    }
    target_ = new_target();
    runner_ = std::make_unique<Runner>(loop_, runner_settings(), *journal_, *target_, log_);
    try {
      if (!runner_->has_plan(build))
        runner_->accept_plan(plan_text, "plan", "test");
    } catch (const journal::JournalError&) {
      runner_.reset();
      restart_later();
      return;
    }
    runner_->set_release(build, release_);
    runner_->run_due_actions();
  }

  /// Simulates a supervisor that restarts the process.
  void restart_later() {
    loop_.in(2ms, [this] { restart(); });
  }

  RunnerSettings runner_settings() {
    RunnerSettings settings;
    settings.holder = "runner";
    settings.lease_length = 10s;
    settings.stages = 3;
    settings.journal_retry_delay = 5ms;
    settings.on_crash_point = [this](const char*) { on_crash_point(); };
    return settings;
  }

  /// The crashed runner must write nothing more; a new one is started a little later.
  void on_crash_point() {
    if (points_++ != crash_at_)
      return;
    crash_at_ = -1;
    runner_is_dead_ = true;
    loop_.in(1ms, [this] {
      runner_is_dead_ = false;
      restart();
    });
    throw SimulatedCrash();
  }

  fs::path folder_ =
      fs::temp_directory_path() / ("robinhoist-migration-" + std::to_string(::getpid()));
  net::Loop loop_{net::steady_now()};
  std::thread thread_{[this] { loop_.run(); }};
  log::Logger log_{"test", "off"};
  std::unique_ptr<standin::Database> database_{};
  std::unique_ptr<journal::Journal> journal_{};
  std::unique_ptr<Target> target_{};
  std::unique_ptr<Runner> runner_{};
  ReleaseState release_{};
  int points_ = 0;
  int crash_at_ = -1;
  bool runner_is_dead_ = false;
};

/// Ignores SimulatedCrash, which the loop passes to POCO's error handler when a handler throws it.
struct IgnoreErrors : Poco::ErrorHandler {
  void exception(const Poco::Exception&) override {}
  void exception(const std::exception&) override {}
  void exception() override {}
};

void ignore_simulated_crashes() {
  static IgnoreErrors handler;
  Poco::ErrorHandler::set(&handler);
}

struct MigrationRun {
  std::string problem{};  ///< Empty when the migration ended in the expected state.
  int points = 0;
};

/// Lists the values in the database that are not as expected after the plan was applied or, with
/// `after_rollback`, rolled back.
std::string wrong_values(standin::Database& database, bool after_rollback) {
  std::string wrong;
  const auto expect = [&](const char* query, double expected) {
    const double value = database.query(query).value_or(-1);
    if (value != expected)
      wrong += std::string(query) + " gives " + std::to_string(value) + "; ";
  };
  expect("SELECT n FROM counter", 1);
  expect("SELECT count(*) FROM sqlite_master WHERE name = 'chairs'", after_rollback ? 0 : 1);
  expect("SELECT min(n) FROM visits", after_rollback ? 0 : 1);
  expect("SELECT max(n) FROM visits", after_rollback ? 0 : 1);
  return wrong;
}

/// Offers the release, starts its first stage, and completes the migration or rolls it back. The
/// runner crashes at one crash point; -1 for none.
MigrationRun run_migration(int crash_at, bool roll_back) {
  TestEnvironment environment;
  environment.crash_at(crash_at);
  environment.run_on_loop([&] { environment.start(offered); });
  if (!environment.wait_until_allowed(0))
    return {.problem = "stage 0 is never allowed"};
  environment.run_on_loop([&] { environment.set_release(first_stage); });
  const auto is_complete = [&] { return environment.runner().is_complete(); };
  if (roll_back) {
    environment.run_on_loop([&] { environment.set_release(rolled_back); });
    if (!environment.wait_until(is_complete))
      return {.problem = "the rollback is never complete"};
  } else if (!environment.wait_until(
                 [&] { return environment.runner().allows(build, 1) && is_complete(); })) {
    return {.problem = "stage 1 is never allowed"};
  }
  MigrationRun run;
  environment.run_on_loop([&] {
    run.points = environment.points();
    run.problem = wrong_values(environment.database(), roll_back);
  });
  return run;
}

TEST(MigrationRunner, CrashedAtAnyPointSkipsAndRepeatsNothing) {
  ignore_simulated_crashes();
  for (bool roll_back : {false, true}) {
    const MigrationRun undisturbed = run_migration(-1, roll_back);
    ASSERT_EQ(undisturbed.problem, "");
    ASSERT_GT(undisturbed.points, 10);
    for (int point = 0; point < undisturbed.points; ++point)
      EXPECT_EQ(run_migration(point, roll_back).problem, "")
          << "crashed at point " << point << (roll_back ? " with a rollback" : "");
  }
}

TEST(MigrationTarget, ReportsALostConnectionAndATimeout) {
  Step step;
  step.id = "s";
  step.apply_statement = "SELECT 1";
  step.timeout = 150ms;
  const auto reason_of = [&](standin::DatabaseFault fault) {
    TestEnvironment environment;
    std::unique_ptr<Target> target;
    std::string reason;
    environment.run_on_loop([&] {
      environment.start(ReleaseState{});
      environment.database().inject_fault(fault, 1, 300ms);
      target = environment.new_target();
      target->run(build, step, Direction::apply, 0, 1,
                  [&](const RunOutcome& outcome) { reason = outcome.reason; });
    });
    environment.wait_until([&] { return !reason.empty(); });
    environment.run_on_loop([&] { target.reset(); });
    return reason;
  };
  EXPECT_EQ(reason_of(standin::DatabaseFault::disconnect_after_commit), "connection broke");
  EXPECT_EQ(reason_of(standin::DatabaseFault::hang), "no answer in time");
}

TEST(MigrationRunner, RecoversFromFaultsOfTheDatabase) {
  for (auto fault :
       {standin::DatabaseFault::refuse, standin::DatabaseFault::error_in_transaction,
        standin::DatabaseFault::disconnect_after_commit, standin::DatabaseFault::lock_timeout,
        standin::DatabaseFault::hang, standin::DatabaseFault::delayed_response}) {
    TestEnvironment environment;
    environment.run_on_loop([&] {
      environment.database().inject_fault(fault, 2, 300ms);
      environment.start(first_stage);
    });
    EXPECT_TRUE(environment.wait_until_allowed(1)) << static_cast<int>(fault);
    environment.run_on_loop([&] {
      EXPECT_EQ(environment.database().query("SELECT n FROM counter"), 1);
      EXPECT_EQ(environment.database().query("SELECT sum(n) FROM visits"), 10);
    });
  }
}

/// Each write, truncation and sync of the journal's files fails in turn, alone and together with
/// the next two.
TEST(MigrationRunner, RecoversFromEachErrorOfTheJournalsDisk) {
  ignore_simulated_crashes();
  tests::FaultyVfs disk;
  disk.fail(-1, 0);
  ASSERT_EQ(run_migration(-1, true).problem, "");
  const int operations = disk.operations();
  ASSERT_GT(operations, 50);
  for (int failures : {1, 3})
    for (int operation = 0; operation < operations; ++operation) {
      disk.fail(operation, failures);
      EXPECT_EQ(run_migration(-1, true).problem, "")
          << "operation " << operation << " of " << operations;
    }
}

TEST(MigrationRunner, VerifiesAppliedStepsAndChangesNothing) {
  TestEnvironment environment;
  environment.run_on_loop([&] { environment.start(first_stage); });
  ASSERT_TRUE(environment.wait_until_allowed(1));
  const auto verify = [&] {
    std::string result;
    environment.run_on_loop(
        [&] { environment.runner().verify([&](const std::string& json) { result = json; }); });
    environment.wait_until([&] { return !result.empty(); });
    return result;
  };
  EXPECT_EQ(verify().find("not"), std::string::npos);
  environment.run_on_loop([&] { environment.database().execute("DROP TABLE chairs"); });
  const std::string result = verify();
  EXPECT_NE(result.find(R"("id":"table","state":"does not hold")"), std::string::npos) << result;
  environment.run_on_loop([&] { EXPECT_TRUE(environment.runner().allows(build, 1)); });
}

TEST(MigrationRunner, RunsNothingWithAnOutdatedFencingToken) {
  TestEnvironment environment;
  environment.run_on_loop([&] {
    environment.database().execute("UPDATE rh_fence SET token = 1000");
    environment.start(first_stage);
  });
  std::this_thread::sleep_for(50ms);
  environment.run_on_loop(
      [&] { EXPECT_EQ(environment.database().query("SELECT n FROM counter"), 0); });
}

void expect_rejected(Runner& runner, const std::string& text, const char* problem) {
  try {
    runner.accept_plan(text, "plan", "test");
    ADD_FAILURE() << "the plan was accepted; expected: " << problem;
  } catch (const settings::ValidationError& error) {
    EXPECT_NE(std::string(error.what()).find(problem), std::string::npos) << error.what();
  }
}

std::string plan_with(const std::string& old_text, const std::string& new_text) {
  std::string plan = plan_text;
  return plan.replace(plan.find(old_text), old_text.size(), new_text);
}

TEST(MigrationRunner, AcceptsAnEditedPlanOnlyWhereNothingWasApplied) {
  TestEnvironment environment;
  environment.run_on_loop([&] { environment.start(offered); });
  ASSERT_TRUE(environment.wait_until_allowed(0));
  environment.run_on_loop([&] {
    Runner& runner = environment.runner();
    expect_rejected(runner, plan_with("n + 1", "n + 2"), "has been applied with different content");
    expect_rejected(runner, plan_with("step counter", "step another"),
                    "step counter has been applied and is missing now");
    EXPECT_EQ(runner.accept_plan(plan_with("(batch 4)", "(batch 5)"), "plan", "test"), build);
    environment.set_release(first_stage);
  });
  EXPECT_TRUE(environment.wait_until_allowed(1));
  environment.run_on_loop(
      [&] { EXPECT_EQ(environment.database().query("SELECT n FROM counter"), 1); });
}

}  // namespace
}  // namespace robinhoist::migration
