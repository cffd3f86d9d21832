/// The environment of a scenario, all but its proxies and clients: the registry, the controller and
/// the stand-in servers, on one event loop, and the faults that act on them.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "controller/controller.h"
#include "day/scenario.h"
#include "record/record.h"
#include "registry/service.h"
#include "standin/database.h"
#include "standin/server_pool.h"
#include "time/time_types.h"

namespace robinhoist::day {

class Environment {
 public:
  /// Starts the registry and the controller, which starts the first servers. The database, if the
  /// scenario has one, runs on a loop of its own, so that a long step does not stop the servers.
  /// `folder` holds the controller's journal and the database file.
  Environment(net::Loop& loop, net::Loop& database_loop, const Scenario& scenario, unsigned salt,
              const log::Logger& log, record::Writer& server_events, record::Writer& proxy_updates,
              const std::string& folder, record::Writer* database_events);
  ~Environment();

  int registry_port() const { return registry_->port(); }
  int controller_port() const { return controller_port_; }
  /// Schedules the scenario's faults and releases relative to `start_time`.
  void start(TimePoint start_time);
  /// Whether a server is registered in every slot.
  bool all_servers_registered() const;

 private:
  /// A machine that the controller started, by its id.
  struct Machine {
    std::string name;
    int slot, build;
    bool registered = false, draining = false;
  };

  void start_controller();
  void execute(const rollout::Command& command);
  void boot(int machine, bool cold);
  void stop(int machine, bool silently);
  void register_endpoint(int machine);
  const machine::Build& build(int number) const;

  void begin_fault(const Fault& fault);
  std::vector<int> pick_running(double share);
  void for_each_name(const std::vector<int>& machines,
                     const std::function<void(const std::string&)>& act);
  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Duration sample_between(Duration min, Duration max);

  void submit(const ScheduledRelease& release);
  void update_shared_slowdown();
  void record_rollout_changes();
  void record_endpoint_update(const std::string& proxy, const registry::Update& update);
  void record_release_update(const std::string& proxy, const objects::Snapshot& snapshot);

  net::Loop& loop_;
  const Scenario& scenario_;
  const log::Logger& log_;
  record::Writer& proxy_updates_;
  std::minstd_rand random_;
  std::unique_ptr<standin::ServerPool> servers_;
  std::unique_ptr<registry::Service> registry_;
  std::unique_ptr<standin::Database> database_{};
  std::unique_ptr<standin::DatabaseReader> database_reader_{};
  std::unique_ptr<controller::Controller> controller_{};  // null while it is down
  int controller_port_ = 0;
  std::string folder_;
  std::map<int, Machine> machines_{};
  std::map<int, double> speeds_{};                   // by slot
  std::size_t recorded_changes_ = 0;                 // of the rollout
  std::deque<Duration> database_busy_{};             // the last readings of its busy time
  std::map<std::string, int> newest_known_build_{};  // by proxy
  std::string cut_zone_{}, slow_zone_{};
  Duration link_delay_{};
  double link_loss_ = 0;
};

/// A proxy's zone follows from its number.
std::string zone_of(const Scenario& scenario, int proxy);

}  // namespace robinhoist::day
