// The servers in simulated time: the machine model behind a network, as the stand-ins have it
// behind sockets. Writes the same lines of record.
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

// One attempt on its way. Ids are indices; names are made for the record alone.
struct ServerRequest {
  std::uint64_t id = 0;  // of the proxies' book of attempts
  int proxy = 0, request_class = 0, attempt = 0;
  long request_id = 0;
  std::int64_t client_attempt_id = 0;
  Duration work{};
  std::string key{};
  bool poison = false, fresh_connection = false;  // first: on its connection
};

struct ServerResponse {
  enum class Status { ok, failed, rejected, connection_lost } status = Status::ok;
  bool correct = true;
  double utilization = 0;
  int in_flight = -1;  // -1: no report came with it
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
  Fleet(Engine& engine, const deployment::Deployment& deployment, Duration memory,
        machine::CancellationMode cancelled, unsigned salt, record::Writer* record);

  int start(const ServerSpec& spec);  // its index, never used again
  void kill(int server);
  bool is_running(int server) const { return servers_[server]->running; }
  const ServerSpec& spec(int server) const { return servers_[server]->spec; }
  WallTime started(int server) const { return servers_[server]->started; }  // 0: long ago
  // Arrives there now. The answer leaves through `answered`, the way back not included; a server
  // that is gone is a matter for whoever connects.
  void arrive(int server, const ServerRequest& sent);
  // The connection that carried it is closed.
  void cancel(int server, std::uint64_t id);
  // Connections that a server holds, and the most that it takes; 0: any number.
  int& connections(int server) { return servers_[server]->connections; }
  int max_connections(int server) const { return servers_[server]->max_connections; }

  void hang(int server);
  void set_slowdown(int server, double times) { servers_[server]->machine.set_slowdown(times); }
  void set_failure_share(int server, double share) {
    servers_[server]->machine.set_failure_share(share);
  }
  void set_stolen_core_share(int server, double share) {
    servers_[server]->machine.set_stolen_core_share(share);
  }
  void limit_connections(int server, int most) { servers_[server]->max_connections = most; }
  void set_handshake_delay(int server, Duration by) { servers_[server]->handshake_delay = by; }
  void set_shared_slowdown(double factor) { shared_slowdown_.factor = factor; }
  double share_of_traffic(int build, Duration window);
  int size() const { return static_cast<int>(servers_.size()); }

  // The way between an proxy and a zone.
  struct Link {
    bool cut = false;
    Duration delay{};
    double loss = 0;
  };
  std::function<Link(int proxy, int zone)> link_between{};
  ResponseCallback on_response{};
  // All that were out at a server that was killed.
  std::function<void(int server)> on_server_killed{};

 private:
  struct OpenRequest {
    std::uint64_t id;
    int request_class;
    Duration delay;
  };
  struct Server {
    Server(const ServerSpec& given, unsigned salt, TimePoint started, machine::DedupStore* marks,
           const machine::SharedSlowdown* harm)
        : spec(given), machine(given.capacity, given.build, salt, started, marks, harm) {}
    ServerSpec spec;
    machine::Machine machine;
    WallTime started{};
    std::unordered_map<std::int64_t, OpenRequest> open{};          // by work
    std::unordered_map<std::uint64_t, std::int64_t> work_id_of{};  // by attempt
    Engine::TaskId timer{};
    int connections = 0, max_connections = 0;
    Duration handshake_delay{};
    bool running = true, hung = false;
  };
  void record_request(const Server& server, const char* what, const ServerRequest& sent,
                      std::int64_t id);
  void schedule_completion(int server);
  void complete_due_work(int server);

  Engine& engine_;
  const deployment::Deployment& deployment_;
  machine::CancellationMode cancellation_;
  std::minstd_rand random_;
  record::Writer* record_;
  machine::DedupStore completed_keys_;
  machine::SharedSlowdown shared_slowdown_{};
  std::vector<std::unique_ptr<Server>> servers_{};
  std::deque<std::pair<TimePoint, int>> recent_arrivals_{};
  std::int64_t next_work_ = 1;
};

}  // namespace robinhoist::emulator
