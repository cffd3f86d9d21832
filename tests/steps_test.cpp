// Steps: plays of the core (tests/steps/README.md), plans that must be refused (tests/plans), the
// core's whole state space at small sizes, and a runner that is killed at every point between two
// writes.
#include <Poco/ErrorHandler.h>
#include <sqlite3.h>
#include <unistd.h>

#include <deque>
#include <set>
#include <thread>

#include "faulty_vfs.h"
#include "migration/runner.h"
#include "net/loop.h"
#include "plays.h"
#include "settings/sexp_reader.h"
#include "standin/database.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;
using tests::Words;

Plan plan_of(const std::string& text) {
  settings::SexpReader form = settings::SexpReader::from_text(text, "plan");
  Plan plan = read_plan(form.child("plan"), 3);
  form.finish();
  return plan;
}

struct Stage {
  std::string text{};
  std::unique_ptr<PlanStateMachine> core{};
  std::optional<Action> todo{};
  ReleaseState at{};
  TimePoint now{};

  PlanStateMachine& it() {
    if (!core) {
      core = std::make_unique<PlanStateMachine>(plan_of("(plan (release 2) " + text + ")"));
      core->set_lease_held(true);
    }
    return *core;
  }
  void tell() { it().set_release(at); }

  void step(const Words& w) {
    const auto words = [&](std::size_t from) {
      std::string all;
      for (std::size_t i = from; i < w.size(); ++i)
        all += (i > from ? " " : "") + w[i];
      return all;
    };
    if (w[0] == "step") {
      text += "(" + words(0) + ")";
    } else if (w[0] == "offered") {
      at.offered = true, tell();
    } else if (w[0] == "wave") {
      at.stage = std::stoi(w[1]), tell();
    } else if (w[0] == "back") {
      at.rolling_back = true, tell();
    } else if (w[0] == "withdrawn") {
      at.rolled_back = true, tell();
    } else if (w[0] == "final") {
      at.finalized = true, tell();
    } else if (w[0] == "lease") {
      it().set_lease_held(w[1] == "held");
    } else if (w[0] == "pause") {
      it().set_paused(w[1] == "on");
    } else if (w[0] == "run") {
      now += Duration(std::stol(w[1]) * 1000);
    } else if (w[0] == "patients") {
      it().on_client_outcomes(std::stol(w[1]), std::stol(w[2]), now);
    } else if (w[0] == "retry" || w[0] == "skip") {
      const int i = it().find_step(w[1]);
      EXPECT_EQ(w[0] == "retry" ? it().retry(i) : it().skip(i), w[2] == "yes");
    } else if (w[0] == "does") {  // does nothing | ACT STEP [undo] [after N]
      todo = it().next_action(now);
      const char* const acts[] = {"run", "looks", "checks", "verifies", "asks"};
      if (w[1] == "nothing") {
        EXPECT_FALSE(todo) << acts[static_cast<int>(todo->kind)] << " "
                           << it().plan().steps[todo->step].id;
        return;
      }
      ASSERT_TRUE(todo);
      EXPECT_EQ(acts[static_cast<int>(todo->kind)], w[1]);
      EXPECT_EQ(it().plan().steps[todo->step].id, w[2]);
      EXPECT_EQ(todo->direction == Direction::rollback, w.size() > 3 && w[3] == "undo");
      if (w.size() > 4 && w[w.size() - 2] == "after") {
        EXPECT_EQ(todo->cursor, std::stol(w.back()));
      }
      if (todo->kind == ActionKind::run)
        it().replay_intent(todo->step, todo->direction);
    } else if (w[0] == "ends") {
      for (StepResult result : {StepResult::done, StepResult::more, StepResult::not_run,
                                StepResult::unknown, StepResult::fenced})
        if (w[1] == to_string(result))
          return it().on_run_result(todo->step, todo->direction, result,
                                    w.size() > 2 ? std::stol(w[2]) : 0, "", now);
      throw std::runtime_error("no such result");
    } else if (w[0] == "says") {
      it().on_probe_result(todo->step,
                           w[1] == "yes"  ? ProbeResult::yes
                           : w[1] == "no" ? ProbeResult::no
                                          : ProbeResult::unknown,
                           w.size() > 2 ? std::stol(w[2]) : 0, "", now);
    } else if (w[0] == "allows") {
      EXPECT_EQ(it().allows(std::stoi(w[1])), w[2] == "yes");
    } else if (w[0] == "reaches") {
      it().set_max_key(it().find_step(w[1]), std::stol(w[2]));
    } else if (w[0] == "left") {
      const auto estimate = it().estimate(it().find_step(w[1]));
      const std::string left = estimate && estimate->time_left
                                   ? std::to_string(estimate->time_left->count() / 1000)
                                   : "none";
      EXPECT_EQ(left, w[2]);
    } else if (w[0] == "stuck") {
      EXPECT_TRUE(it().progress()[it().find_step(w[1])].blocked);
    } else {
      throw std::runtime_error("no such line");
    }
  }
};

