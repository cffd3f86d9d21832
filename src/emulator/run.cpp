#include "emulator/run.h"

#include <algorithm>
#include <filesystem>
#include <memory>
#include <stdexcept>

#include "day/record_meta.h"
#include "emulator/fault_injector.h"
#include "emulator/proxy_processes.h"
#include "emulator/simulated_clients.h"
#include "emulator/simulated_controller.h"
#include "emulator/simulated_registry.h"
#include "emulator/simulated_servers.h"
#include "emulator/simulation.h"

namespace robinhoist::emulator {
namespace {

// Time after the scenario's end that open requests may take; later ones are abandoned.
constexpr Duration max_overtime = std::chrono::seconds(30);
// An attempt's id holds its proxy's number above these bits.
constexpr int attempt_bits = 40;

Duration longest_dedup_window(const day::Scenario& day) {
  Duration longest{};
  for (const auto& request_class : day.deployment.request_classes)
    longest = std::max(longest, request_class.request_class.dedup_window);
  return longest;
}

Outcome outcome_of(ServerResponse::Status status) {
  switch (status) {
    case ServerResponse::Status::ok:
      return Outcome::ok;
    case ServerResponse::Status::failed:
      return Outcome::error;
    case ServerResponse::Status::rejected:
      return Outcome::rejected;
    case ServerResponse::Status::connection_lost:
      break;
  }
  return Outcome::reset;
}

/// Connects the parts of one run.
class Run {
 public:
  Run(const day::Scenario& day, long seed, const std::string& folder,
      const NetworkSettings& network, const PolicySpec& policy)
      : simulation_(day, seed, folder, network),
        fleet_(simulation_.engine, day.deployment, longest_dedup_window(day), day.cancellation,
               static_cast<unsigned>(seed * 2 + 2), simulation_.log.servers.get()),
        registry_(simulation_),
        servers_(simulation_, fleet_, registry_),
        controller_(simulation_, servers_),
        clients_(simulation_, fleet_, seed),
        processes_(simulation_, registry_, controller_, clients_),
        faults_(simulation_, {fleet_, servers_, registry_, controller_, clients_, processes_}) {
    connect_servers();
    for (int proxy = 0; proxy < day.deployment.proxies; ++proxy)
      add_proxy(proxy, seed, policy);
  }

  Summary execute() {
    const day::Scenario& day = simulation_.day;
    Engine& engine = simulation_.engine;
    controller_.start();
    for (int proxy = 0; proxy < day.deployment.proxies; ++proxy)
      processes_.start(proxy);
    controller_.start_heartbeats();
    servers_.start_shared_slowdown();
    engine.run(simulation_.start);
    schedule_scenario();
    clients_.send_due();
    const TimePoint end = simulation_.start + day.length;
    engine.run(end);
    const TimePoint last = end + max_overtime;
    while (!clients_.is_finished() && engine.now() < last && engine.step(last)) {
    }
    return finish();
  }

 private:
  void connect_servers() {
    servers_.on_started = [this](int machine) { controller_.machine_started(machine); };
    servers_.on_stopped = [this](int machine) { controller_.machine_stopped(machine); };
    fleet_.on_response = [this](std::uint64_t attempt, const ServerResponse& response) {
      SimulatedProxy& proxy = *simulation_.proxies[attempt >> attempt_bits];
      simulation_.engine.in(simulation_.network.sample_delay(),
                            [&proxy, attempt, response, incarnation = proxy.incarnation()] {
                              if (proxy.up() && proxy.incarnation() == incarnation)
                                proxy.attempt_ended(attempt, outcome_of(response.status), response);
                            });
    };
    fleet_.on_server_killed = [this](int server) {
      for (const auto& proxy : simulation_.proxies)
        proxy->server_killed(server);
    };
    fleet_.link_between = [this](int proxy, int zone) { return link_between(proxy, zone); };
  }

  Fleet::Link link_between(int proxy, int zone) const {
    const std::vector<std::string>& zones = simulation_.day.deployment.zones;
    const LinkFaults& faults = simulation_.link_faults;
    const std::string& from = zones[proxy % zones.size()];
    const std::string& to = zones[zone];
    Fleet::Link link;
    if (from == to)
      return link;
    link.cut = !faults.cut_zone.empty() && (from == faults.cut_zone || to == faults.cut_zone);
    if (!faults.slow_zone.empty() && (from == faults.slow_zone || to == faults.slow_zone)) {
      link.delay = faults.delay;
      link.loss = faults.loss;
    }
    return link;
  }

  void add_proxy(int number, long seed, const PolicySpec& policy) {
    const auto& deployment = simulation_.day.deployment;
    SimulatedProxySettings settings;
    settings.number = number;
    settings.zone = static_cast<int>(number % deployment.zones.size());
    settings.salt = static_cast<unsigned>(1 + (seed * 7919 + number) % 2000000000);
    settings.policy = policy;
    SimulatedProxy::Outputs outputs;
    outputs.respond = [this](std::int64_t request, const ClientResponse& response) {
      simulation_.engine.in(simulation_.network.sample_delay(),
                            [this, request, response] { clients_.answer(request, response); });
    };
    outputs.vote = [this](int proxy, int build, int stage, Verdict verdict) {
      controller_.vote(proxy, build, stage, verdict);
    };
    outputs.refresh = [this](int proxy) {
      simulation_.engine.in(2 * simulation_.network.sample_delay(),
                            [this, proxy] { registry_.notify_complete(proxy); });
    };
    outputs.server_of = [this](const std::string& name) { return servers_.server_of(name); };
    simulation_.proxies.push_back(std::make_unique<SimulatedProxy>(
        simulation_.engine, deployment, settings, fleet_, simulation_.network, std::move(outputs)));
  }

  // Schedules the scenario's faults and releases.
  void schedule_scenario() {
    faults_.draw_delays();
    for (const day::Fault& fault : simulation_.day.faults)
      simulation_.engine.at(simulation_.start + fault.at, [this, &fault] { faults_.begin(fault); });
    for (const day::ScheduledRelease& release : simulation_.day.releases)
      simulation_.engine.at(simulation_.start + release.at,
                            [this, &release] { controller_.submit(release); });
  }

  Summary finish() {
    Summary& summary = simulation_.summary;
    for (const auto& proxy : simulation_.proxies) {
      summary.proxy_attempts += proxy->attempts();
      summary.decisions += proxy->decisions();
    }
    processes_.record_stops();
    summary.events = simulation_.engine.events();
    return std::move(summary);
  }

  Simulation simulation_;
  Fleet fleet_;
  SimulatedRegistry registry_;
  SimulatedServers servers_;
  SimulatedController controller_;
  SimulatedClients clients_;
  ProxyProcesses processes_;
  FaultInjector faults_;
};

}  // namespace

std::string unsupported_reason(const day::Scenario& day) {
  if (day.database)
    return "it has a database, whose migration steps run on sockets only; run it with `robinhoist "
           "day`";
  return "";
}

Summary run(const day::Scenario& day, long seed, const std::string& folder,
            const NetworkSettings& network, const PolicySpec& policy) {
  if (const std::string reason = unsupported_reason(day); !reason.empty())
    throw std::runtime_error("the scenario can't be emulated: " + reason);
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    record::write(folder + "/meta.json", day::meta_of(day, seed));
    std::filesystem::remove(folder + "/database.jsonl");
  }
  return Run(day, seed, folder, network, policy).execute();
}

}  // namespace robinhoist::emulator
