/// The controller's machines in simulated time: servers that boot, drain, stop and crash.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emulator/fleet.h"
#include "emulator/simulated_registry.h"
#include "emulator/simulation.h"
#include "rollout/rollout.h"

namespace robinhoist::emulator {

class SimulatedServers {
 public:
  SimulatedServers(Simulation& simulation, Fleet& fleet, SimulatedRegistry& registry);

  /// Called when a machine accepts requests, and when it has stopped.
  std::function<void(int machine)> on_started{};
  std::function<void(int machine)> on_stopped{};

  /// Carries out a command of the controller.
  void execute(const rollout::Command& command);
  /// Starts a machine's server unless it is running. `cold`: it has to warm up.
  void boot(int machine, bool cold);
  /// Stops a machine's server by a fault. `silently`: it hangs without closing connections, like a
  /// machine that loses power.
  void crash(int machine, bool silently);
  /// Restarts a machine after a fault, unless the controller has removed it meanwhile.
  void recover(int machine);

  /// A random share of the running machines; at least one, if any is running.
  std::vector<int> pick(double share);
  /// Calls a function for each of these machines whose server is running.
  void for_each_running(const std::vector<int>& machines,
                        const std::function<void(int server)>& function) const;
  /// The same, also for servers that have stopped.
  void for_each(const std::vector<int>& machines,
                const std::function<void(int server)>& function) const;
  /// Machines that the registry lists.
  std::vector<int> listed() const;
  /// -1: there is none of that name.
  int server_of(const std::string& name) const;
  /// Starts applying the slowdown by builds that affect all machines (machine::Flaw::shared).
  void start_shared_slowdown();

 private:
  struct Machine {
    std::string name{};
    int slot = 0;
    int build = 0;
    int server = -1;  // -1: it has not booted yet
    bool listed = false;
    bool draining = false;
  };

  void start(const rollout::Command& command);
  void stop(int machine, bool silently);
  void list(int machine);
  const machine::Build& build(int number) const;
  bool is_running(const Machine& machine) const;

  Simulation& simulation_;
  Fleet& fleet_;
  SimulatedRegistry& registry_;
  std::map<int, Machine> machines_{};
  std::map<std::string, int> server_of_{};
  std::vector<double> speeds_{};  // by slot, relative to the configured capacity
};

}  // namespace robinhoist::emulator
