// The program as a user meets it: settings checked, files saved whole, a process killed, starved
// and stopped, and a short day played; and plays of the machine model (tests/machine/README.md).
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <map>
#include <random>
#include <thread>

#include "child_process.h"
#include "endpoint_cache/endpoint_cache.h"
#include "load/load.h"
#include "machine/machine.h"
#include "scripted_test.h"
#include "settings/sexp_reader.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;
using tests::free_port;
using tests::Words;

std::string temp(const std::string& name) {
  const fs::path folder =
      fs::temp_directory_path() / ("robinhoist-program-" + std::to_string(::getpid()));
  fs::create_directories(folder);
  return (folder / name).string();
}

// Runs a command of the program; its output and exit status.
std::pair<std::string, int> run(const std::string& words) {
  std::FILE* pipe = ::popen((std::string(PROGRAM) + " " + words + " 2>&1").c_str(), "r");
  std::string out;
  char buffer[4096];
  while (std::size_t got = std::fread(buffer, 1, sizeof buffer, pipe))
    out.append(buffer, got);
  const int status = ::pclose(pipe);
  return {out, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

// Settings: tests/settings/*.conf say on their first line what must come of them: `; good`, or `;
// bad N` and then lines `; LINE: words` that must all be told, N being how many problems there are.
class SettingsFile : public testing::TestWithParam<std::string> {};

TEST_P(SettingsFile, is_judged_as_it_says) {
  std::ifstream in(GetParam());
  std::string line, kind;
  std::getline(in, kind);
  auto [out, status] = run("check " + GetParam());
  if (kind == "; good") {
    EXPECT_EQ(status, 0) << out;
    return;
  }
  EXPECT_EQ(status, 2) << out;
  EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), std::stoi(kind.substr(6))) << out;
  while (std::getline(in, line) && line.rfind("; ", 0) == 0) {
    const std::size_t colon = line.find(':');
    const std::string wanted = GetParam() + ":" + line.substr(2, colon - 2) + ": ";
    const std::size_t at = out.find(wanted);
    ASSERT_NE(at, std::string::npos) << wanted << "\n" << out;
    EXPECT_NE(out.find(line.substr(colon + 2)), std::string::npos) << line << "\n" << out;
  }
}

INSTANTIATE_TEST_SUITE_P(All, SettingsFile,
                         testing::ValuesIn(tests::files_in(TESTS "/settings", ".conf")),
                         tests::script_name);

TEST(Saved, is_whole_or_not_there) {
  const std::string file = temp("list");
  EXPECT_EQ(endpoint_cache::read(file), std::nullopt);
  const std::string content = "{\"nodes\": [1, 2, 3]}\n";
  ASSERT_NO_THROW(endpoint_cache::write(file, content));
  EXPECT_EQ(endpoint_cache::read(file), content);
  std::ifstream in(file, std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(in)), {});
  for (std::size_t length = 0; length < whole.size(); ++length) {
    std::ofstream(file, std::ios::binary) << whole.substr(0, length);
    EXPECT_THROW(endpoint_cache::read(file), endpoint_cache::CacheError) << length;
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string other = whole;
    other[at] = static_cast<char>(other[at] ^ 4);
    std::ofstream(file, std::ios::binary) << other;
    try {
      EXPECT_EQ(endpoint_cache::read(file), content) << at;
    } catch (const endpoint_cache::CacheError& error) {
      EXPECT_STRNE(error.what(), "") << at;
    }
  }
  EXPECT_THROW(endpoint_cache::write("/nowhere/at/all", "x"), endpoint_cache::CacheError);
}

// What was `robinhoist umpire` goes on under that name.
TEST(CommandLine, proxy_has_its_former_name_as_an_alias) {
  const auto [help, status] = run("proxy --help");
  EXPECT_EQ(status, 0) << help;
  EXPECT_NE(help.find("--config"), std::string::npos) << help;
  EXPECT_EQ(run("umpire --help").second, 0);
  EXPECT_EQ(run("proxy --config /nowhere"), run("umpire --config /nowhere"));
}

struct Child : tests::ChildProcess {
  Child(const Words& words, rlim_t files = 0)
      : tests::ChildProcess(words, temp("child.log"), files) {}
};

int connect_to(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
    return fd;
  ::close(fd);
  return -1;
}