class StepsPlay : public testing::TestWithParam<std::string> {};

TEST_P(StepsPlay, goes_as_written) {
  Stage stage;
  tests::play(GetParam(), [&](const Words& words) { stage.step(words); });
}

INSTANTIATE_TEST_SUITE_P(All, StepsPlay, testing::ValuesIn(tests::files_in(TESTS "/steps", ".txt")),
                         tests::stem);

// tests/plans/*.conf: the first lines say what must be told, `; LINE: words` each.
class PlanFile : public testing::TestWithParam<std::string> {};

TEST_P(PlanFile, is_refused_as_it_says) {
  std::ifstream in(GetParam());
  std::string line, told;
  try {
    settings::SexpReader form = settings::SexpReader::from_file(GetParam());
    read_plan(form.child("plan"), 3, {{"2/known", "0123"}});
    form.finish();
  } catch (const settings::ValidationError& bad) {
    told = bad.what();
  }
  while (std::getline(in, line) && line.rfind("; ", 0) == 0) {
    const std::size_t colon = line.find(':');
    EXPECT_NE(told.find(":" + line.substr(2, colon - 2) + ": "), std::string::npos) << line << "\n"
                                                                                    << told;
    EXPECT_NE(told.find(line.substr(colon + 2)), std::string::npos) << line << "\n" << told;
  }
}

INSTANTIATE_TEST_SUITE_P(All, PlanFile, testing::ValuesIn(tests::files_in(TESTS "/plans", ".conf")),
                         tests::stem);

// The whole state space of the core at a small size: a host that may crash, lose answers and be
// told to go back at any point, breadth first. `Bug` plants an error in the host, which the search
// must find.
enum class Bug { none, no_intent, lost_is_not_run, back_while_serving };

struct Model {
  PlanStateMachine core, durable;  // as it runs, and as a replay of the journal would give it
  std::vector<bool> truth;         // what the database really holds
  std::vector<bool> marked;        // and what its marks say
  std::optional<Action> todo{};
  ReleaseState release{};
  int crashes = 0, faults = 0;

  std::string key() const {
    std::string key;
    for (const PlanStateMachine* one : {&core, &durable})
      for (const Progress& p : one->progress())
        key += std::to_string(static_cast<int>(p.state)) + (p.fully_applied ? "w" : "") +
               (p.verified ? "v" : "") + (p.blocked ? "s" : "") + (p.undecidable ? "a" : "") +
               (p.skipped ? "k" : "") + std::to_string(p.failures) + ",";
    for (std::size_t i = 0; i < truth.size(); ++i)
      key += std::string(truth[i] ? "T" : "f") + (marked[i] ? "M" : "n");
    if (todo)
      key += std::to_string(static_cast<int>(todo->kind)) + "." + std::to_string(todo->step) +
             std::to_string(static_cast<int>(todo->direction));
    key += "r" + std::to_string(release.stage) + (release.offered ? "o" : "") +
           (release.rolling_back ? "b" : "") + (release.rolled_back ? "w" : "") +
           (release.finalized ? "f" : "");
    return key + "c" + std::to_string(crashes) + "f" + std::to_string(faults);
  }
};

