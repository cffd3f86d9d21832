#include "day/scenario_runner.h"

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
#include "day/environment.h"
#include "day/record_meta.h"
#include "record/lines.h"

namespace robinhoist::day {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

// Finds ports below the kernel's range of ephemeral ports: a server that starts later with port 0
// must not get the port of a proxy that is down.
std::vector<int> free_ports(std::size_t count) {
  constexpr int first = 18000, last = 32000;
  net::Loop loop;
  std::vector<std::unique_ptr<net::Listener>> held;
  std::vector<int> ports;
  for (int port = first + ::getpid() * 97 % (last - first - 2000); ports.size() < count; ++port) {
    if (port > last)
      throw std::runtime_error("no free ports for the proxies");
    try {
      held.push_back(std::make_unique<net::Listener>(loop, "127.0.0.1:" + std::to_string(port),
                                                     [](int fd) { ::close(fd); }));
      ports.push_back(port);
    } catch (const std::runtime_error&) {
      // In use: try the next one.
    }
  }
  return ports;
}

// The process of one proxy, which may be started again after it ended.
class ProxyProcess {
 public:
  ProxyProcess(std::string program, std::string config, std::string log)
      : program_(std::move(program)), config_(std::move(config)), log_(std::move(log)) {}
  ~ProxyProcess() {
    if (pid_ > 0)
      kill();
  }
  void start() {
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const char* arguments[] = {program_.c_str(), "umpire", "--config", config_.c_str(), nullptr};
    // Signals that this process blocks must not be blocked in the new one.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t no_signals;
    sigemptyset(&no_signals);
    posix_spawnattr_setsigmask(&attributes, &no_signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int error = posix_spawn(&pid_, program_.c_str(), &files, &attributes,
                                  const_cast<char**>(arguments), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (error)
      throw std::runtime_error("cannot start " + program_);
  }
  void kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void terminate() { ::kill(pid_, SIGTERM); }
  // Returns the exit status, or -1 for a process that had to be killed at the timeout.
  int wait(Duration timeout) {
    for (Duration waited{}; waited < timeout; waited += 10ms) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      std::this_thread::sleep_for(10ms);
    }
    kill();
    return -1;
  }
  bool has_exited() {
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

// An event loop with its thread, which ends with this object.
struct LoopThread {
  explicit LoopThread(SteadyTime epoch) : loop(epoch) {}
  ~LoopThread() { stop(); }
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

RunResult run_scenario(const Scenario& scenario, long seed, const std::string& folder,
                       const std::string& program) {
  fs::create_directories(folder);
  const std::string dir = fs::absolute(folder).string();
  rlimit open_files{};
  if (getrlimit(RLIMIT_NOFILE, &open_files) == 0) {
    open_files.rlim_cur = open_files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &open_files);
  }
  const SteadyTime epoch = net::steady_now();
  log::Logger log("day", "info", dir + "/day.log");
  record::write(dir + "/meta.json", meta_of(scenario, seed));
  record::Writer server_events(dir + "/nodes.jsonl"), proxy_updates(dir + "/told.jsonl"),
      client_events(dir + "/clients.jsonl"), proxy_events(dir + "/umpires.jsonl"),
      database_events(dir + "/database.jsonl");
  for (const char* journal : {"/journal", "/journal-wal", "/journal-shm"})
    fs::remove(dir + journal);
  const int proxies = scenario.deployment.proxies;
  const auto ports = free_ports(static_cast<std::size_t>(2 * proxies));
  std::vector<ProxyPorts> proxy_ports;
  for (int proxy = 0; proxy < proxies; ++proxy)
    proxy_ports.push_back({ports[2 * proxy], ports[2 * proxy + 1]});

  LoopThread database_thread(epoch), environment_thread(epoch), clients_thread(epoch);
  Environment environment(environment_thread.loop, database_thread.loop, scenario,
                          static_cast<unsigned>(seed * 2 + 1), log, server_events, proxy_updates,
                          dir, &database_events);
  Clients clients(clients_thread.loop, scenario, static_cast<unsigned>(seed * 2 + 101), proxy_ports,
                  client_events);
  // The threads stop before the objects that their loops call are destroyed.
  struct ThreadStopper {
    LoopThread &a, &b, &c;
    ~ThreadStopper() {
      a.stop();
      b.stop();
      c.stop();
    }
  } stopper{environment_thread, clients_thread, database_thread};
  database_thread.start();
  environment_thread.start();
  clients_thread.start();
  for (bool ready = false; !ready; std::this_thread::sleep_for(20ms))
    environment_thread.loop.call([&] { ready = environment.all_servers_registered(); });

  std::ofstream(dir + "/deployment.conf") << scenario.deployment_text << "\n";
  std::vector<std::unique_ptr<ProxyProcess>> processes;
  for (int proxy = 0; proxy < proxies; ++proxy) {
    const std::string name = "umpire-" + std::to_string(proxy), config = dir + "/" + name + ".conf";
    std::ofstream(config) << "(include \"deployment.conf\")\n(umpire\n  (name " << name
                          << ")\n  (number " << proxy << ")\n  (salt "
                          << 1 + (seed * 7919 + proxy) % 2000000000
                          << ")\n  (listen 127.0.0.1:" << proxy_ports[proxy].service
                          << ")\n  (admin 127.0.0.1:" << proxy_ports[proxy].admin
                          << ")\n  (list-from 127.0.0.1:" << environment.registry_port()
                          << ")\n  (releases-from 127.0.0.1:" << environment.controller_port()
                          << ")\n  (zone " << zone_of(scenario, proxy) << ")\n  (saved-list \""
                          << dir << "/" << name << ".nodes\"))\n";
    fs::remove(dir + "/" + name + ".nodes");
    fs::remove(dir + "/" + name + ".log");
    processes.push_back(std::make_unique<ProxyProcess>(program, config, dir + "/" + name + ".log"));
  }
  auto record_event = [&](int proxy, const char* event) {
    record::proxy_process_event(proxy_events, TimePoint(net::steady_now() - epoch),
                                "umpire-" + std::to_string(proxy), event);
  };
  for (int proxy = 0; proxy < proxies; ++proxy) {
    record_event(proxy, "start");
    processes[proxy]->start();
  }
  // A proxy that accepts connections is ready to route.
  for (int proxy = 0; proxy < proxies; ++proxy) {
    for (int attempts = 0;; ++attempts) {
      try {
        Poco::Net::StreamSocket probe(
            Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(proxy_ports[proxy].service)));
        break;
      } catch (const Poco::Exception&) {
        if (attempts > 500)
          throw std::runtime_error("umpire-" + std::to_string(proxy) +
                                   " did not start; see its log in " + dir);
        std::this_thread::sleep_for(10ms);
      }
    }
  }
  std::this_thread::sleep_for(300ms);

  // The faults that kill and start proxies, in order of time.
  struct ProcessEvent {
    TimePoint at;
    int proxy;
    bool up;
  };
  const TimePoint start = TimePoint(net::steady_now() - epoch) + 50ms;
  std::vector<ProcessEvent> events;
  std::minstd_rand random(static_cast<unsigned>(seed + 5));
  for (const Fault& fault : scenario.faults) {
    if (fault.kind != FaultKind::proxy_crash && fault.kind != FaultKind::proxy_roll)
      continue;
    std::vector<int> chosen(proxies);
    for (int proxy = 0; proxy < proxies; ++proxy)
      chosen[proxy] = proxy;
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::clamp(static_cast<int>(fault.target_share * proxies + 0.5), 1, proxies));
    const bool in_turn = fault.kind == FaultKind::proxy_roll;
    const int batch = in_turn ? std::max(1, static_cast<int>(fault.magnitude * proxies)) : proxies;
    const int batches = (static_cast<int>(chosen.size()) + batch - 1) / batch;
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      const TimePoint begins =
          start + fault.at +
          (in_turn ? fault.duration * (static_cast<int>(i) / batch) / batches : Duration{});
      const Duration down =
          in_turn ? Duration(static_cast<long>(fault.extra * 1e6)) : fault.duration;
      events.push_back({begins, chosen[i], false});
      events.push_back({begins + down, chosen[i], true});
    }
  }
  std::stable_sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
  environment_thread.loop.call([&] { environment.start(start); });
  clients_thread.loop.call([&] { clients.start(start); });
  RunResult result;
  const auto now = [&] { return TimePoint(net::steady_now() - epoch); };
  std::size_t next = 0;
  std::vector<bool> up(proxies, true);
  for (bool over = false; !over; std::this_thread::sleep_for(2ms)) {
    for (; next < events.size() && events[next].at <= now(); ++next) {
      const ProcessEvent& event = events[next];
      if (up[event.proxy] == event.up)
        continue;
      up[event.proxy] = event.up;
      if (event.up) {
        record_event(event.proxy, "start");
        processes[event.proxy]->start();
      } else {
        record_event(event.proxy, "killed");
        processes[event.proxy]->kill();
      }
      clients_thread.loop.call([&] { clients.set_proxy_up(event.proxy, event.up); });
    }
    for (int proxy = 0; proxy < proxies; ++proxy)
      if (up[proxy] && processes[proxy]->has_exited()) {
        record_event(proxy, "died");
        up[proxy] = false;
        result.proxies_exited_cleanly = false;
        result.problems += "umpire-" + std::to_string(proxy) + " exited unexpectedly; ";
      }
    if (now() < start + scenario.length)
      continue;
    clients_thread.loop.call([&] { over = clients.over(); });
    if (now() > start + scenario.length + 30s)
      over = true;
  }
  std::this_thread::sleep_for(200ms);
  for (int proxy = 0; proxy < proxies; ++proxy) {
    if (!up[proxy])
      continue;
    record_event(proxy, "stopped");
    processes[proxy]->terminate();
    const int status = processes[proxy]->wait(10s);
    if (status != 0) {
      result.proxies_exited_cleanly = false;
      result.problems += "umpire-" + std::to_string(proxy) + " exited with status " +
                         std::to_string(status) + "; ";
    }
  }
  clients_thread.loop.call([&] { clients.record_unsolicited(); });
  return result;
}

}  // namespace robinhoist::day