// One request on a connection of its own; the answer as far as it came within the time, empty when
// none did.
std::string ask(int port, const std::string& request, int within_ms = 2000) {
  int fd = connect_to(port);
  if (fd < 0)
    return "";
  [[maybe_unused]] ssize_t put = ::write(fd, request.data(), request.size());
  std::string got;
  char buffer[4096];
  pollfd ready{fd, POLLIN, 0};
  while (::poll(&ready, 1, within_ms) > 0) {
    const ssize_t some = ::read(fd, buffer, sizeof buffer);
    if (some <= 0)
      break;
    got.append(buffer, static_cast<std::size_t>(some));
  }
  ::close(fd);
  return got;
}

std::string get(int port, const std::string& path) {
  return ask(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

// List, controller, stand-ins and an umpire as four processes.
struct Fleet {
  int list = free_port(), releases = free_port(), front = free_port(), admin = free_port();
  std::map<std::string, std::unique_ptr<Child>> children{};
  Fleet() {
    const std::string booking = "(include \"" ROOT "/deploy/example/booking.conf\")\n";
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream(temp("list.conf")) << "(list (listen " << at(list) << "))";
    std::ofstream(temp("controller.conf"))
        << booking << "(controller (listen " << at(releases) << ") (places 3) (build 1))";
    std::ofstream(temp("standin.conf"))
        << booking << "(standin (list " << at(list) << ") (orders-from " << at(releases)
        << ") (nodes 3) (work 5ms) (build 1) (build 2))";
    std::ofstream(temp("umpire.conf"))
        << booking << "(umpire (name u0) (listen " << at(front) << ") (admin " << at(admin)
        << ") (list-from " << at(list) << ") (releases-from " << at(releases) << ") (saved-list \""
        << temp("u0.nodes") << "\") (idle-for 1s))";
    for (const char* one : {"list", "controller", "standin"})
      start(one);
  }
  void start(const std::string& what, rlim_t files = 0) {
    children[what] = std::make_unique<Child>(Words{what, "--config", temp(what + ".conf")}, files);
  }
  bool settles(int tries = 400) {
    for (int i = 0; i < tries; ++i, std::this_thread::sleep_for(10ms))
      if (get(front, "/slots/1").find("Robinhoist-Outcome: settled") != std::string::npos)
        return true;
    return false;
  }
};

TEST(Process, killed_it_comes_back_with_the_saved_list_alone) {
  Fleet fleet;
  fleet.start("umpire");
  ASSERT_TRUE(fleet.settles());
  // Its list is saved in the background.
  for (int i = 0; i < 200 && !endpoint_cache::read(temp("u0.nodes")); ++i)
    std::this_thread::sleep_for(10ms);
  fleet.children["umpire"]->end(SIGKILL);
  fleet.children["list"]->end(SIGKILL);
  fleet.children["controller"]->end(SIGKILL);
  fleet.start("umpire");
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.children["umpire"]->end(SIGTERM), 0);
}

TEST(Process, out_of_file_descriptors_it_goes_on) {
  Fleet fleet;
  fleet.start("umpire", 40);
  ASSERT_TRUE(fleet.settles());
  std::vector<int> held;
  for (int i = 0; i < 100; ++i)
    held.push_back(connect_to(fleet.front));
  std::this_thread::sleep_for(200ms);
  for (int fd : held)
    ::close(fd);
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.children["umpire"]->end(SIGTERM), 0);
}

TEST(Process, a_port_that_is_taken_is_one_clear_error) {
  Fleet fleet;
  fleet.start("umpire");
  ASSERT_TRUE(fleet.settles());
  auto [out, status] = run("umpire --config " + temp("umpire.conf"));
  EXPECT_EQ(status, 2);
  EXPECT_NE(out.find("can't listen on 127.0.0.1:" + std::to_string(fleet.admin)), std::string::npos)
      << out;
}

std::string post(int port, const std::string& path, const std::string& body) {
  return ask(port,
             "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n\r\n" + body);
}

