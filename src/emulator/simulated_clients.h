/// The clients in simulated time: they send what the load generator hands out, wait, leave and
/// report.
#pragma once
#include <cstdint>
#include <unordered_map>

#include "emulator/fleet.h"
#include "emulator/simulation.h"
#include "load/load.h"

namespace robinhoist::emulator {

class SimulatedClients {
 public:
  SimulatedClients(Simulation& simulation, Fleet& fleet, long seed);

  /// Sends what is due, now and from now on.
  void send_due();
  /// A proxy's response reaches its client.
  void answer(std::int64_t request, const FinalAnswer& answer);
  /// The front layer learns, late, that a proxy is up or down; a proxy that is down loses its
  /// requests.
  void proxy_started(int proxy);
  void proxy_stopped(int proxy);
  /// Whether all requests have ended, and no more are to come.
  bool over() const { return load_.over(); }
  /// For faults of the clients.
  load::Load& load() { return load_; }

 private:
  struct OpenRequest {
    load::Try sent{};
    Engine::Id timeout{};
    Engine::Id leave{};
    int incarnation = 0;  // of the proxy that it was sent to
  };

  void send(const load::Try& request);
  void arrive(std::int64_t id);
  void give_up(std::int64_t id);
  void leave(std::int64_t id);
  void break_off(std::int64_t id, load::End end);
  void finish(const load::Try& request, load::End end, const FinalAnswer& answer);
  void count(const load::Try& request, load::End end, const FinalAnswer& answer);
  void record(const load::Try& request, load::End end, const FinalAnswer& answer);
  void report_wrong_answer(const load::Try& request, const FinalAnswer& answer);

  Simulation& simulation_;
  Fleet& fleet_;
  load::Load load_;
  std::unordered_map<std::int64_t, OpenRequest> open_{};
  Engine::Id load_timer_{};
};

}  // namespace robinhoist::emulator
