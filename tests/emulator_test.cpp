// Tests of the emulator: task order in the engine, results of queueing theory on the machine model,
// reproducible runs and extreme scenarios. Also tests of the lab.
#include <boost/random/exponential_distribution.hpp>
#include <cmath>

#include "audit/audit.h"
#include "emulator/run.h"
#include "lab/experiment_runner.h"
#include "scripted_test.h"

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

TEST(Engine, runs_tasks_in_order_of_time_and_scheduling) {
  Engine engine;
  std::vector<int> order;
  engine.at(TimePoint(20us), [&] { order.push_back(3); });
  engine.at(TimePoint(10us), [&] {
    order.push_back(1);
    engine.in(0us, [&] { order.push_back(2); });
    engine.at(TimePoint(5us), [&] { order.push_back(22); });  // in the past: runs now
  });
  engine.at(TimePoint(20us), [&] { order.push_back(4); });
  Engine::TaskId cancelled = engine.at(TimePoint(15us), [&] { order.push_back(99); });
  engine.cancel(cancelled);
  engine.cancel(cancelled);
  Engine::TaskId running{};
  running = engine.at(TimePoint(30us), [&] {
    engine.cancel(running);  // while it runs
    order.push_back(5);
  });
  Engine::TaskId old = running;
  engine.run(TimePoint(40us));
  engine.at(TimePoint(50us), [&] { order.push_back(6); });
  engine.cancel(old);  // its slot holds another task by now
  engine.run(TimePoint(60us));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 22, 3, 4, 5, 6}));
  EXPECT_EQ(engine.now(), TimePoint(60us));
  EXPECT_EQ(engine.pending_tasks(), 0u);
}

struct QueueMeans {
  double latency_ms = 0, in_system = 0;
};

// Simulates `count` requests with Poisson arrivals and exponential work of 10 ms at one machine.
// The first tenth is not counted.
QueueMeans simulate_queue(int cores, int slots, double rate, int count) {
  Engine engine;
  machine::Capacity capacity{.cores = cores, .slots = slots, .queue_capacity = 1000000};
  machine::Machine server(capacity, machine::Build{.number = 1}, 1, long_ago, nullptr);
  std::minstd_rand random(7);
  boost::random::exponential_distribution<double> interval(rate), work(100);
  std::unordered_map<std::int64_t, TimePoint> arrived_at;
  double sum = 0, area = 0;
  long done = 0, next = 0, in_system = 0;
  TimePoint last{}, counted_from{};
  Engine::TaskId timer{};
  const auto change_in_system = [&](long by) {
    if (next > count / 10)
      area += static_cast<double>(in_system) * static_cast<double>((engine.now() - last).count());
    else
      counted_from = engine.now();
    last = engine.now();
    in_system += by;
  };
  std::function<void()> finish, schedule_completion = [&] {
    engine.cancel(timer);
    if (auto at = server.next_completion_at())
      timer = engine.at(*at, [&] { finish(); });
  };
  finish = [&] {
    while (auto completed = server.next_completed(engine.now())) {
      change_in_system(-1);
      if (completed->id > count / 10) {
        sum += static_cast<double>((engine.now() - arrived_at[completed->id]).count());
        ++done;
      }
      arrived_at.erase(completed->id);
    }
    schedule_completion();
  };
  std::function<void()> arrive = [&] {
    machine::Work request{.id = ++next,
                          .work = Duration(static_cast<std::int64_t>(work(random) * 1e6))};
    arrived_at[request.id] = engine.now();
    server.arrive(request, engine.now());
    change_in_system(1);
    schedule_completion();
    if (next < count)
      engine.in(Duration(static_cast<std::int64_t>(interval(random) * 1e6)), [&] { arrive(); });
  };
  arrive();
  engine.run(TimePoint(std::chrono::hours(10)));
  const double span = static_cast<double>((last - counted_from).count());
  return {sum / static_cast<double>(done) / 1e3, area / span};
}

// Compares with the theoretical means of M/M/1, M/M/2 and processor sharing, and checks Little's
// law. With 300,000 requests the error of the mean stays well below the tolerance of 4% (observed:
// under 1%).
TEST(QueueingTheory, means_of_one_server_two_servers_and_processor_sharing) {
  const int count = 300000;
  const auto expect_near = [](double actual, double expected) {
    EXPECT_NEAR(actual, expected, 0.04 * expected);
  };
  const QueueMeans one = simulate_queue(1, 1, 70, count);
  expect_near(one.latency_ms, 1000.0 / (100 - 70));
  expect_near(one.in_system, 70 * one.latency_ms / 1e3);
  const QueueMeans two = simulate_queue(2, 2, 140, count);
  const double erlang_c = 0.5764706;  // two servers at a utilization of 0.7
  expect_near(two.latency_ms, 10 + 1000 * erlang_c / (200 - 140));
  expect_near(two.in_system, 140 * two.latency_ms / 1e3);
  const QueueMeans shared = simulate_queue(1, 100000, 70, count);
  expect_near(shared.latency_ms, 1000.0 / (100 - 70));
}