struct Explored {
  std::size_t states = 0;
  std::string broken{};
};

Explored explore(const Plan& plan, Bug bug) {
  constexpr TimePoint late{std::chrono::hours(10)};
  const std::size_t count = plan.steps.size();
  std::deque<Model> open;
  std::set<std::string> seen;
  Explored explored;
  auto fail = [&](const std::string& what) {
    if (explored.broken.empty())
      explored.broken = what;
  };
  auto add = [&](Model model) {
    if (seen.insert(model.key()).second)
      open.push_back(std::move(model));
  };
  Model first{PlanStateMachine(plan), PlanStateMachine(plan), std::vector<bool>(count, false),
              std::vector<bool>(count, false)};
  first.core.set_lease_held(true);
  add(first);
  auto crash = [&](Model model) {
    if (model.crashes >= 2)
      return;
    ++model.crashes;
    model.core = model.durable;
    model.core.set_lease_held(true);
    model.core.set_release(model.release);
    model.todo.reset();
    add(std::move(model));
  };
  // Really runs it, with the invariants that bind each run.
  auto execute = [&](Model& model) {
    const int i = model.todo->step;
    const Step& step = plan.steps[i];
    const bool apply = model.todo->direction == Direction::apply;
    if (apply && model.truth[i] && !step.idempotent)
      fail("step " + step.id + " ran twice");
    for (int j = 0; apply && j < i; ++j)
      if (!model.truth[j] && !model.core.progress()[j].skipped)
        fail(step.id + " ran before " + plan.steps[j].id);
    if (step.phase == Phase::contract && !model.release.finalized)
      fail("contract while back is possible");
    if (!apply && !model.release.rolled_back)
      fail(step.id + " undone while machines serve");
    model.truth[i] = apply;
    if (step.transactional)
      model.marked[i] = apply;
  };
  while (!open.empty() && explored.broken.empty() && seen.size() < 4000000) {
    Model model = std::move(open.front());
    open.pop_front();
    // What holds in every state.
    for (int stage = 0; stage <= model.release.stage; ++stage)
      for (std::size_t i = 0; i < count; ++i) {
        const Step& step = plan.steps[i];
        const bool needed = step.phase == Phase::expand ||
                            (step.phase == Phase::migrate && step.before_stage <= stage);
        if (needed && !model.release.rolled_back && !model.truth[i] &&
            !model.core.progress()[i].skipped)
          fail("wave " + std::to_string(stage) + " runs without " + step.id);
      }
    crash(model);
    if (model.todo) {
      const int i = model.todo->step;
      const Direction direction = model.todo->direction;
      const ActionKind act = model.todo->kind;
      if (act == ActionKind::run) {
        auto ends = [&](Model next, StepResult result) {
          next.core.on_run_result(i, direction, result, 0, "", TimePoint{});
          next.durable.replay_run_result(i, direction, result, 0);
          next.todo.reset();
          add(std::move(next));
        };
        Model done = model;
        execute(done);
        crash(done);
        ends(done, StepResult::done);
        if (model.faults < 2) {
          ++done.faults;
          ends(done, bug == Bug::lost_is_not_run ? StepResult::not_run : StepResult::unknown);
          Model lost = model;
          ++lost.faults;
          ends(lost, StepResult::not_run);
          ends(lost, StepResult::unknown);
        }
      } else {
        auto says = [&](Model next, ProbeResult answer) {
          next.core.on_probe_result(i, answer, 0, "", TimePoint{});
          if (answer != ProbeResult::unknown)
            next.durable.replay_probe_result(i, answer, 0);
          next.todo.reset();
          add(std::move(next));
        };
        const bool there = act == ActionKind::query_marker ? model.marked[i] : model.truth[i];
        says(model, there ? ProbeResult::yes : ProbeResult::no);
        if (model.faults < 2) {
          Model lost = model;
          ++lost.faults;
          says(lost, ProbeResult::unknown);
        }
      }
    } else {
      Model next = model;
      const std::optional<Action> todo = next.core.next_action(late);
      if (todo && todo->kind != ActionKind::wait_for_operator) {
        next.todo = todo;
        if (todo->kind == ActionKind::run) {
          next.core.replay_intent(todo->step, todo->direction);
          if (bug != Bug::no_intent)
            next.durable.replay_intent(todo->step, todo->direction);
        }
        add(next);
      } else {
        // Always a way forward, or an operator's word that is asked for.
        bool stuck = false;
        for (const Progress& p : next.core.progress())
          stuck |= p.blocked;
        if (!next.core.is_complete() && !stuck)
          fail("nothing to do, and not settled");
        if (stuck) {
          for (std::size_t i = 0; i < count; ++i) {
            Model helped = next;
            if (!helped.core.progress()[i].blocked || helped.faults >= 2)
              continue;
            ++helped.faults;
            // An operator says 'again' only after having made sure that it is not there.
            const bool clean = !helped.truth[i];
            if (clean && helped.core.retry(static_cast<int>(i))) {
              // The word itself is not in the journal: after a crash it is asked for again.
              add(helped);
            }
          }
        }
      }
    }
    // The release moves at any time, also while a step runs.
    Model moved = model;
    auto move = [&](ReleaseState to) {
      moved = model;
      moved.release = to;
      moved.core.set_release(to);
      add(moved);
    };
    ReleaseState r = model.release;
    if (!r.offered) {
      r.offered = true;
      move(r);
      continue;
    }
    if (!r.rolling_back && !r.rolled_back && !r.finalized) {
      ReleaseState on = r;
      if (r.stage + 1 < 3 && model.core.allows(r.stage + 1)) {
        ++on.stage;
        move(on);
      } else if (r.stage == 2) {
        on.finalized = true;
        move(on);
      }
      ReleaseState back = r;
      if (bug == Bug::back_while_serving)
        back.rolled_back = true, back.rolling_back = false;
      else
        back.rolling_back = true;
      move(back);
    }
    if (r.rolling_back && !r.rolled_back) {
      r.rolled_back = true;
      move(r);
    }
  }
  explored.states = seen.size();
  return explored;
}

