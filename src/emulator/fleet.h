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
struct Sent {
  std::uint64_t id = 0;  // of the proxies' book of attempts
  int proxy = 0, request_class = 0, attempt = 0;
  long request_id = 0;
  std::int64_t try_id = 0;
  Duration work{};
  std::string key{};
  bool poison = false, first = false;  // first: on its connection
};

struct Answer {
  enum class Is { well, failed, full, broken } is = Is::well;
  bool right = true;
  double busy = 0;
  int held = -1;  // -1: no report came with it
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
  using Answered = std::function<void(std::uint64_t attempt, const Answer& answer)>;
  Fleet(Engine& engine, const deployment::Deployment& deployment, Duration memory,
        machine::Cancelled cancelled, unsigned salt, record::Writer* record);

  int start(const ServerSpec& spec);  // its index, never used again
  void kill(int server);
  bool runs(int server) const { return servers_[server]->runs; }
  const ServerSpec& spec(int server) const { return servers_[server]->spec; }
  WallTime started(int server) const { return servers_[server]->started; }  // 0: long ago
  // Arrives there now. The answer leaves through `answered`, the way back not included; a server
  // that is gone is a matter for whoever connects.
  void arrive(int server, const Sent& sent);
  // The connection that carried it is closed.
  void gone(int server, std::uint64_t id);
  // Connections that a server holds, and the most that it takes; 0: any number.
  int& connections(int server) { return servers_[server]->connections; }
  int max_connections(int server) const { return servers_[server]->most; }

  void silence(int server);
  void slow(int server, double times) { servers_[server]->machine.slowed(times); }
  void fail(int server, double share) { servers_[server]->machine.failing(share); }
  void neighbour(int server, double share) { servers_[server]->machine.neighbour(share); }
  void squeeze(int server, int most) { servers_[server]->most = most; }
  void slow_handshake(int server, Duration by) { servers_[server]->handshake = by; }
  void harm_all(double factor) { harm_.factor = factor; }
  double share_of_traffic(int build, Duration window);
  int size() const { return static_cast<int>(servers_.size()); }

  // The way between an proxy and a zone.
  struct Way {
    bool cut = false;
    Duration by{};
    double lost = 0;
  };
  std::function<Way(int proxy, int zone)> way{};
  Answered answered{};
  // All that were out at a server that was killed.
  std::function<void(int server)> killed{};

 private:
  struct Open {
    std::uint64_t id;
    int request_class;
    Duration by;
  };
  struct Server {
    Server(const ServerSpec& given, unsigned salt, TimePoint started, machine::Marks* marks,
           const machine::SharedHarm* harm)
        : spec(given), machine(given.capacity, given.build, salt, started, marks, harm) {}
    ServerSpec spec;
    machine::Machine machine;
    WallTime started{};
    std::unordered_map<std::int64_t, Open> open{};              // by work
    std::unordered_map<std::uint64_t, std::int64_t> work_of{};  // by attempt
    Engine::Id timer{};
    int connections = 0, most = 0;
    Duration handshake{};
    bool runs = true, silent = false;
  };
  void note(const Server& server, const char* what, const Sent& sent, std::int64_t id);
  void plan(int server);
  void finish(int server);

  Engine& engine_;
  const deployment::Deployment& deployment_;
  machine::Cancelled cancelled_;
  std::minstd_rand random_;
  record::Writer* record_;
  machine::Marks marks_;
  machine::SharedHarm harm_{};
  std::vector<std::unique_ptr<Server>> servers_{};
  std::deque<std::pair<TimePoint, int>> lately_{};
  std::int64_t next_work_ = 1;
};

}  // namespace robinhoist::emulator