day::Scenario short_scenario(const std::string& old_text = "", const std::string& new_text = "") {
  std::ifstream in(ROOT "/days/short.day");
  std::stringstream text;
  text << in.rdbuf();
  std::string day = text.str();
  if (!old_text.empty()) {
    const std::size_t at = day.find(old_text);
    EXPECT_NE(at, std::string::npos) << old_text;
    day.replace(at, old_text.size(), new_text);
  }
  return day::read(settings::SexpReader::from_text(day, "short.day"));
}

std::string content(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string folder(const char* name) {
  return (fs::temp_directory_path() / ("robinhoist-emulated-" + std::to_string(::getpid()) + name))
      .string();
}

TEST(Run, is_reproducible_bit_for_bit) {
  const day::Scenario day = short_scenario();
  const Summary a = run(day, 3, folder("a")), b = run(day, 3, folder("b")),
                other = run(day, 4, folder("c"));
  for (const char* file : {"nodes.jsonl", "clients.jsonl", "told.jsonl", "umpires.jsonl"}) {
    EXPECT_EQ(content(folder("a") + "/" + file), content(folder("b") + "/" + file)) << file;
    EXPECT_FALSE(content(folder("a") + "/" + file).empty()) << file;
  }
  EXPECT_NE(content(folder("a") + "/clients.jsonl"), content(folder("c") + "/clients.jsonl"));
  EXPECT_EQ(a.events, b.events);
  EXPECT_NE(a.events, other.events);
  // Writing no event log does not change the run.
  EXPECT_EQ(run(day, 3, "").events, a.events);
  audit::Report report = audit::audit(folder("a"));
  EXPECT_TRUE(report.passed()) << audit::to_text(report);
  for (const char* name : {"a", "b", "c"})
    fs::remove_all(folder(name));
}

// As on sockets, the good release is completed and the bad one is rolled back.
TEST(Run, rolls_back_the_bad_release_and_completes_the_good_one) {
  for (long seed : {1, 2, 3}) {
    std::map<int, std::string> last;
    for (const auto& change : run(short_scenario(), seed, "").release_changes)
      last[change.build] = change.phase;
    EXPECT_EQ(last[2], "released") << seed;
    EXPECT_EQ(last[3], "withdrawn") << seed;
  }
}

// With a baseline that never votes the bad release is completed too; with one that always votes
// both releases are rolled back.
TEST(Run, runs_baseline_policies) {
  const auto final_phases = [](const char* policy) {
    std::map<int, std::string> last;
    for (const auto& change :
         run(short_scenario(), 1, "", {}, *parse_policy(policy)).release_changes)
      last[change.build] = change.phase;
    return last[2] + " " + last[3];
  };
  EXPECT_EQ(final_phases("least-requests/never"), "released released");
  EXPECT_EQ(final_phases("random/always"), "withdrawn withdrawn");
  EXPECT_EQ(final_phases("round-robin"), "released withdrawn");
  EXPECT_FALSE(parse_policy("module/never"));
  EXPECT_FALSE(parse_policy("best"));
}

TEST(Run, handles_extreme_scenarios) {
  // Hardly any traffic; a single proxy; far more proxies than requests in flight; a single
  // overloaded server.
  EXPECT_LT(run(short_scenario("(rate 150)", "(rate 0.1)"), 1, "").requested, 20);
  EXPECT_GT(run(short_scenario("(umpires 2)", "(umpires 1)"), 1, "").succeeded, 1000);
  const Summary many = run(short_scenario("(umpires 2)", "(umpires 200)"), 1, "");
  EXPECT_GT(many.succeeded, many.requested * 9 / 10);
  const Summary crowded = run(short_scenario("(places 8)", "(places 1)"), 1, "");
  EXPECT_EQ(crowded.client_attempts, crowded.succeeded + crowded.rejected + crowded.failed +
                                         crowded.unreached + crowded.connection_lost +
                                         crowded.client_disconnected + crowded.timed_out);
  EXPECT_GT(crowded.rejected + crowded.failed, 100);
  // Without network delay, tasks of the same microsecond run in the order in which they were
  // scheduled.
  NetworkSettings no_delay;
  no_delay.delay = 0us;
  EXPECT_GT(run(short_scenario(), 1, "", no_delay).succeeded, 1000);
}

TEST(Lab, compares_paired_samples) {
  using lab::Verdict;
  const std::vector<double> a{10, 12, 9, 11, 13, 10}, more{12, 13.8, 11.1, 13, 15.2, 11.9},
      noise{11, 11, 11, 9, 14, 10};
  EXPECT_EQ(lab::compare(a, more, true).verdict, Verdict::better);
  EXPECT_EQ(lab::compare(a, more, false).verdict, Verdict::worse);
  EXPECT_EQ(lab::compare(more, a, true).verdict, Verdict::worse);
  const lab::PairedComparison undecided = lab::compare(a, noise, true);
  EXPECT_EQ(undecided.verdict, Verdict::undecided);
  ASSERT_TRUE(undecided.additional_pairs);
  EXPECT_GT(*undecided.additional_pairs, 10);
  EXPECT_EQ(lab::compare(a, a, true).verdict, Verdict::undecided);
  EXPECT_FALSE(lab::compare({1}, {2}, true).additional_pairs);
  // Student's t for five degrees of freedom is 2.5706.
  const lab::Mean mean = lab::mean_of(a);
  EXPECT_NEAR(mean.half_width, 2.5706 * mean.standard_deviation / std::sqrt(6), 1e-4);
}

// An interrupted experiment resumes where it stopped and gives the same results as one without
// interruption; results of a different experiment are rejected.
TEST(Lab, resumes_an_interrupted_experiment) {
  const std::string at = folder("lab");
  fs::create_directories(at);
  const auto write_experiment = [&](int repetitions, const char* values) {
    std::ofstream(at + "/e.exp") << "(experiment (name e) (day \"" ROOT
                                    "/days/agreement/quiet.day\") (repetitions "
                                 << repetitions << ") (vary rate (at \"day.load.rate\") (values "
                                 << values << ")))";
    return lab::read(at + "/e.exp");
  };
  const lab::Experiment half = write_experiment(1, "50 100"), whole = write_experiment(3, "50 100");
  {
    lab::Results results(at + "/r.sqlite", half);
    EXPECT_EQ(lab::run(half, results, 2, {}), 2);
  }
  lab::Results results(at + "/r.sqlite", whole), fresh(at + "/f.sqlite", whole);
  EXPECT_EQ(lab::run(whole, results, 2, {}), 4);
  EXPECT_EQ(lab::run(whole, results, 2, {}), 0);
  EXPECT_EQ(lab::run(whole, fresh, 4, {}), 6);
  EXPECT_EQ(lab::table(whole, results), lab::table(whole, fresh));
  EXPECT_EQ(results.runs_of(1).size(), 3u);
  EXPECT_THROW(lab::Results(at + "/r.sqlite", write_experiment(3, "50 120")), std::runtime_error);
  EXPECT_THROW(write_experiment(3, "50 fast"), settings::ValidationError);
  fs::remove_all(at);
}

TEST(Lab, draws_each_stratum_of_a_latin_square_once) {
  const std::string at = folder("latin");
  fs::create_directories(at);
  std::ofstream(at + "/e.exp")
      << "(experiment (name e) (day \"" ROOT
         "/days/agreement/quiet.day\") (draw (latin 10)) (vary rate (at \"day.load.rate\") "
         "(from 100 200)) (vary umpires (at \"deployment.umpires\") (values 1 2)))";
  const lab::Experiment experiment = lab::read(at + "/e.exp");
  std::set<int> strata;
  int ones = 0;
  for (const lab::Cell& cell : experiment.cells) {
    strata.insert(static_cast<int>((std::stod(cell.values[0]) - 100) / 10));
    ones += cell.values[1] == "1";
    EXPECT_EQ(std::to_string(cell.scenario.deployment.proxies), cell.values[1]);
  }
  EXPECT_EQ(strata.size(), 10u);
  EXPECT_EQ(ones, 5);
  fs::remove_all(at);
}

TEST(Run, rejects_a_scenario_with_a_database) {
  const day::Scenario day = day::read(settings::SexpReader::from_file(ROOT "/days/steps.day"));
  EXPECT_NE(unsupported_reason(day), "");
  EXPECT_THROW(run(day, 1, ""), std::runtime_error);
}

}  // namespace
}  // namespace robinhoist::emulator
