/// The servers in simulated time: the machine model behind a simulated network. The counterpart of
/// the stand-in server pool, which runs it behind sockets; both write the same event log.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "deployment/deployment.h"
#include "emulator/engine.h"
#include "machine/machine.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

/// An attempt on its way to a server. Servers and proxies are indices; names are only in the event
/// log.
struct ServerRequest {
  std::uint64_t id = 0;  ///< of the attempt, as the proxy numbers it
  int proxy = 0, request_class = 0, attempt = 0;
  long request_id = 0;
  std::int64_t client_attempt_id = 0;
  Duration work{};
  std::string key{};
  bool poison = false, fresh_connection = false;  // fresh_connection: the first request on it
};

struct ServerResponse {
  enum class Status { ok, failed, rejected, connection_lost } status = Status::ok;
  bool correct = true;
  double utilization = 0;
  int in_flight = -1;  ///< -1: the response has no load report
};

struct ServerSpec {
  std::string name{};
  int zone = 0, cell = 0;
  machine::Capacity capacity{};
  machine::Build build{};
  bool cold = true;
};

class Fleet {
 public:
  using ResponseCallback = std::function<void(std::uint64_t attempt, const ServerResponse& answer)>;
  Fleet(Engine& engine, const deployment::Deployment& deployment, Duration dedup_window,
        machine::CancellationMode cancellation, unsigned salt, record::Writer* log);

  /// Returns the server's index, which is not used again.
  int start(const ServerSpec& spec);
  void kill(int server);
  bool is_running(int server) const { return servers_[server]->running; }
  const ServerSpec& spec(int server) const { return servers_[server]->spec; }
  /// 0: long before the simulation.
  WallTime started(int server) const { return servers_[server]->started; }
  /// A request reaches its server now. The response goes to on_response, without the network delay.
  /// Requests to a server that is not running are ignored; the caller detects that on connecting.
  void arrive(int server, const ServerRequest& request);
  /// The connection of an attempt has been closed.
  void cancel(int server, std::uint64_t attempt);
  /// Open connections of a server.
  int& connections(int server) { return servers_[server]->connections; }
  /// 0: no limit.
  int max_connections(int server) const { return servers_[server]->max_connections; }

  void hang(int server);
  void set_slowdown(int server, double factor) { servers_[server]->machine.set_slowdown(factor); }
  void set_failure_share(int server, double share) {
    servers_[server]->machine.set_failure_share(share);
  }
  void set_stolen_core_share(int server, double share) {
    servers_[server]->machine.set_stolen_core_share(share);
  }
  void limit_connections(int server, int max_connections) {
    servers_[server]->max_connections = max_connections;
  }
  void set_handshake_delay(int server, Duration delay) {
    servers_[server]->handshake_delay = delay;
  }
  void set_shared_slowdown(double factor) { shared_slowdown_.factor = factor; }
  /// Share of the requests in the window that reached servers of a build.
  double share_of_traffic(int build, Duration window);
  int size() const { return static_cast<int>(servers_.size()); }

  /// The network link between a proxy and a zone.
  struct Link {
    bool cut = false;
    Duration delay{};
    double loss = 0;
  };
  std::function<Link(int proxy, int zone)> link_between{};
  ResponseCallback on_response{};
  /// Called when a server is killed.
  std::function<void(int server)> on_server_killed{};

 private:
  struct OpenRequest {
    std::uint64_t id;
    int request_class;
    Duration delay;
  };
  struct Server {
    Server(const ServerSpec& given, unsigned salt, TimePoint started,
           machine::DedupStore* completed_keys, const machine::SharedSlowdown* shared_slowdown)
        : spec(given),
          machine(given.capacity, given.build, salt, started, completed_keys, shared_slowdown) {}
    ServerSpec spec;
    machine::Machine machine;
    WallTime started{};
    std::unordered_map<std::int64_t, OpenRequest> open{};          // by work id
    std::unordered_map<std::uint64_t, std::int64_t> work_id_of{};  // by attempt id
    Engine::TaskId timer{};
    int connections = 0, max_connections = 0;
    Duration handshake_delay{};
    bool running = true, hung = false;
  };
  void record_request(const Server& server, const char* event, const ServerRequest& request,
                      std::int64_t work_id);
  void schedule_completion(int server);
  void complete_due_work(int server);

  Engine& engine_;
  const deployment::Deployment& deployment_;
  machine::CancellationMode cancellation_;
  std::minstd_rand random_;
  record::Writer* log_;
  machine::DedupStore completed_keys_;
  machine::SharedSlowdown shared_slowdown_{};
  std::vector<std::unique_ptr<Server>> servers_{};
  std::deque<std::pair<TimePoint, int>> recent_arrivals_{};
  std::int64_t next_work_id_ = 1;
};

}  // namespace robinhoist::emulator
