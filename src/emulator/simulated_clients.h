/// The clients in simulated time: they send the load generator's requests, wait for responses,
/// time out, disconnect and report wrong answers.
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

  /// Sends the requests that are due, and schedules the next ones.
  void send_due();
  /// A proxy's response reaches its client.
  void answer(std::int64_t attempt, const ClientResponse& response);
  /// Tells the load generator that a proxy is up or down. A proxy that goes down loses its
  /// requests.
  void proxy_started(int proxy);
  void proxy_stopped(int proxy);
  /// Whether all requests have ended and no more will arrive.
  bool is_finished() const { return load_.is_finished(); }
  /// For injecting faults of clients.
  load::LoadGenerator& load() { return load_; }

 private:
  struct OpenRequest {
    load::ClientAttempt attempt{};
    Engine::TaskId timeout_timer{};
    Engine::TaskId disconnect_timer{};
    int incarnation = 0;  // of the proxy it was sent to
  };

  void send(const load::ClientAttempt& attempt);
  void arrive(std::int64_t id);
  void time_out(std::int64_t id);
  void disconnect(std::int64_t id);
  void end_without_response(std::int64_t id, load::ClientResult result);
  void finish(const load::ClientAttempt& attempt, load::ClientResult result,
              const ClientResponse& response);
  void count(const load::ClientAttempt& attempt, load::ClientResult result,
             const ClientResponse& response);
  void record(const load::ClientAttempt& attempt, load::ClientResult result,
              const ClientResponse& response);
  void report_wrong_answer(const load::ClientAttempt& attempt, const ClientResponse& response);

  Simulation& simulation_;
  Fleet& fleet_;
  load::LoadGenerator load_;
  std::unordered_map<std::int64_t, OpenRequest> open_{};
  Engine::TaskId load_timer_{};
};

}  // namespace robinhoist::emulator
