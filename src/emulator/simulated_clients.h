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
  void answer(std::int64_t request, const ClientResponse& answer);
  /// The front layer learns, late, that a proxy is up or down; a proxy that is down loses its
  /// requests.
  void proxy_started(int proxy);
  void proxy_stopped(int proxy);
  /// Whether all requests have ended, and no more are to come.
  bool is_finished() const { return load_.is_finished(); }
  /// For faults of the clients.
  load::LoadGenerator& load() { return load_; }

 private:
  struct OpenRequest {
    load::ClientAttempt attempt{};
    Engine::TaskId timeout_timer{};
    Engine::TaskId disconnect_timer{};
    int incarnation = 0;  // of the proxy that it was sent to
  };

  void send(const load::ClientAttempt& request);
  void arrive(std::int64_t id);
  void time_out(std::int64_t id);
  void disconnect(std::int64_t id);
  void end_without_response(std::int64_t id, load::ClientResult end);
  void finish(const load::ClientAttempt& request, load::ClientResult end,
              const ClientResponse& answer);
  void count(const load::ClientAttempt& request, load::ClientResult end,
             const ClientResponse& answer);
  void record(const load::ClientAttempt& request, load::ClientResult end,
              const ClientResponse& answer);
  void report_wrong_answer(const load::ClientAttempt& request, const ClientResponse& answer);

  Simulation& simulation_;
  Fleet& fleet_;
  load::LoadGenerator load_;
  std::unordered_map<std::int64_t, OpenRequest> open_{};
  Engine::TaskId load_timer_{};
};

}  // namespace robinhoist::emulator
