#include "day/play.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include "day/clients.h"
#include "day/record_meta.h"
#include "day/world.h"
#include "record/lines.h"

namespace robinhoist::day {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

// Ports that nobody has now, below those that the kernel gives to whoever asks for any: an endpoint
// that starts later must not get the port of an proxy that is down.
std::vector<int> free_ports(std::size_t many) {
  constexpr int first = 18000, last = 32000;
  net::Loop loop;
  std::vector<std::unique_ptr<net::Listener>> held;
  std::vector<int> ports;
  for (int port = first + ::getpid() * 97 % (last - first - 2000); ports.size() < many; ++port) {
    if (port > last)
      throw std::runtime_error("no free ports for the umpires");
    try {
      held.push_back(std::make_unique<net::Listener>(loop, "127.0.0.1:" + std::to_string(port),
                                                     [](int fd) { ::close(fd); }));
      ports.push_back(port);
    } catch (const std::runtime_error&) {
      // Taken; the next one.
    }
  }
  return ports;
}

// One proxy's process, started anew after each death.
class Process {
 public:
  Process(std::string program, std::string config, std::string log)
      : program_(std::move(program)), config_(std::move(config)), log_(std::move(log)) {}
  ~Process() {
    if (pid_ > 0)
      kill9();
  }
  void start() {
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const char* words[] = {program_.c_str(), "umpire", "--config", config_.c_str(), nullptr};
    // Signals that this process keeps for itself must not be blocked in the new one.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed = posix_spawn(&pid_, program_.c_str(), &files, &attributes,
                                   const_cast<char**>(words), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (failed)
      throw std::runtime_error("can't start " + program_);
  }
  void kill9() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void term() { ::kill(pid_, SIGTERM); }
  // The exit status; -1 when it did not end in time and had to be killed.
  int wait(Duration most) {
    for (Duration waited{}; waited < most; waited += 10ms) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      std::this_thread::sleep_for(10ms);
    }
    kill9();
    return -1;
  }
  bool died() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    pid_ = 0;
    return true;
  }

 private:
  std::string program_, config_, log_;
  pid_t pid_ = 0;
};

// A loop with its thread; ends with the object.
struct Running {
  explicit Running(SteadyTime epoch) : loop(epoch) {}
  ~Running() { stop(); }
  void start() {
    thread = std::thread([this] { loop.run(); });
  }
  void stop() {
    if (!thread.joinable())
      return;
    loop.quit();
    thread.join();
  }
  net::Loop loop;
  std::thread thread{};
};

}  // namespace

