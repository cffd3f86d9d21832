/// The release controller in simulated time: the rollout, membership, delayed updates, votes and
/// injected faults.
#pragma once
#include <functional>
#include <memory>

#include "emulator/simulated_servers.h"
#include "emulator/simulation.h"
#include "membership/membership.h"
#include "rollout/rollout.h"

namespace robinhoist::emulator {

class SimulatedController {
 public:
  SimulatedController(Simulation& simulation, SimulatedServers& servers);

  /// Starts the process from the state that the previous one has saved, if any.
  void start();
  /// Kills the process.
  void crash();

  void machine_started(int machine);
  void machine_stopped(int machine);
  /// Submits a release; while the process is down, retries until it is back.
  void submit(const day::ScheduledRelease& release);
  /// A proxy sends a vote now.
  void vote(int proxy, int build, int stage, Verdict verdict);
  /// Sends a proxy the current update.
  void notify(int proxy);
  /// Starts the proxies' periodic heartbeats.
  void start_heartbeats();

  /// Delays updates to the proxies.
  void set_publish_delay(Duration delay) { publish_delay_ = delay; }
  /// From now on votes get no response; this share of them is counted nevertheless.
  void stop_answering_votes(double counted_share);
  /// From now on votes get an error response.
  void answer_votes_with_errors() { failing_ = true; }
  /// Ends both faults.
  void recover();

 private:
  /// The process that voted. The response is lost if the proxy has restarted meanwhile.
  struct Voter {
    int proxy;
    int incarnation;
  };

  void decide();
  void log_changes();
  void publish();
  void count_vote(Voter voter, int build, int stage, Verdict verdict);
  void answer_vote(Voter voter, Duration after, Outcome outcome);
  void heartbeat(int proxy);

  Simulation& simulation_;
  SimulatedServers& servers_;
  std::unique_ptr<rollout::Rollout> rollout_{};  // null: the process is down
  rollout::RolloutState saved_{};
  membership::Membership membership_;
  ReleaseUpdate published_{};
  TimePoint published_at_{};
  Duration publish_delay_{};
  TimePoint last_publish_due_{};
  int published_version_ = 0;
  std::size_t logged_changes_ = 0;
  bool unresponsive_ = false;
  bool failing_ = false;
  double counted_share_ = 0;  // of the votes, while unresponsive
  Engine::TaskId check_timer_{};
};

}  // namespace robinhoist::emulator
