// One proxy in simulated time: the decision module as the router on sockets hosts it, with
// connections, time-outs and the way to and from the servers. It makes no choice of its own.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "emulator/fleet.h"
#include "emulator/network.h"
#include "emulator/policy.h"
#include "load/load.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

struct FinalAnswer {
  load::End end = load::End::succeeded;
  int status = 200;
  const char* why = "";
  int server = -1;
  bool right = true;
  Duration stay_away{};
};

struct SimulatedProxySettings {
  int number = 0, zone = 0;
  unsigned salt = 1;
  Duration reserve = std::chrono::milliseconds(5);
  int connections_per_server = 256;
  PolicySpec policy{};
};

class SimulatedProxy {
 public:
  struct Ways {
    std::function<void(std::int64_t try_id, const FinalAnswer&)> answer;  // leaves the proxy now
    std::function<void(int proxy, int build, int stage, Verdict verdict)> vote;
    std::function<void(int proxy)> refresh;                 // the whole list, please
    std::function<int(const std::string& name)> server_of;  // -1: none of that name
  };
  SimulatedProxy(Engine& engine, const deployment::Deployment& deployment,
                 const SimulatedProxySettings& settings, Fleet& fleet, Network& network, Ways ways);

  // A process begins, with the list that the one before saved, if any; or ends without a word.
  void start();
  void kill();
  bool up() const { return policy_ != nullptr; }
  int life() const {
    return life_;
  }  // grows with each start: what is meant for an earlier one is lost

  void take(const load::Try& one, TimePoint until);
  void left(std::int64_t try_id);
  void list(const std::vector<registry::Endpoint>& entries, bool whole, bool saved = false);
  void release(const ReleaseUpdate& release);  // since: its age now
  void vote_answered(Outcome outcome);
  void found_wrong(int server);
  // Ends of attempts, as the network brings them.
  void ended(std::uint64_t id, Outcome outcome, const Answer& answer);
  void server_killed(int server);

  std::size_t held() const { return requests_.size(); }
  long attempts() const { return attempt_count_; }
  long decisions() const { return decisions_; }

 private:
  struct InFlightAttempt {
    std::uint64_t id;
    int server, upstream;
    bool ended = false, cancelled = false;
    Engine::Id timer{};
  };
  struct InFlightRequest {
    load::Try one{};
    TimePoint deadline{}, until{};
    std::vector<InFlightAttempt> attempts{};
    bool answered = false;
    Outcome last = Outcome::obsolete;
  };
  struct Upstream {  // a server as the module numbers it
    int server = -1;
    EndpointPhase phase = EndpointPhase::removed;
    int idle = 0;  // connections kept open
    int busy = 0;
  };
  TimePoint local() const { return TimePoint(engine_.now() - born_); }
  void pull();
  void carry_out(const Decision& decision);
  void forward(const Decision& decision);
  void attempt_ended(int request_id, std::size_t index, Outcome outcome, const Answer& answer);
  void finish(InFlightRequest& in_flight, FinalAnswer how);
  void forget(int request_id);
  int upstream_index(const registry::Endpoint& entry);

  Engine& engine_;
  const deployment::Deployment& deployment_;
  SimulatedProxySettings settings_;
  Fleet& fleet_;
  Network& network_;
  Ways ways_;
  std::unique_ptr<Policy> policy_{};
  TimePoint born_{};
  int life_ = 0;
  std::vector<Upstream> upstreams_{};
  std::map<std::string, int> upstream_of_{};
  std::map<std::string, registry::Endpoint> listed_{};
  std::unordered_map<int, InFlightRequest> requests_{};
  std::unordered_map<std::int64_t, int> request_of_{};  // by try
  std::unordered_map<std::uint64_t, std::pair<int, std::size_t>>
      attempt_of_{};  // request and index
  int last_request_id_ = 0;
  bool heard_release_ = false, pulling_ = false;
  Engine::Id wake_{};
  std::uint64_t next_attempt_id_ = 0;
  long attempt_count_ = 0, decisions_ = 0;
};

}  // namespace robinhoist::emulator
