/// The program from the outside: settings files, its processes when they are killed, stopped or out
/// of file descriptors, and short scenarios. Also the endpoint cache, scripts for the machine model
/// (tests/machine/README.md) and the load generator.
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

std::string temp_file(const std::string& name) {
  const fs::path folder =
      fs::temp_directory_path() / ("robinhoist-program-" + std::to_string(::getpid()));
  fs::create_directories(folder);
  return (folder / name).string();
}

// Runs a command of the program. Returns its output and exit status.
std::pair<std::string, int> run(const std::string& arguments) {
  std::FILE* pipe = ::popen((std::string(PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  std::string out;
  char buffer[4096];
  while (std::size_t got = std::fread(buffer, 1, sizeof buffer, pipe))
    out.append(buffer, got);
  const int status = ::pclose(pipe);
  return {out, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

// The first line of each file in tests/settings is `; good`, or `; bad N` for N problems. In the
// latter case lines `; LINE: text` follow, one for each problem that must be reported.
class SettingsFile : public testing::TestWithParam<std::string> {};

TEST_P(SettingsFile, IsAcceptedOrRejectedAsItsFirstLineSays) {
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
    const std::string location = GetParam() + ":" + line.substr(2, colon - 2) + ": ";
    const std::size_t at = out.find(location);
    ASSERT_NE(at, std::string::npos) << location << "\n" << out;
    EXPECT_NE(out.find(line.substr(colon + 2)), std::string::npos) << line << "\n" << out;
  }
}

INSTANTIATE_TEST_SUITE_P(All, SettingsFile,
                         testing::ValuesIn(tests::files_in(TESTS "/settings", ".conf")),
                         tests::script_name);

// Guards against a proxy that starts from a damaged cache file: no truncated file and no flipped
// bit may be read as other content.
TEST(EndpointCache, DetectsTruncationAndDamage) {
  const std::string file = temp_file("list");
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
    std::string damaged = whole;
    damaged[at] = static_cast<char>(damaged[at] ^ 4);
    std::ofstream(file, std::ios::binary) << damaged;
    try {
      EXPECT_EQ(endpoint_cache::read(file), content) << at;
    } catch (const endpoint_cache::CacheError& error) {
      EXPECT_STRNE(error.what(), "") << at;
    }
  }
  EXPECT_THROW(endpoint_cache::write("/nowhere/at/all", "x"), endpoint_cache::CacheError);
}

// `robinhoist proxy` was called `robinhoist umpire`; deployments may still start it so.
TEST(CommandLine, ProxyKeepsItsFormerNameAsAnAlias) {
  const auto [help, status] = run("proxy --help");
  EXPECT_EQ(status, 0) << help;
  EXPECT_NE(help.find("--config"), std::string::npos) << help;
  EXPECT_EQ(run("umpire --help").second, 0);
  EXPECT_EQ(run("proxy --config /nowhere"), run("umpire --config /nowhere"));
}

struct Child : tests::ChildProcess {
  Child(const Words& arguments, rlim_t max_files = 0)
      : tests::ChildProcess(arguments, temp_file("child.log"), max_files) {}
};

// Returns the descriptor of a connection, or -1 if it fails.
int connect_to(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    return fd;
  ::close(fd);
  return -1;
}

// Sends a request on a new connection. Returns what is received until the connection closes or
// nothing comes for `timeout_ms`; empty if there is no connection.
std::string send_request(int port, const std::string& request, int timeout_ms = 2000) {
  int fd = connect_to(port);
  if (fd < 0)
    return "";
  [[maybe_unused]] ssize_t written = ::write(fd, request.data(), request.size());
  std::string received;
  char buffer[4096];
  pollfd ready{fd, POLLIN, 0};
  while (::poll(&ready, 1, timeout_ms) > 0) {
    const ssize_t count = ::read(fd, buffer, sizeof buffer);
    if (count <= 0)
      break;
    received.append(buffer, static_cast<std::size_t>(count));
  }
  ::close(fd);
  return received;
}

std::string get(int port, const std::string& path) {
  return send_request(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

// A registry, a controller, stand-in servers and a proxy, as four processes. The proxy is started
// by the test.
struct Fleet {
  int registry_port = free_port(), controller_port = free_port(), proxy_port = free_port(),
      admin_port = free_port();
  std::map<std::string, std::unique_ptr<Child>> children{};
  Fleet() {
    const std::string booking = "(include \"" ROOT "/deploy/example/booking.conf\")\n";
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream(temp_file("list.conf")) << "(list (listen " << address(registry_port) << "))";
    std::ofstream(temp_file("controller.conf"))
        << booking << "(controller (listen " << address(controller_port)
        << ") (places 3) (build 1))";
    std::ofstream(temp_file("standin.conf"))
        << booking << "(standin (list " << address(registry_port) << ") (orders-from "
        << address(controller_port) << ") (nodes 3) (work 5ms) (build 1) (build 2))";
    std::ofstream(temp_file("umpire.conf"))
        << booking << "(umpire (name u0) (listen " << address(proxy_port) << ") (admin "
        << address(admin_port) << ") (list-from " << address(registry_port) << ") (releases-from "
        << address(controller_port) << ") (saved-list \"" << temp_file("u0.nodes")
        << "\") (idle-for 1s))";
    for (const char* command : {"list", "controller", "standin"})
      start(command);
  }
  void start(const std::string& command, rlim_t max_files = 0) {
    children[command] = std::make_unique<Child>(
        Words{command, "--config", temp_file(command + ".conf")}, max_files);
  }
  // Whether a request succeeds within about four seconds.
  bool serves_a_request(int attempts = 400) {
    for (int i = 0; i < attempts; ++i, std::this_thread::sleep_for(10ms))
      if (get(proxy_port, "/slots/1").find("Robinhoist-Outcome: settled") != std::string::npos)
        return true;
    return false;
  }
};

// Guards against a proxy that cannot route after a restart while registry and controller are down.
TEST(Process, RestartedProxyRoutesByItsEndpointCache) {
  Fleet fleet;
  fleet.start("umpire");
  ASSERT_TRUE(fleet.serves_a_request());
  // The cache is written in the background.
  for (int i = 0; i < 200 && !endpoint_cache::read(temp_file("u0.nodes")); ++i)
    std::this_thread::sleep_for(10ms);
  fleet.children["umpire"]->end(SIGKILL);
  fleet.children["list"]->end(SIGKILL);
  fleet.children["controller"]->end(SIGKILL);
  fleet.start("umpire");
  EXPECT_TRUE(fleet.serves_a_request());
  EXPECT_EQ(fleet.children["umpire"]->end(SIGTERM), 0);
}

// Guards against a proxy that stops accepting after more connections than it has file descriptors.
TEST(Process, ProxyRecoversFromRunningOutOfFileDescriptors) {
  Fleet fleet;
  fleet.start("umpire", 40);
  ASSERT_TRUE(fleet.serves_a_request());
  std::vector<int> held;
  for (int i = 0; i < 100; ++i)
    held.push_back(connect_to(fleet.proxy_port));
  std::this_thread::sleep_for(200ms);
  for (int fd : held)
    ::close(fd);
  EXPECT_TRUE(fleet.serves_a_request());
  EXPECT_EQ(fleet.children["umpire"]->end(SIGTERM), 0);
}

TEST(Process, PortInUseIsAnErrorThatNamesTheAddress) {
  Fleet fleet;
  fleet.start("umpire");
  ASSERT_TRUE(fleet.serves_a_request());
  auto [out, status] = run("umpire --config " + temp_file("umpire.conf"));
  EXPECT_EQ(status, 2);
  EXPECT_NE(out.find("can't listen on 127.0.0.1:" + std::to_string(fleet.admin_port)),
            std::string::npos)
      << out;
}

std::string post(int port, const std::string& path, const std::string& body) {
  return send_request(
      port, "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n\r\n" + body);
}

// Guards against migration steps that are skipped, run twice or run out of order, when the
// controller is killed at random moments while they run. The environment variable ROBINHOIST_KILLS
// sets the number of kills.
TEST(Process, RepeatedlyKilledControllerRunsEachStepOnce) {
  const int database_port = free_port(), port = free_port();
  const std::string database_address = "127.0.0.1:" + std::to_string(database_port);
  for (const char* file : {"k.journal", "k.journal-wal", "k.journal-shm"})
    fs::remove(temp_file(file));
  Child database(
      {"standin-db", "--listen", database_address, "--setup",
       "CREATE TABLE counter (n INTEGER, seen TEXT); INSERT INTO counter VALUES (0, ''); CREATE "
       "TABLE visits (id "
       "INTEGER PRIMARY KEY, n INTEGER); WITH RECURSIVE c(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
       "FROM c WHERE "
       "i < 4000) INSERT INTO visits SELECT i, 0 FROM c"});
  std::ofstream(temp_file("k.conf"))
      << "(include \"" ROOT "/deploy/example/booking.conf\")\n(controller (listen 127.0.0.1:"
      << port << ") (places 1) (build 1) (journal \"" << temp_file("k.journal")
      << "\") (steps (target " << database_address << ") (lease 1s)))";
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
  auto start_controller = [&] {
    auto child = std::make_unique<Child>(Words{"controller", "--config", temp_file("k.conf")});
    for (int i = 0; i < 300 && get(port, "/health").empty(); ++i)
      std::this_thread::sleep_for(5ms);
    return child;
  };
  auto controller = start_controller();
  ASSERT_NE(post(port, "/v1/plans", plan).find("200 OK"), std::string::npos);
  ASSERT_NE(post(port, "/v1/releases", "{\"spec\":{\"build\":2}}").find("201 Created"),
            std::string::npos);
  const char* given_kills = std::getenv("ROBINHOIST_KILLS");
  std::minstd_rand random(3);
  for (int kills = given_kills ? std::atoi(given_kills) : 20; kills > 0; --kills) {
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 40000));
    controller->end(SIGKILL);
    controller = start_controller();
  }
  std::string status;
  for (int i = 0; i < 1500; ++i, std::this_thread::sleep_for(10ms)) {
    status = get(port, "/v1/steps");
    if (status.find(
            "\"id\":\"fill\",\"phase\":\"migrate\",\"before_wave\":1,\"state\":\"applied\"") !=
        std::string::npos)
      break;
  }
  const auto expect_value = [&](const std::string& query, const std::string& value) {
    const std::string response =
        post(database_port, "/v1/query", "{\"statement\":\"" + query + "\"}");
    EXPECT_NE(response.find("\"value\":" + value), std::string::npos) << query << "\n"
                                                                      << response << "\n"
                                                                      << status;
  };
  expect_value("SELECT n FROM counter", "3.0");
  expect_value("SELECT seen = 'abc' FROM counter", "1.0");
  expect_value("SELECT min(n) FROM visits", "1.0");
  expect_value("SELECT max(n) FROM visits", "1.0");
}

TEST(ScenarioRun, BrokenWatchesAndAKilledControllerBreakNoRule) {
  auto [out, status] =
      run("day " ROOT "/days/broken-watches.day --seed 1 --out " + temp_file("watches"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("exposure within the cap  kept"), std::string::npos) << out;
}

TEST(ScenarioRun, KilledControllerKeepsTheOrderOfSteps) {
  auto [out, status] = run("day " ROOT "/days/steps.day --seed 2 --out " + temp_file("steps"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("steps in order kept"), std::string::npos) << out;
}

TEST(ScenarioRun, ShortScenarioKeepsTheFiveRules) {
  auto [out, status] = run("day " ROOT "/days/short.day --seed 3 --out " + temp_file("day"));
  EXPECT_EQ(status, 0) << out;
  EXPECT_NE(out.find("released"), std::string::npos) << out;
}

// Runs the scripts of tests/machine on a machine that is created at its first use.
class MachineScriptRunner {
 public:
  void run_line(const Words& words) {
    const std::string& keyword = words[0];
    if (keyword == "cold") {
      capacity_.warm_up_time = milliseconds(words[1]);
      capacity_.collapse_window = 1s;
    } else if (keyword == "bad") {
      set_flaw(words[1], std::stod(words[2]));
    } else if (keyword == "arrive") {
      for (int i = 0; i < std::stoi(words[1]); ++i) {
        machine::Work work{next_id_++, std::stoi(words[2]), milliseconds(words[3]),
                           words.size() > 4 ? words[4] : "", words.size() > 4};
        const machine::Admission entry = server().arrive(work, now_);
        ++counts_[entry == machine::Admission::accepted ? "taken"
                  : entry == machine::Admission::full   ? "full"
                                                        : "down"];
      }
    } else if (keyword == "run") {
      for (const TimePoint until = now_ + milliseconds(words[1]); now_ < until; now_ += 1ms)
        while (auto done = server().next_completed(now_)) {
          ++counts_[done->result == machine::WorkResult::ok       ? "well"
                    : done->result == machine::WorkResult::failed ? "failed"
                    : done->result == machine::WorkResult::wrong  ? "wrong"
                                                                  : "repeat"];
          counts_["effects"] += done->changed_data;
        }
    } else if (keyword == "slow") {
      server().set_slowdown(std::stod(words[1]));
    } else if (keyword == "expect") {
      EXPECT_TRUE(tests::compare(counts_[words[1]], words[2], std::stod(words[3])))
          << counts_[words[1]];
    } else {
      throw std::runtime_error("unknown keyword " + keyword);
    }
  }

 private:
  static Duration milliseconds(const std::string& word) { return Duration(std::stol(word) * 1000); }

  machine::Machine& server() {
    if (!machine_)
      machine_ = std::make_unique<machine::Machine>(capacity_, build_, 7, now_, &marks_);
    return *machine_;
  }

  void set_flaw(const std::string& name, double strength) {
    const std::map<std::string, machine::Flaw> flaws{{"errors", machine::Flaw::errors},
                                                     {"slow", machine::Flaw::slow},
                                                     {"product", machine::Flaw::request_class},
                                                     {"load", machine::Flaw::load},
                                                     {"late", machine::Flaw::late},
                                                     {"wrong", machine::Flaw::wrong}};
    build_.flaw = flaws.at(name);
    build_.severity = strength;
    build_.request_class = 1;
    build_.failure_share = 1;
    build_.flaw_utilization = 0.4;
    build_.flaw_delay = 500ms;
  }

  machine::Capacity capacity_{.cores = 2, .slots = 4, .queue_capacity = 2};
  machine::Build build_{.number = 1};
  machine::DedupStore marks_{200ms};
  std::unique_ptr<machine::Machine> machine_{};
  TimePoint now_{1s};
  std::map<std::string, double> counts_{};
  std::int64_t next_id_ = 1;
};

class MachineScript : public testing::TestWithParam<std::string> {};

TEST_P(MachineScript, MeetsItsExpectations) {
  MachineScriptRunner runner;
  tests::run_script(GetParam(), [&](const Words& words) { runner.run_line(words); });
}

INSTANTIATE_TEST_SUITE_P(All, MachineScript,
                         testing::ValuesIn(tests::files_in(TESTS "/machine", ".txt")),
                         tests::script_name);

// Guards against runs that cannot be reproduced, and against clients that repeat a request whose
// class forbids it: every try fails here, and only the first class may be repeated then.
TEST(Load, IsReproducibleAndRepeatsOnlyWhatItMay) {
  load::Settings settings;
  settings.length = 10s;
  settings.rate = 200;
  settings.retries = 2;
  load::RequestClass always, only_rejected;
  always.share = only_rejected.share = 0.5;
  always.work = only_rejected.work = 10ms;
  always.deadline = only_rejected.deadline = 1s;
  only_rejected.retry_policy = load::RetryPolicy::only_rejected;
  settings.request_classes = {always, only_rejected};
  std::vector<std::string> requests[2];
  for (auto& list : requests) {
    load::LoadGenerator load(settings, 11);
    std::map<int, int> most_repeats;
    for (TimePoint now{}; !load.is_finished(); now += 1ms)
      while (auto client_try = load.next(now)) {
        list.push_back(std::to_string(client_try->id) + "/" +
                       std::to_string(client_try->request_class) + "/" +
                       std::to_string(client_try->work.count()));
        int& most = most_repeats[client_try->request_class];
        most = std::max(most, client_try->number);
        load.attempt_ended(client_try->id, load::ClientResult::failed, Duration{}, now);
      }
    EXPECT_EQ(most_repeats[0], 2);
    EXPECT_EQ(most_repeats[1], 0);
  }
  EXPECT_EQ(requests[0], requests[1]);
  EXPECT_GT(requests[0].size(), 2500u);
}

}  // namespace
}  // namespace robinhoist
