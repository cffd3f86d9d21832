/// Starts, kills and restarts the proxies' processes in simulated time.
#pragma once
#include "emulator/simulated_clients.h"
#include "emulator/simulated_controller.h"
#include "emulator/simulated_registry.h"
#include "emulator/simulation.h"

namespace robinhoist::emulator {

class ProxyProcesses {
 public:
  ProxyProcesses(Simulation& simulation, SimulatedRegistry& registry,
                 SimulatedController& controller, SimulatedClients& clients)
      : simulation_(simulation), registry_(registry), controller_(controller), clients_(clients) {}

  /// Starts a proxy; no effect if it is up.
  void start(int proxy);
  /// Kills a proxy; no effect if it is down.
  void kill(int proxy);
  /// Records the orderly stop of all proxies that are up, at the end of the run.
  void record_stops();

 private:
  void record_event(int proxy, const char* event);

  Simulation& simulation_;
  SimulatedRegistry& registry_;
  SimulatedController& controller_;
  SimulatedClients& clients_;
};

}  // namespace robinhoist::emulator
