// The emulator: order and ties of its engine, known laws of queues on the machine model, days that
// repeat to the bit, and days at the edge.
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

TEST(Engine, runs_in_time_and_ties_as_planned) {
  Engine engine;
  std::vector<int> order;
  engine.at(TimePoint(20us), [&] { order.push_back(3); });
  engine.at(TimePoint(10us), [&] {
    order.push_back(1);
    engine.in(0us, [&] { order.push_back(2); });
    engine.at(TimePoint(5us), [&] { order.push_back(22); });  // has passed: now
  });
  engine.at(TimePoint(20us), [&] { order.push_back(4); });
  Engine::TaskId dropped = engine.at(TimePoint(15us), [&] { order.push_back(99); });
  engine.cancel(dropped);
  engine.cancel(dropped);
  Engine::TaskId itself{};
  itself = engine.at(TimePoint(30us), [&] {
    engine.cancel(itself);  // while it runs
    order.push_back(5);
  });
  Engine::TaskId old = itself;
  engine.run(TimePoint(40us));
  engine.at(TimePoint(50us), [&] { order.push_back(6); });
  engine.cancel(old);  // its place belongs to another by now
  engine.run(TimePoint(60us));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 22, 3, 4, 5, 6}));
  EXPECT_EQ(engine.now(), TimePoint(60us));
  EXPECT_EQ(engine.pending_tasks(), 0u);
}

struct Queue {
  double took_ms = 0, in_system = 0;  // means
};

// Poisson arrivals and exponential work of 10 ms at one machine; `count` txns after a warm-up of a
// tenth.
Queue queue(int cores, int slots, double rate, int count) {
  Engine engine;
  machine::Capacity capacity{.cores = cores, .slots = slots, .queue_capacity = 1000000};
  machine::Machine server(capacity, machine::Build{.number = 1}, 1, long_ago, nullptr);
  std::minstd_rand chance(7);
  boost::random::exponential_distribution<double> gap(rate), work(100);
  std::unordered_map<std::int64_t, TimePoint> began;
  double sum = 0, area = 0;
  long done = 0, next = 0, held = 0;
  TimePoint last{}, counted_from{};
  Engine::TaskId timer{};
  const auto moved = [&](long by) {
    if (next > count / 10)
      area += static_cast<double>(held) * static_cast<double>((engine.now() - last).count());
    else
      counted_from = engine.now();
    last = engine.now();
    held += by;
  };
  std::function<void()> finish, plan = [&] {
    engine.cancel(timer);
    if (auto at = server.next_completion_at())
      timer = engine.at(*at, [&] { finish(); });
  };
  finish = [&] {
    while (auto one = server.next_completed(engine.now())) {
      moved(-1);
      if (one->id > count / 10) {
        sum += static_cast<double>((engine.now() - began[one->id]).count());
        ++done;
      }
      began.erase(one->id);
    }
    plan();
  };
  std::function<void()> arrive = [&] {
    machine::Work one{.id = ++next,
                      .work = Duration(static_cast<std::int64_t>(work(chance) * 1e6))};
    began[one.id] = engine.now();
    server.arrive(one, engine.now());
    moved(1);
    plan();
    if (next < count)
      engine.in(Duration(static_cast<std::int64_t>(gap(chance) * 1e6)), [&] { arrive(); });
  };
  arrive();
  engine.run(TimePoint(std::chrono::hours(10)));
  const double span = static_cast<double>((last - counted_from).count());
  return {sum / static_cast<double>(done) / 1e3, area / span};
}

// Means of the literature, and Little's law between the two figures of one run. 300,000 txns keep
// the mean's error well below the margin of 4% (seen: under 1%).
TEST(Laws, one_server_many_servers_and_sharing) {
  const int count = 300000;
  const auto near = [](double is, double wanted) { EXPECT_NEAR(is, wanted, 0.04 * wanted); };
  const Queue one = queue(1, 1, 70, count);
  near(one.took_ms, 1000.0 / (100 - 70));
  near(one.in_system, 70 * one.took_ms / 1e3);
  const Queue two = queue(2, 2, 140, count);
  const double erlang_c = 0.5764706;  // two servers, 0.7 each
  near(two.took_ms, 10 + 1000 * erlang_c / (200 - 140));
  near(two.in_system, 140 * two.took_ms / 1e3);
  const Queue shared = queue(1, 100000, 70, count);
  near(shared.took_ms, 1000.0 / (100 - 70));
}

