// All of a day that is not proxies or clients, on one loop: the list, the controller, and stand-in
// servers that boot, break and come back.
#pragma once
#include <deque>
#include <random>
#include <set>

#include "controller/controller.h"
#include "day/scenario.h"
#include "record/record.h"
#include "registry/service.h"
#include "standin/database.h"
#include "standin/nodes.h"
#include "time/time_types.h"

namespace robinhoist::day {

class World {
 public:
  // The database, where the day has one, runs on a loop of its own: a long step must not stop the
  // endpoints.
  World(net::Loop& loop, net::Loop& database_loop, const Scenario& day, unsigned salt,
        const log::Logger& log, record::Writer& nodes, record::Writer& told,
        const std::string& folder, record::Writer* database);
  ~World();

  int list_port() const { return list_->port(); }
  int controller_port() const { return controller_port_; }
  // Plans what falls due in the day; `from` is when the day starts.
  void begin(TimePoint from);
  bool all_up() const;
  const standin::Nodes& nodes() const { return *nodes_; }

 private:
  struct Place {  // a machine of the controller's, by its id
    std::string name;
    int place, build;
    bool listed = false, ordered_down = false;
  };
  void execute(const rollout::Command& command);
  void boot(int machine, bool cold);
  void down(int machine, bool silently);
  void enlist(int machine);
  const machine::Build& build(int number) const;
  std::vector<int> pick(double part);
  void begin_trouble(const Fault& trouble);
  void each(const std::vector<int>& machines, const std::function<void(const std::string&)>& act);
  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Duration drawn(Duration least, Duration most);
  void told_list(const std::string& proxy, const registry::Update& news);
  void told_news(const std::string& proxy, const objects::Snapshot& what);
  void watch_changes();
  void share_harm();
  void start_controller();
  void offer(const ScheduledRelease& offer);

  net::Loop& loop_;
  const Scenario& day_;
  const log::Logger& log_;
  record::Writer& told_;
  std::minstd_rand random_;
  std::unique_ptr<standin::Nodes> nodes_;
  std::unique_ptr<registry::Service> list_;
  std::unique_ptr<standin::Database> database_{};
  std::unique_ptr<standin::Reader> reader_{};
  std::unique_ptr<controller::Controller> controller_{};
  int controller_port_ = 0;
  std::string folder_;
  std::map<int, Place> places_{};
  std::map<int, double> speeds_{};  // by place
  std::size_t changes_ = 0;
  std::deque<Duration> busy_{};               // of the database, the last few readings
  std::map<std::string, int> newest_told_{};  // build, by proxy
  std::string cut_zone_{}, slow_zone_{};
  Duration link_by_{};
  double link_lost_ = 0;
  TimePoint from_{};
};

// The proxy's zone follows from its number.
std::string zone_of(const Scenario& day, int proxy);

}  // namespace robinhoist::day
