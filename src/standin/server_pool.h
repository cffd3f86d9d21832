/// Stand-ins for the servers behind a proxy: HTTP servers on the loopback interface whose timing
/// and failures come from the machine model.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "deployment/deployment.h"
#include "http/server.h"
#include "machine/machine.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::standin {

struct ServerSpec {
  std::string name{}, zone{}, listen{"127.0.0.1:0"};
  int cell = 0;
  machine::Capacity capacity{};
  machine::Build build{};
  bool cold = true;
  std::string schema_query{};  ///< for is_schema_ready(); empty: the build depends on no schema
};

struct PoolSettings {
  Duration dedup_window{};               ///< of keys; the servers of the pool deduplicate together
  std::vector<Duration> default_work{};  ///< by request class, for requests without X-Work-Us
  machine::CancellationMode cancellation = machine::CancellationMode::nothing;
  std::size_t max_clients = 10000;  ///< connections that a server accepts
};

class ServerPool {
 public:
  /// `record` may be null.
  ServerPool(net::Loop& loop, const deployment::Deployment& deployment,
             const PoolSettings& settings, unsigned salt, record::Writer* record);
  ~ServerPool();

  /// Starts to listen and returns the port. Replaces a running server of the same name.
  int start(const ServerSpec& spec);
  /// Closes all connections of a server at once and removes it.
  void kill(const std::string& name);
  bool is_running(const std::string& name) const { return servers_.count(name) > 0; }
  int port(const std::string& name) const;
  WallTime started(const std::string& name) const;  ///< since 1970; 0: long ago

  /// The faults. They have no effect on a server that is not running.
  /// From here on the server accepts connections and requests, but never responds.
  void hang(const std::string& name);
  void set_slowdown(const std::string& name, double factor);
  void set_failure_share(const std::string& name, double share);
  /// Another program takes this share of the cores.
  void set_stolen_core_share(const std::string& name, double share);
  /// Accepts at most so many connections and closes idle ones beyond them; 0 restores the limit of
  /// the settings.
  void limit_connections(const std::string& name, std::size_t max_connections);
  /// Delays the response to the first request of each connection.
  void set_handshake_delay(const std::string& name, Duration delay);
  /// Health checks fail although the server serves requests.
  void set_probe_failure_share(const std::string& name, double share);
  void set_shared_slowdown(double factor) { shared_slowdown_.factor = factor; }

  /// The network between a proxy and a zone.
  struct Link {
    bool cut = false;
    Duration delay{};  ///< both directions together
    double loss = 0;   ///< share of requests whose connection is aborted
  };
  /// Called for each request; may be empty.
  std::function<Link(const std::string& proxy, const std::string& zone)> link_between{};
  /// Whether the schema that a build depends on is in place. Until then the build's answers are
  /// wrong. May be empty.
  std::function<bool(const std::string& query)> is_schema_ready{};

  struct Statistics {
    long arrived = 0, rejected = 0, completed = 0, effects = 0, collapsed = 0;
    double max_cold_load = 0;  ///< against what a cold server may be sent
  };
  Statistics statistics() const;
  /// A build's share of the requests that arrived within the last `window`.
  double share_of_traffic(int build, Duration window);
  std::vector<std::string> names() const;

 private:
  struct Server;
  void handle(Server& server, const http::ExchangePtr& exchange);
  void complete_due_work(Server& server);
  void schedule_completion(Server& server);
  void record_request(const Server& server, const char* event, const http::Request& request,
                      int request_class, std::int64_t id);

  net::Loop& loop_;
  deployment::Deployment deployment_;
  PoolSettings settings_;
  std::minstd_rand random_;
  record::Writer* record_;
  machine::DedupStore completed_keys_;
  machine::SharedSlowdown shared_slowdown_{};
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::deque<std::pair<TimePoint, int>> recent_arrivals_{};  // time and build
  std::int64_t next_id_ = 1;
  Statistics statistics_{};
};

}  // namespace robinhoist::standin