day::Scenario day_of(const std::string& changed_from = "", const std::string& changed_to = "") {
  std::ifstream in(ROOT "/days/short.day");
  std::stringstream text;
  text << in.rdbuf();
  std::string day = text.str();
  if (!changed_from.empty()) {
    const std::size_t at = day.find(changed_from);
    EXPECT_NE(at, std::string::npos) << changed_from;
    day.replace(at, changed_from.size(), changed_to);
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

TEST(Run, is_the_same_to_the_bit_by_its_seed) {
  const day::Scenario day = day_of();
  const Summary a = run(day, 3, folder("a")), b = run(day, 3, folder("b")),
                other = run(day, 4, folder("c"));
  for (const char* file : {"nodes.jsonl", "clients.jsonl", "told.jsonl", "umpires.jsonl"}) {
    EXPECT_EQ(content(folder("a") + "/" + file), content(folder("b") + "/" + file)) << file;
    EXPECT_FALSE(content(folder("a") + "/" + file).empty()) << file;
  }
  EXPECT_NE(content(folder("a") + "/clients.jsonl"), content(folder("c") + "/clients.jsonl"));
  EXPECT_EQ(a.events, b.events);
  EXPECT_NE(a.events, other.events);
  // Without a record it is the same run.
  EXPECT_EQ(run(day, 3, "").events, a.events);
  audit::Report report = audit::audit(folder("a"));
  EXPECT_TRUE(report.passed()) << audit::to_text(report);
  for (const char* name : {"a", "b", "c"})
    fs::remove_all(folder(name));
}

// Verdicts come as on sockets: the good release goes out, the bad one goes back.
TEST(Run, sends_the_bad_release_back_and_the_good_one_out) {
  for (long seed : {1, 2, 3}) {
    std::map<int, std::string> last;
    for (const auto& verdict : run(day_of(), seed, "").release_changes)
      last[verdict.build] = verdict.phase;
    EXPECT_EQ(last[2], "released") << seed;
    EXPECT_EQ(last[3], "withdrawn") << seed;
  }
}

// Baselines do as their names say: what never votes lets the bad release out, what always votes
// lets none.
TEST(Run, plays_baselines_beside_the_module) {
  const auto ends = [](const char* policy) {
    std::map<int, std::string> last;
    for (const auto& verdict : run(day_of(), 1, "", {}, *parse_policy(policy)).release_changes)
      last[verdict.build] = verdict.phase;
    return last[2] + " " + last[3];
  };
  EXPECT_EQ(ends("least-requests/never"), "released released");
  EXPECT_EQ(ends("random/always"), "withdrawn withdrawn");
  EXPECT_EQ(ends("round-robin"), "released withdrawn");
  EXPECT_FALSE(parse_policy("module/never"));
  EXPECT_FALSE(parse_policy("best"));
}

TEST(Run, bears_days_at_the_edge) {
  // Hardly any traffic; one umpire; far more umpires than txns; one node for all; work of no
  // length.
  EXPECT_LT(run(day_of("(rate 150)", "(rate 0.1)"), 1, "").requested, 20);
  EXPECT_GT(run(day_of("(umpires 2)", "(umpires 1)"), 1, "").succeeded, 1000);
  const Summary many = run(day_of("(umpires 2)", "(umpires 200)"), 1, "");
  EXPECT_GT(many.succeeded, many.requested * 9 / 10);
  const Summary crowded = run(day_of("(places 8)", "(places 1)"), 1, "");
  EXPECT_EQ(crowded.client_attempts, crowded.succeeded + crowded.rejected + crowded.failed +
                                         crowded.unreached + crowded.connection_lost +
                                         crowded.client_disconnected + crowded.timed_out);
  EXPECT_GT(crowded.rejected + crowded.failed, 100);
  // No delay at all: everything happens in the same microsecond, in the order in which it was
  // planned.
  NetworkSettings none;
  none.delay = 0us;
  EXPECT_GT(run(day_of(), 1, "", none).succeeded, 1000);
}

TEST(Lab, tells_better_from_worse_and_says_when_it_cannot) {
  using lab::Verdict;
  const std::vector<double> a{10, 12, 9, 11, 13, 10}, more{12, 13.8, 11.1, 13, 15.2, 11.9},
      noise{11, 11, 11, 9, 14, 10};
  EXPECT_EQ(lab::compare(a, more, true).verdict, Verdict::better);
  EXPECT_EQ(lab::compare(a, more, false).verdict, Verdict::worse);
  EXPECT_EQ(lab::compare(more, a, true).verdict, Verdict::worse);
  const lab::PairedComparison unsure = lab::compare(a, noise, true);
  EXPECT_EQ(unsure.verdict, Verdict::undecided);
  ASSERT_TRUE(unsure.additional_pairs);
  EXPECT_GT(*unsure.additional_pairs, 10);
  EXPECT_EQ(lab::compare(a, a, true).verdict, Verdict::undecided);
  EXPECT_FALSE(lab::compare({1}, {2}, true).additional_pairs);
  // Student's t for five degrees of freedom is 2.5706.
  const lab::Mean mean = lab::mean_of(a);
  EXPECT_NEAR(mean.half_width, 2.5706 * mean.standard_deviation / std::sqrt(6), 1e-4);
}

// One that was stopped goes on where it was, and gives what an undisturbed one gives; another
// experiment's results are not mixed in.
TEST(Lab, goes_on_after_a_stop) {
  const std::string at = folder("lab");
  fs::create_directories(at);
  const auto written = [&](int repetitions, const char* values) {
    std::ofstream(at + "/e.exp") << "(experiment (name e) (day \"" ROOT
                                    "/days/agreement/quiet.day\") (repetitions "
                                 << repetitions << ") (vary rate (at \"day.load.rate\") (values "
                                 << values << ")))";
    return lab::read(at + "/e.exp");
  };
  const lab::Experiment half = written(1, "50 100"), whole = written(3, "50 100");
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
  EXPECT_THROW(lab::Results(at + "/r.sqlite", written(3, "50 120")), std::runtime_error);
  EXPECT_THROW(written(3, "50 fast"), settings::ValidationError);
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

TEST(Run, refuses_a_day_with_a_database) {
  const day::Scenario day = day::read(settings::SexpReader::from_file(ROOT "/days/steps.day"));
  EXPECT_NE(unsupported_reason(day), "");
  EXPECT_THROW(run(day, 1, ""), std::runtime_error);
}

}  // namespace
}  // namespace robinhoist::emulator
