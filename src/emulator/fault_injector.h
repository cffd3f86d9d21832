/// Carries out the faults of a scenario in simulated time.
#pragma once
#include <functional>

#include "day/scenario.h"
#include "emulator/fleet.h"
#include "emulator/proxy_processes.h"
#include "emulator/simulated_servers.h"
#include "emulator/simulation.h"

namespace robinhoist::emulator {

class FaultInjector {
 public:
  /// The components that faults act on.
  struct Targets {
    Fleet& fleet;
    SimulatedServers& servers;
    SimulatedRegistry& registry;
    SimulatedController& controller;
    SimulatedClients& clients;
    ProxyProcesses& processes;
  };

  FaultInjector(Simulation& simulation, const Targets& targets)
      : simulation_(simulation), targets_(targets) {}

  /// Begins a fault now and schedules its end. `fault` must outlive the run.
  void begin(const day::Fault& fault);
  /// Draws the registry's and the controller's notification delays, which faults override.
  void draw_delays();

 private:
  using ServerAction = std::function<void(int server)>;

  bool begin_server_fault(const day::Fault& fault);
  bool begin_client_fault(const day::Fault& fault);
  void begin_other_fault(const day::Fault& fault);
  void at_end(const day::Fault& fault, std::function<void()> undo);
  void on_servers(const day::Fault& fault, const ServerAction& begin, const ServerAction& end);
  void crash_servers(const day::Fault& fault);
  void take_cores(const day::Fault& fault);
  void slow_links(const day::Fault& fault);
  void disturb_controller(const day::Fault& fault);
  void concentrate_load(const day::Fault& fault);
  void restart_proxies(const day::Fault& fault);
  void draw_registry_delay();
  void draw_publish_delay();

  Simulation& simulation_;
  Targets targets_;
};

}  // namespace robinhoist::emulator
