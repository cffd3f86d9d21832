/// A scenario: the fleet, load, releases and faults of one deployment, over a set length of time.
///
/// Read from S-expressions in a .day file; days/README.md describes the notation.
#pragma once
#include <string>
#include <vector>

#include "deployment/deployment.h"
#include "load/load.h"
#include "machine/machine.h"
#include "time/time_types.h"

namespace robinhoist::day {

enum class FaultKind {
  crash,
  vanish,  ///< a crash that leaves connections open and is noticed late
  slow,
  fast_errors,
  neighbour,  ///< another program takes a share of the cores, on and off
  probe_fail,
  connection_squeeze,  ///< the servers accept fewer connections
  slow_handshakes,
  slow_link,
  zone_cut,
  burst,
  hot_caller,  ///< a few proxies get a share of all traffic
  bad_requests,
  retry_abuse,
  stale_list,
  proxy_crash,
  proxy_roll,  ///< a rolling restart
  controller_down,
  controller_crash,
  watch_breaks
};

struct Fault {
  FaultKind kind;
  Duration at{}, duration{};
  double target_share = 0;  ///< of the servers or proxies that are running
  /// The meaning of these two depends on the kind: `magnitude` is a factor, a share, a count or a
  /// time in seconds, `extra` the kind's second figure.
  double magnitude = 0, extra = 0;
  std::string mode{}, zone{}, tenant{};
};

struct ScheduledRelease {
  Duration at{};
  machine::Build build{};
  std::string needs{};  ///< a query that is true once the schema is ready for this build, or empty
  std::string plan{};   ///< the migration plan as text
  std::vector<std::string> steps{};  ///< ids of the plan's steps, in order
};

struct Scenario {
  deployment::Deployment deployment{};
  /// The source of `deployment`, which the proxies' settings files include.
  std::string deployment_text{};
  Duration length{};
  int server_slots = 1, cell_size = 4;
  machine::Build initial_build{};
  machine::Capacity capacity{};
  double speed_spread = 0;
  Duration min_boot_time{}, max_boot_time{};
  machine::CancellationMode cancellation = machine::CancellationMode::nothing;
  Duration min_registry_delay{}, max_registry_delay{};  ///< until proxies receive a change
  Duration silent_removal_delay{};  ///< until the registry removes a server that does not respond
  Duration min_publish_delay{}, max_publish_delay{};  ///< of the controller's release updates
  Duration min_report_delay{}, max_report_delay{};    ///< of clients' reports of wrong answers
  double false_report_share = 0;                      ///< of right answers reported as wrong
  Duration answer_slack{};
  bool database = false;
  std::string database_setup{};
  double batch_slowdown = 1;  ///< of all servers while the database runs a batch
  bool throttle_backfills = true;
  load::Settings load{};
  std::vector<ScheduledRelease> releases{};
  std::vector<Fault> faults{};
};

/// Throws settings::ValidationError.
Scenario read(settings::SexpReader root);
const char* to_string(FaultKind kind);

}  // namespace robinhoist::day