// A controller killed at drawn moments while steps run: nothing is skipped, run twice or out of
// order. More kills by the environment's ROBINHOIST_KILLS.
TEST(Process, a_controller_killed_again_and_again_runs_each_step_once) {
  const int db = free_port(), port = free_port();
  const std::string at = "127.0.0.1:" + std::to_string(db);
  for (const char* old : {"k.journal", "k.journal-wal", "k.journal-shm"})
    fs::remove(temp(old));
  Child database(
      {"standin-db", "--listen", at, "--setup",
       "CREATE TABLE counter (n INTEGER, seen TEXT); INSERT INTO counter VALUES (0, ''); CREATE "
       "TABLE visits (id "
       "INTEGER PRIMARY KEY, n INTEGER); WITH RECURSIVE c(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
       "FROM c WHERE "
       "i < 4000) INSERT INTO visits SELECT i, 0 FROM c"});
  std::ofstream(temp("k.conf")) << "(include \"" ROOT
                                   "/deploy/example/booking.conf\")\n(controller (listen 127.0.0.1:"
                                << port << ") (places 1) (build 1) (journal \"" << temp("k.journal")
                                << "\") (steps (target " << at << ") (lease 1s)))";
  std::string plan = "(plan (release 2)";
  for (const std::string step : {"a", "b", "c"})
    plan += "(step " + step +
            " (kind schema) (phase expand) (on-back keep) (retry (tries 100) (pause 1ms)) (apply "
            "\"UPDATE counter SET n = n + 1, seen = seen || '" +
            step + "'\"))";
  plan +=
      "(step fill (kind data) (phase migrate) (before-wave 1) (table visits) (key id) (batch 10) "
      "(on-back "
      "keep)"
      " (retry (tries 100) (pause 1ms)) (apply \"UPDATE visits SET n = n + 1 WHERE id > :after AND "
      "id <= "
      ":upto\")))";
  auto started = [&] {
    auto child = std::make_unique<Child>(Words{"controller", "--config", temp("k.conf")});
    for (int i = 0; i < 300 && get(port, "/health").empty(); ++i)
      std::this_thread::sleep_for(5ms);
    return child;
  };
  auto controller = started();
  ASSERT_NE(post(port, "/v1/plans", plan).find("200 OK"), std::string::npos);
  ASSERT_NE(post(port, "/v1/releases", "{\"spec\":{\"build\":2}}").find("201 Created"),
            std::string::npos);
  const char* wanted = std::getenv("ROBINHOIST_KILLS");
  std::minstd_rand chance(3);
  for (int kills = wanted ? std::atoi(wanted) : 20; kills > 0; --kills) {
    std::this_thread::sleep_for(std::chrono::microseconds(chance() % 40000));
    controller->end(SIGKILL);
    controller = started();
  }
  std::string status;
  for (int i = 0; i < 1500; ++i, std::this_thread::sleep_for(10ms)) {
    status = get(port, "/v1/steps");
    if (status.find(
            "\"id\":\"fill\",\"phase\":\"migrate\",\"before_wave\":1,\"state\":\"applied\"") !=
        std::string::npos)
      break;
  }
  const auto is = [&](const std::string& query, const std::string& value) {
    const std::string got = post(db, "/v1/query", "{\"statement\":\"" + query + "\"}");
    EXPECT_NE(got.find("\"value\":" + value), std::string::npos) << query << "\n"
                                                                 << got << "\n"
                                                                 << status;
  };
  is("SELECT n FROM counter", "3.0");
  is("SELECT seen = 'abc' FROM counter", "1.0");
  is("SELECT min(n) FROM visits", "1.0");
  is("SELECT max(n) FROM visits", "1.0");
}