const char* const model_plans[] = {
    R"((plan (release 2)
      (step a (kind schema) (phase expand) (apply "A") (undo "UA") (on-back undo) (retry (tries 2)))
      (step b (kind schema) (phase migrate) (before-wave 1) (apply "B") (undo "UB") (on-back undo)
              (transactional no) (check "CB") (retry (tries 2)))
      (step c (kind schema) (phase contract) (apply "C") (retry (tries 2)))))",
    R"((plan (release 2)
      (step a (kind schema) (phase expand) (apply "A") (on-back keep) (transactional no) (idempotent yes) (retry (tries 2)))
      (step b (kind schema) (phase expand) (apply "B") (undo "UB") (on-back undo) (transactional no) (retry (tries 2)))
      (step c (kind schema) (phase migrate) (before-wave 2) (apply "C") (undo "UC") (on-back undo) (check "CC")
              (retry (tries 2)))))"};

TEST(Model, holds_in_every_state) {
  for (const char* text : model_plans) {
    const Explored explored = explore(plan_of(text), Bug::none);
    EXPECT_EQ(explored.broken, "");
    EXPECT_GT(explored.states, 1000u);
    RecordProperty("states", static_cast<int>(explored.states));
    std::printf("states: %zu\n", explored.states);
  }
}

TEST(Model, finds_what_is_planted) {
  EXPECT_EQ(explore(plan_of(model_plans[0]), Bug::no_intent).broken, "step a ran twice");
  EXPECT_EQ(explore(plan_of(model_plans[0]), Bug::lost_is_not_run).broken, "step a ran twice");
}

// A runner against the stand-in database, ended at its Nth point between two writes and started
// anew.
struct Ended : std::exception {};