Played play(const Scenario& day, long seed, const std::string& folder, const std::string& program) {
  fs::create_directories(folder);
  const std::string dir = fs::absolute(folder).string();
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  const SteadyTime epoch = net::steady_now();
  log::Logger log("day", "info", dir + "/day.log");
  record::write(dir + "/meta.json", meta_of(day, seed));
  record::Writer nodes(dir + "/nodes.jsonl"), told(dir + "/told.jsonl"),
      clients_record(dir + "/clients.jsonl"), lives(dir + "/umpires.jsonl"),
      database(dir + "/database.jsonl");
  for (const char* old : {"/journal", "/journal-wal", "/journal-shm"})
    fs::remove(dir + old);
  const int proxies = day.deployment.proxies;
  const auto ports = free_ports(static_cast<std::size_t>(2 * proxies));
  std::vector<ProxyPorts> at;
  for (int u = 0; u < proxies; ++u)
    at.push_back({ports[2 * u], ports[2 * u + 1]});

  Running database_runs(epoch), world_runs(epoch), clients_run(epoch);
  World world(world_runs.loop, database_runs.loop, day, static_cast<unsigned>(seed * 2 + 1), log,
              nodes, told, dir, &database);
  Clients clients(clients_run.loop, day, static_cast<unsigned>(seed * 2 + 101), at, clients_record);
  // Loops stop before what runs on them goes.
  struct Stop {
    Running &a, &b, &c;
    ~Stop() {
      a.stop();
      b.stop();
      c.stop();
    }
  } stop{world_runs, clients_run, database_runs};
  database_runs.start();
  world_runs.start();
  clients_run.start();
  for (bool up = false; !up; std::this_thread::sleep_for(20ms))
    world_runs.loop.call([&] { up = world.all_up(); });

  std::ofstream(dir + "/deployment.conf") << day.deployment_text << "\n";
  std::vector<std::unique_ptr<Process>> processes;
  for (int u = 0; u < proxies; ++u) {
    const std::string name = "umpire-" + std::to_string(u), config = dir + "/" + name + ".conf";
    std::ofstream(config) << "(include \"deployment.conf\")\n(umpire\n  (name " << name
                          << ")\n  (number " << u << ")\n  (salt "
                          << 1 + (seed * 7919 + u) % 2000000000
                          << ")\n  (listen 127.0.0.1:" << at[u].front
                          << ")\n  (admin 127.0.0.1:" << at[u].admin
                          << ")\n  (list-from 127.0.0.1:" << world.list_port()
                          << ")\n  (releases-from 127.0.0.1:" << world.controller_port()
                          << ")\n  (zone " << zone_of(day, u) << ")\n  (saved-list \"" << dir << "/"
                          << name << ".nodes\"))\n";
    fs::remove(dir + "/" + name + ".nodes");
    fs::remove(dir + "/" + name + ".log");
    processes.push_back(std::make_unique<Process>(program, config, dir + "/" + name + ".log"));
  }
  auto life = [&](int u, const char* what) {
    record::proxy_life(lives, TimePoint(net::steady_now() - epoch), "umpire-" + std::to_string(u),
                       what);
  };
  for (int u = 0; u < proxies; ++u) {
    life(u, "start");
    processes[u]->start();
  }
  // Each routes once its front takes a connection.
  for (int u = 0; u < proxies; ++u) {
    for (int tries = 0;; ++tries) {
      try {
        Poco::Net::StreamSocket probe(
            Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(at[u].front)));
        break;
      } catch (const Poco::Exception&) {
        if (tries > 500)
          throw std::runtime_error("umpire " + std::to_string(u) + " does not start; see its log");
        std::this_thread::sleep_for(10ms);
      }
    }
  }
  std::this_thread::sleep_for(300ms);

  // What befalls proxies happens here, in the order of time.
  struct Event {
    TimePoint at;
    int proxy;
    bool up;
  };
  const TimePoint from = TimePoint(net::steady_now() - epoch) + 50ms;
  std::vector<Event> events;
  std::minstd_rand random(static_cast<unsigned>(seed + 5));
  for (const Fault& trouble : day.faults) {
    if (trouble.kind != FaultKind::proxy_crash && trouble.kind != FaultKind::proxy_roll)
      continue;
    std::vector<int> order(proxies);
    for (int u = 0; u < proxies; ++u)
      order[u] = u;
    std::shuffle(order.begin(), order.end(), random);
    order.resize(std::clamp(static_cast<int>(trouble.target_share * proxies + 0.5), 1, proxies));
    const bool roll = trouble.kind == FaultKind::proxy_roll;
    const int batch = roll ? std::max(1, static_cast<int>(trouble.magnitude * proxies)) : proxies;
    const int batches = (static_cast<int>(order.size()) + batch - 1) / batch;
    for (std::size_t i = 0; i < order.size(); ++i) {
      const TimePoint begins =
          from + trouble.at +
          (roll ? trouble.duration * (static_cast<int>(i) / batch) / batches : Duration{});
      const Duration down =
          roll ? Duration(static_cast<long>(trouble.extra * 1e6)) : trouble.duration;
      events.push_back({begins, order[i], false});
      events.push_back({begins + down, order[i], true});
    }
  }
  std::stable_sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
  world_runs.loop.call([&] { world.begin(from); });
  clients_run.loop.call([&] { clients.begin(from); });
  Played played;
  const auto now = [&] { return TimePoint(net::steady_now() - epoch); };
  std::size_t next = 0;
  std::vector<bool> up(proxies, true);
  for (bool over = false; !over; std::this_thread::sleep_for(2ms)) {
    for (; next < events.size() && events[next].at <= now(); ++next) {
      const Event& event = events[next];
      if (up[event.proxy] == event.up)
        continue;
      up[event.proxy] = event.up;
      if (event.up) {
        life(event.proxy, "start");
        processes[event.proxy]->start();
      } else {
        life(event.proxy, "killed");
        processes[event.proxy]->kill9();
      }
      clients_run.loop.call([&] { clients.proxy(event.proxy, event.up); });
    }
    for (int u = 0; u < proxies; ++u)
      if (up[u] && processes[u]->died()) {
        life(u, "died");
        up[u] = false;
        played.ended_well = false;
        played.trouble += "umpire-" + std::to_string(u) + " died by itself; ";
      }
    if (now() < from + day.length)
      continue;
    clients_run.loop.call([&] { over = clients.over(); });
    if (now() > from + day.length + 30s)
      over = true;
  }
  std::this_thread::sleep_for(200ms);
  for (int u = 0; u < proxies; ++u) {
    if (!up[u])
      continue;
    life(u, "stopped");
    processes[u]->term();
    const int status = processes[u]->wait(10s);
    if (status != 0) {
      played.ended_well = false;
      played.trouble +=
          "umpire-" + std::to_string(u) + " ended with status " + std::to_string(status) + "; ";
    }
  }
  clients_run.loop.call([&] { clients.note_unasked(); });
  return played;
}

}  // namespace robinhoist::day
