/// One proxy in simulated time.
///
/// Hosts a policy as the router on sockets does; connections, time-outs and network delays are
/// modelled. All decisions are the policy's.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/fleet.h"
#include "emulator/network.h"
#include "emulator/policy.h"
#include "load/load.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

/// A proxy's response to a client.
struct ClientResponse {
  load::ClientResult result = load::ClientResult::succeeded;
  int status = 200;  ///< of HTTP; 0: no response
  const char* reason = "";
  int server = -1;  ///< that responded; -1: none
  bool correct = true;
  Duration retry_after{};  ///< 0: none
};

struct SimulatedProxySettings {
  int number = 0;
  int zone = 0;
  unsigned salt = 1;
  Duration reserve =
      std::chrono::milliseconds(5);  ///< of the client's time, for the response's way back
  int connections_per_server = 256;
  PolicySpec policy{};
};

class SimulatedProxy {
 public:
  /// Messages that the proxy sends.
  struct Outputs {
    std::function<void(std::int64_t client_request, const ClientResponse&)> respond;
    std::function<void(int proxy, int build, int stage, Verdict verdict)> vote;
    /// Requests the complete endpoint list.
    std::function<void(int proxy)> refresh;
    /// Looks up a server by its name; -1: there is none.
    std::function<int(const std::string& name)> server_of;
  };

  SimulatedProxy(Engine& engine, const deployment::Deployment& deployment,
                 const SimulatedProxySettings& settings, Fleet& fleet, Network& network,
                 Outputs outputs);

  /// Starts the process from the endpoint list that the previous one has cached, if any.
  void start();
  /// Kills the process.
  void kill();
  bool up() const { return policy_ != nullptr; }
  /// Incremented with each start; messages for an earlier process are dropped.
  int incarnation() const { return incarnation_; }

  // Inputs. Updates, vote results and server events are ignored while the proxy is down.
  void request_arrived(const load::ClientAttempt& request, TimePoint deadline);
  void client_disconnected(std::int64_t client_request);
  void endpoints_updated(const std::vector<registry::Endpoint>& endpoints, EndpointUpdateKind kind);
  /// `update.since`: the age of the update.
  void release_updated(const ReleaseUpdate& update);
  void vote_answered(Outcome outcome);
  void wrong_answer_reported(int server);
  /// The response or failure of an attempt reaches the proxy.
  void attempt_ended(std::uint64_t id, Outcome outcome, const ServerResponse& response);
  void server_killed(int server);

  long attempts() const { return attempt_count_; }
  long decisions() const { return decisions_; }

 private:
  static constexpr int no_upstream = -1;

  struct InFlightAttempt {
    std::uint64_t id;
    int server;
    int upstream;  // no_upstream: no connection
    bool ended = false;
    bool cancelled = false;
    Engine::TaskId timer{};
  };
  struct InFlightRequest {
    load::ClientAttempt client_request{};
    TimePoint deadline{};
    std::vector<InFlightAttempt> attempts{};
    bool answered = false;
    Outcome last = Outcome::obsolete;
  };
  /// A server, under the policy's index.
  struct Upstream {
    int server = -1;
    EndpointPhase phase = EndpointPhase::removed;
    int idle = 0;  // connections kept open
    int busy = 0;
  };
  /// Position of an attempt in its request.
  struct AttemptPosition {
    int request_id;
    std::size_t index;
  };
  /// The connection of an attempt, or why there is none.
  struct Connection {
    bool available = false;
    bool fresh = false;
    Duration failure_delay{};
    Outcome failure = Outcome::connect_failure;
  };

  TimePoint local_time() const { return TimePoint(engine_.now() - started_at_); }
  void run_policy();
  void carry_out(const Decision& decision);
  void forward(const Decision& decision);
  void reject(const Decision& decision);
  void fail(const Decision& decision);
  void cancel(const Decision& decision);
  void close_idle(Upstream& upstream);
  void schedule_policy(Duration delay);

  Connection take_connection(Upstream& upstream, Duration network_delay);
  void release_connection(const InFlightAttempt& attempt, Outcome outcome);
  void fail_attempt_later(std::uint64_t id, Duration delay, Outcome outcome);
  void attempt_timed_out(std::uint64_t id);
  void deliver(std::uint64_t id, int server, bool fresh_connection);
  void finish(InFlightRequest& request, const ClientResponse& response);
  void forget_if_done(int request_id);

  int upstream_index(const registry::Endpoint& endpoint);
  EndpointInfo describe(const registry::Endpoint& endpoint, int index) const;
  void remove_unlisted(const std::vector<bool>& listed);
  void assume_lowest_build_released();

  Engine& engine_;
  const deployment::Deployment& deployment_;
  SimulatedProxySettings settings_;
  Fleet& fleet_;
  Network& network_;
  Outputs outputs_;
  std::unique_ptr<Policy> policy_{};  // null: the proxy is down
  TimePoint started_at_{};
  int incarnation_ = 0;
  std::vector<Upstream> upstreams_{};
  std::map<std::string, int> upstream_of_{};  // by name and address
  std::map<std::string, registry::Endpoint>
      endpoints_{};  // kept across restarts, like the endpoint cache
  std::unordered_map<int, InFlightRequest> requests_{};
  std::unordered_map<std::int64_t, int> request_of_{};  // by client request
  std::unordered_map<std::uint64_t, AttemptPosition> attempt_of_{};
  int last_request_id_ = 0;
  bool release_known_ = false;
  bool running_policy_ = false;
  Engine::TaskId policy_timer_{};
  std::uint64_t last_attempt_id_ = 0;
  long attempt_count_ = 0;
  long decisions_ = 0;
};

}  // namespace robinhoist::emulator