const char* const crash_plan = R"P((plan (release 2)
  (step table (kind schema) (phase expand) (apply "CREATE TABLE chairs (id INTEGER PRIMARY KEY, room INTEGER)")
        (undo "DROP TABLE chairs") (on-back undo) (check "SELECT count(*) FROM sqlite_master WHERE name = 'chairs'")
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))
  (step counter (kind schema) (phase expand) (apply "UPDATE counter SET n = n + 1") (on-back keep)
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))
  (step fill (kind data) (phase migrate) (before-wave 1) (table visits) (key id) (batch 4) (on-back undo)
        (apply "UPDATE visits SET n = n + 1 WHERE id > :after AND id <= :upto") 
        (undo "UPDATE visits SET n = 0 WHERE id > :after AND id <= :upto")
        (timeout 150ms) (retry (tries 9) (pause 1ms) (pause-most 2ms)))))P";

struct Crashing {
  fs::path folder = fs::temp_directory_path() / ("robinhoist-steps-" + std::to_string(::getpid()));
  net::Loop loop{net::steady_now()};
  std::thread thread{[this] { loop.run(); }};
  log::Logger log{"test", "off"};
  std::unique_ptr<standin::Database> database{};
  std::unique_ptr<journal::Journal> journal{};
  std::unique_ptr<Target> target{};
  std::unique_ptr<Runner> runner{};
  int points = 0, crash_at = -1;

