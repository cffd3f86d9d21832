/// The machines of the controller in simulated time: servers that boot, drain, stop and break.
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

  /// Run when a machine takes requests, and when it has stopped.
  std::function<void(int machine)> on_started{};
  std::function<void(int machine)> on_stopped{};

  /// Carries out a command of the controller.
  void execute(const rollout::Command& command);
  /// Starts a machine's server, unless it runs. `cold`: it has to warm up.
  void boot(int machine, bool cold);
  /// Stops a machine's server by a fault, `silently` as a machine without power.
  void crash(int machine, bool silently);
  /// Starts a machine again after a fault, if the controller still has it.
  void recover(int machine);

  /// Some of the running machines, drawn; one at least, if any runs.
  std::vector<int> pick(double share);
  /// Runs a function on the server of each machine that has one that runs.
  void for_each_running(const std::vector<int>& machines,
                        const std::function<void(int server)>& function) const;
  /// The same, also for servers that have stopped.
  void for_each(const std::vector<int>& machines,
                const std::function<void(int server)>& function) const;
  /// Machines that the registry lists.
  std::vector<int> listed() const;
  /// -1: there is none of that name.
  int server_of(const std::string& name) const;
  /// Lets a build that harms all machines do so from now on.
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
  std::vector<double> speeds_{};  // by slot, against the usual machine
};

}  // namespace robinhoist::emulator