TEST(Day, one_with_broken_watches_and_a_killed_controller_keeps_the_rules) {
  auto [out, status] =
      run("day " ROOT "/days/broken-watches.day --seed 1 --out " + temp("watches"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("exposure within the cap  kept"), std::string::npos) << out;
}

TEST(Day, one_with_steps_and_a_killed_controller_keeps_their_order) {
  auto [out, status] = run("day " ROOT "/days/steps.day --seed 2 --out " + temp("steps"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("steps in order kept"), std::string::npos) << out;
}

TEST(Day, a_short_one_keeps_the_five_rules) {
  auto [out, status] = run("day " ROOT "/days/short.day --seed 3 --out " + temp("day"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("released"), std::string::npos) << out;
}

// Plays of the machine model.
struct MachineStage {
  machine::Capacity capacity{.cores = 2, .slots = 4, .waiting_room = 2};
  machine::Build build{.number = 1};
  machine::Marks marks{200ms};
  std::unique_ptr<machine::Machine> machine{};
  TimePoint now{1s};
  std::map<std::string, double> counts{};
  std::int64_t next_id = 1;

  machine::Machine& it() {
    if (!machine)
      machine = std::make_unique<machine::Machine>(capacity, build, 7, now, &marks);
    return *machine;
  }

  void step(const Words& w) {
    const auto ms = [](const std::string& word) { return Duration(std::stol(word) * 1000); };
    if (w[0] == "cold") {
      capacity.cold_for = ms(w[1]);
      capacity.fall_window = 1s;
    } else if (w[0] == "bad") {
      const std::map<std::string, machine::Flaw> flaws{{"errors", machine::Flaw::errors},
                                                       {"slow", machine::Flaw::slow},
                                                       {"product", machine::Flaw::request_class},
                                                       {"load", machine::Flaw::load},
                                                       {"late", machine::Flaw::late},
                                                       {"wrong", machine::Flaw::wrong}};
      build.flaw = flaws.at(w[1]);
      build.strength = std::stod(w[2]);
      build.request_class = 1;
      build.failing = 1;
      build.busy = 0.4;
      build.after = 500ms;
    } else if (w[0] == "arrive") {
      for (int i = 0; i < std::stoi(w[1]); ++i) {
        machine::Work work{next_id++, std::stoi(w[2]), ms(w[3]), w.size() > 4 ? w[4] : "",
                           w.size() > 4};
        const machine::Entry entry = it().arrive(work, now);
        ++counts[entry == machine::Entry::taken  ? "taken"
                 : entry == machine::Entry::full ? "full"
                                                 : "down"];
      }
    } else if (w[0] == "run") {
      for (const TimePoint until = now + ms(w[1]); now < until; now += 1ms)
        while (auto done = it().next(now)) {
          ++counts[done->how == machine::Ran::well     ? "well"
                   : done->how == machine::Ran::failed ? "failed"
                   : done->how == machine::Ran::wrong  ? "wrong"
                                                       : "repeat"];
          counts["effects"] += done->effect;
        }
    } else if (w[0] == "slow") {
      it().slowed(std::stod(w[1]));
    } else if (w[0] == "expect") {
      EXPECT_TRUE(tests::compare(counts[w[1]], w[2], std::stod(w[3]))) << counts[w[1]];
    } else {
      throw std::runtime_error("no such step");
    }
  }
};

class MachinePlay : public testing::TestWithParam<std::string> {};

TEST_P(MachinePlay, goes_as_written) {
  MachineStage stage;
  tests::run_script(GetParam(), [&](const Words& words) { stage.step(words); });
}

INSTANTIATE_TEST_SUITE_P(All, MachinePlay,
                         testing::ValuesIn(tests::files_in(TESTS "/machine", ".txt")),
                         tests::script_name);

// The same seed gives the same txns; what may not come again does not.
TEST(LoadReport, is_drawn_from_its_seed_and_repeats_what_it_may) {
  load::Settings settings;
  settings.length = 10s;
  settings.rate = 200;
  settings.retries = 2;
  load::RequestClass any, once;
  any.share = once.share = 0.5;
  any.work = once.work = 10ms;
  any.deadline = once.deadline = 1s;
  once.repeats = load::Repeats::only_rejected;
  settings.request_classes = {any, once};
  std::vector<std::string> drawn[2];
  for (auto& list : drawn) {
    load::Load load(settings, 11);
    std::map<int, int> most;
    for (TimePoint now{}; !load.over(); now += 1ms)
      while (auto one = load.next(now)) {
        list.push_back(std::to_string(one->id) + "/" + std::to_string(one->request_class) + "/" +
                       std::to_string(one->work.count()));
        most[one->request_class] = std::max(most[one->request_class], one->number);
        load.ended(one->id, load::End::failed, Duration{}, now);
      }
    EXPECT_EQ(most[0], 2);
    EXPECT_EQ(most[1], 0);
  }
  EXPECT_EQ(drawn[0], drawn[1]);
  EXPECT_GT(drawn[0].size(), 2500u);
}

}  // namespace
}  // namespace robinhoist