  Crashing() {
    fs::remove_all(folder);
    fs::create_directories(folder);
    loop.call([this] {
      database = std::make_unique<standin::Database>(loop, http::ServerSettings{}, "", nullptr);
      database->execute(
          "CREATE TABLE counter (n INTEGER); INSERT INTO counter VALUES (0);"
          "CREATE TABLE visits (id INTEGER PRIMARY KEY, n INTEGER)");
      for (int i = 1; i <= 10; ++i)
        database->execute("INSERT INTO visits VALUES (" + std::to_string(i) + ", 0)");
    });
  }
  ~Crashing() {
    loop.call([this] {
      runner.reset();
      target.reset();
      journal.reset();
      database.reset();
    });
    loop.quit();
    thread.join();
    fs::remove_all(folder);
  }
  // As after kill -9: nothing of the old runner is left but its journal.
  void start() {
    runner.reset();
    target.reset();
    journal.reset();
    try {
      journal = std::make_unique<journal::Journal>((folder / "journal").string());
    } catch (const journal::JournalError&) {
      // As a supervisor would.
      ++refused;
      loop.in(2ms, [this] { start(); });
      return;
    }
    target = std::make_unique<Target>(loop, "127.0.0.1:" + std::to_string(database->port()));
    RunnerSettings settings;
    settings.holder = "me";
    settings.lease_length = 10s;
    settings.stages = 3;
    settings.journal_retry_delay = 5ms;
    settings.on_crash_point = [this](const char*) {
      if (points++ != crash_at)
        return;
      crash_at = -1;
      // The runner ends here: it may write nothing more, and is started anew a little later.
      dead = true;
      loop.in(1ms, [this] {
        dead = false;
        start();
      });
      throw Ended();
    };
    runner = std::make_unique<Runner>(loop, settings, *journal, *target, log);
    try {
      if (!runner->has_plan(2))
        runner->accept_plan(crash_plan, "plan", "test");
    } catch (const journal::JournalError&) {
      runner.reset();
      ++refused;
      loop.in(2ms, [this] { start(); });
      return;
    }
    runner->set_release(2, at);
    runner->run_due_actions();
  }
  void move(const ReleaseState& to) {
    at = to;
    if (runner && !dead) {
      runner->set_release(2, at);
      runner->run_due_actions();
    }
  }
  template <class Until>
  bool wait(Until until) {
    for (int i = 0; i < 3000; ++i) {
      bool there = false;
      loop.call([&] { there = !dead && runner && until(); });
      if (there)
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
  ReleaseState at{};
  bool dead = false;
  int refused = 0;  // starts
};

// Exceptions of a point must reach the loop's edge only: POCO's reactor takes them there.
struct Quiet : Poco::ErrorHandler {
  void exception(const Poco::Exception&) override {}
  void exception(const std::exception&) override {}
  void exception() override {}
};

// Plays offer, waves and either the way on or the way back; true when it came to its end as it
// must.
std::string crash_once(int crash_at, bool back, int& points) {
  Crashing stage;
  stage.crash_at = crash_at;
  auto begin = [&] {
    stage.at = {.stage = -1, .offered = true};
    try {
      stage.start();
    } catch (const Ended&) {
    }
  };
  stage.loop.call(begin);
  if (!stage.wait([&] { return stage.runner->allows(2, 0); }))
    return "never allows wave 0";
  stage.loop.call([&] {
    try {
      stage.move({.stage = 0, .offered = true});
    } catch (const Ended&) {
    }
  });
  if (!back) {
    if (!stage.wait([&] { return stage.runner->allows(2, 1) && stage.runner->is_complete(); }))
      return "never allows wave 1";
  } else {
    stage.loop.call([&] {
      try {
        stage.move({.stage = 0, .offered = true, .rolling_back = true, .rolled_back = true});
      } catch (const Ended&) {
      }
    });
    if (!stage.wait([&] { return stage.runner->is_complete(); }))
      return "never settles its way back";
  }
  std::string wrong;
  stage.loop.call([&] {
    points = stage.points;
    auto is = [&](const char* query, double wanted) {
      const auto value = stage.database->ask(query);
      if (value.value_or(-1) != wanted)
        wrong += std::string(query) + " gives " + std::to_string(value.value_or(-1)) + "; ";
    };
    is("SELECT n FROM counter", 1);
    is("SELECT count(*) FROM sqlite_master WHERE name = 'chairs'", back ? 0 : 1);
    is("SELECT min(n) FROM visits", back ? 0 : 1);
    is("SELECT max(n) FROM visits", back ? 0 : 1);
  });
  return wrong;
}

TEST(Runner, ended_at_every_point_it_skips_and_repeats_nothing) {
  static Quiet quiet;
  Poco::ErrorHandler::set(&quiet);
  for (bool back : {false, true}) {
    int points = 0;
    ASSERT_EQ(crash_once(-1, back, points), "");
    ASSERT_GT(points, 10);
    for (int n = 0; n < points; ++n) {
      int ignored = 0;
      EXPECT_EQ(crash_once(n, back, ignored), "")
          << "ended at point " << n << (back ? " on the way back" : "");
    }
  }
}

TEST(Runner, bears_what_the_database_does) {
  for (auto fault :
       {standin::DbFault::refuse, standin::DbFault::error_inside, standin::DbFault::drop_on_commit,
        standin::DbFault::locked, standin::DbFault::hang, standin::DbFault::late}) {
    Crashing stage;
    stage.loop.call([&] {
      stage.database->fault(fault, 2, 300ms);
      stage.at = {.stage = 0, .offered = true};
      stage.start();
    });
    EXPECT_TRUE(stage.wait([&] { return stage.runner->allows(2, 1); })) << static_cast<int>(fault);
    stage.loop.call([&] {
      EXPECT_EQ(stage.database->ask("SELECT n FROM counter"), 1);
      EXPECT_EQ(stage.database->ask("SELECT sum(n) FROM visits"), 10);
    });
  }
}

// Each write, cut and sync of the journal's files fails in turn, alone and with the two after it.
TEST(Runner, bears_each_error_of_the_journals_disk) {
  static Quiet quiet;
  Poco::ErrorHandler::set(&quiet);
  tests::FaultyVfs disk;
  int operations = 0, ignored = 0;
  disk.fail(-1, 0);
  ASSERT_EQ(crash_once(-1, true, ignored), "");
  operations = disk.seen();
  ASSERT_GT(operations, 50);
  for (int times : {1, 3})
    for (int n = 0; n < operations; ++n) {
      disk.fail(n, times);
      EXPECT_EQ(crash_once(-1, true, ignored), "") << "operation " << n << " of " << operations;
    }
}

TEST(Runner, verifies_what_was_applied_and_changes_nothing) {
  Crashing stage;
  stage.loop.call([&] {
    stage.at = {.stage = 0, .offered = true};
    stage.start();
  });
  ASSERT_TRUE(stage.wait([&] { return stage.runner->allows(2, 1); }));
  const auto verified = [&] {
    std::string told;
    stage.loop.call([&] { stage.runner->verify([&](const std::string& body) { told = body; }); });
    stage.wait([&] { return !told.empty(); });
    return told;
  };
  EXPECT_EQ(verified().find("not"), std::string::npos);
  stage.loop.call([&] { stage.database->execute("DROP TABLE chairs"); });
  EXPECT_NE(verified().find(R"("id":"table","state":"does not hold")"), std::string::npos)
      << verified();
  stage.loop.call([&] { EXPECT_TRUE(stage.runner->allows(2, 1)); });
}

TEST(Runner, with_an_older_token_runs_nothing) {
  Crashing stage;
  stage.loop.call([&] {
    stage.database->execute("UPDATE rh_fence SET token = 1000");
    stage.at = {.stage = 0, .offered = true};
    stage.start();
  });
  std::this_thread::sleep_for(50ms);
  stage.loop.call([&] { EXPECT_EQ(stage.database->ask("SELECT n FROM counter"), 0); });
}

TEST(Journal, leases_go_to_one_and_tokens_only_grow) {
  const std::string file =
      (fs::temp_directory_path() / ("robinhoist-lease-" + std::to_string(::getpid()))).string();
  fs::remove(file);
  journal::Journal a(file), b(file);
  const auto first = a.acquire_lease("a", 1000, 500);
  ASSERT_TRUE(first);
  EXPECT_FALSE(b.acquire_lease("b", 1400, 500));
  const auto second = b.acquire_lease("b", 1600, 500);
  ASSERT_TRUE(second);
  EXPECT_GT(*second, *first);
  EXPECT_FALSE(a.renew_lease("a", *first, 1700, 500));
  EXPECT_TRUE(b.renew_lease("b", *second, 1700, 500));
  // A clock that jumped far ahead and back does not block the lease for ever.
  b.renew_lease("b", *second, 900000, 500);
  EXPECT_TRUE(a.acquire_lease("a", 2000, 500));
  fs::remove(file);
}

TEST(Journal, refuses_what_is_not_its_own) {
  const std::string file =
      (fs::temp_directory_path() / ("robinhoist-journal-" + std::to_string(::getpid()))).string();
  const auto refused = [&](const char* words) {
    try {
      journal::Journal journal(file);
      ADD_FAILURE() << "taken, though " << words;
    } catch (const journal::JournalError& bad) {
      EXPECT_NE(std::string(bad.what()).find(words), std::string::npos) << bad.what();
    }
    fs::remove(file);
  };
  fs::remove(file);
  std::ofstream(file) << std::string(5000, 'x');
  refused("not a database");
  net::Loop loop;
  { standin::Database other(loop, http::ServerSettings{}, file, nullptr); }
  refused("a database of something else");
  { journal::Journal(file).set_state("k", "v"); }
  journal::Entry entry;
  entry.step = "s";
  for (int i = 0; i < 200; ++i)
    journal::Journal(file).append(entry);
  {
    // Torn: a page in the middle is gone.
    std::fstream torn(file, std::ios::in | std::ios::out | std::ios::binary);
    torn.seekp(4096 * 2);
    torn << std::string(4096, '\xff');
  }
  refused("damaged");
}

TEST(Runner, takes_an_edited_plan_only_where_nothing_was_touched) {
  Crashing stage;
  stage.loop.call([&] {
    stage.at = {.stage = -1, .offered = true};
    stage.start();
  });
  ASSERT_TRUE(stage.wait([&] { return stage.runner->allows(2, 0); }));
  stage.loop.call([&] {
    const std::string plan = crash_plan;
    const auto refused = [&](std::string text, const char* words) {
      try {
        stage.runner->accept_plan(text, "plan", "test");
        ADD_FAILURE() << "taken, though " << words;
      } catch (const settings::ValidationError& bad) {
        EXPECT_NE(std::string(bad.what()).find(words), std::string::npos) << bad.what();
      }
    };
    std::string other = plan;
    refused(other.replace(other.find("n + 1"), 5, "n + 2"), "has been applied with other content");
    std::string fewer = plan;
    fewer.replace(fewer.find("step counter"), 12, "step another");
    refused(fewer, "step counter has been applied and is missing now");
    // What has not run yet may be written anew.
    std::string later = plan;
    EXPECT_EQ(stage.runner->accept_plan(later.replace(later.find("(batch 4)"), 9, "(batch 5)"),
                                        "plan", "test"),
              2);
    stage.move({.stage = 0, .offered = true});
  });
  EXPECT_TRUE(stage.wait([&] { return stage.runner->allows(2, 1); }));
  stage.loop.call([&] { EXPECT_EQ(stage.database->ask("SELECT n FROM counter"), 1); });
}

TEST(Journal, takes_an_older_version_along_and_refuses_a_newer) {
  const std::string file =
      (fs::temp_directory_path() / ("robinhoist-old-" + std::to_string(::getpid()))).string();
  fs::remove(file);
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(file.c_str(), &db), SQLITE_OK);
  const char* first_version =
      "PRAGMA application_id=1919902313; PRAGMA user_version=1; CREATE TABLE entries (id INTEGER "
      "PRIMARY "
      "KEY, at_ms INTEGER "
      "NOT NULL, build INTEGER NOT NULL, step TEXT NOT NULL, what TEXT NOT NULL, direction TEXT "
      "NOT NULL, "
      "outcome TEXT NOT "
      "NULL, after INTEGER NOT NULL, token INTEGER NOT NULL, attempt INTEGER NOT NULL, digest TEXT "
      "NOT "
      "NULL); CREATE TABLE "
      "plans (build INTEGER PRIMARY KEY, text TEXT NOT NULL, at_ms INTEGER NOT NULL); CREATE TABLE "
      "lease (id "
      "INTEGER PRIMARY "
      "KEY CHECK (id = 1), holder TEXT NOT NULL, token INTEGER NOT NULL, until_ms INTEGER NOT "
      "NULL); CREATE "
      "TABLE state (key "
      "TEXT PRIMARY KEY, value TEXT NOT NULL); INSERT INTO entries VALUES (1, 5, 2, 'a', 'intent', "
      "'apply', "
      "'', 0, 1, 1, 'd')";
  ASSERT_EQ(sqlite3_exec(db, first_version, nullptr, nullptr, nullptr), SQLITE_OK)
      << sqlite3_errmsg(db);
  {
    journal::Journal journal(file);
    ASSERT_EQ(journal.entries(2).size(), 1u);
    EXPECT_EQ(journal.entries(2)[0].step, "a");
    EXPECT_EQ(journal.entries(2)[0].who, "");
  }
  ASSERT_EQ(sqlite3_exec(db, "PRAGMA user_version=9", nullptr, nullptr, nullptr), SQLITE_OK);
  sqlite3_close(db);
  try {
    journal::Journal journal(file);
    ADD_FAILURE() << "a newer version was taken";
  } catch (const journal::JournalError& bad) {
    EXPECT_NE(std::string(bad.what()).find("of version 9, newer than"), std::string::npos)
        << bad.what();
  }
  fs::remove(file);
}

TEST(Journal, full_it_says_so_and_keeps_what_it_has) {
  const std::string file =
      (fs::temp_directory_path() / ("robinhoist-full-" + std::to_string(::getpid()))).string();
  fs::remove(file);
  journal::Journal journal(file);
  journal.limit_growth(2);
  journal::Entry entry;
  entry.build = 2;
  entry.why = std::string(3000, 'x');
  std::size_t written = 0;
  try {
    for (;; ++written)
      journal.append(entry);
  } catch (const journal::JournalError& bad) {
    EXPECT_NE(std::string(bad.what()).find("full"), std::string::npos) << bad.what();
  }
  EXPECT_EQ(journal.entries(2).size(), written);
  fs::remove(file);
}

}  // namespace
}  // namespace robinhoist::migration
