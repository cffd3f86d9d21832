// A scripted day: fleet, load, releases and troubles of one deployment, read from S-expressions.
// The notation is described in days/README.md.
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
  vanish,
  slow,
  fast_errors,
  neighbour,
  probe_fail,
  connection_squeeze,
  slow_handshakes,
  slow_link,
  zone_cut,
  burst,
  hot_caller,
  bad_requests,
  retry_abuse,
  stale_list,
  proxy_crash,
  proxy_roll,
  controller_down,
  controller_crash,
  watch_breaks
};

struct Fault {
  FaultKind kind;
  Duration at{}, duration{};
  double target_share = 0, magnitude = 0, extra = 0;  // what they mean follows from the kind
  std::string mode{}, zone{}, tenant{};
};

struct ScheduledRelease {
  Duration at{};
  machine::Build build{};
  std::string needs{};  // a query that says whether its tables are ready; empty: it needs none
  std::string plan{};   // its steps, as text
  std::vector<std::string> steps{};  // their ids, in order
};

struct Scenario {
  deployment::Deployment deployment{};
  std::string deployment_text{};  // where it came from, for the proxies' own files
  Duration length{};
  int server_slots = 1, cell_size = 4;
  machine::Build initial_build{};
  machine::Capacity capacity{};
  double speed_spread = 0;
  Duration min_boot_time{}, max_boot_time{};
  machine::Cancelled cancellation = machine::Cancelled::nothing;
  Duration min_registry_delay{}, max_registry_delay{},
      silent_removal_delay{};  // how late the list is told, and of a silent endpoint
  Duration min_publish_delay{}, max_publish_delay{};
  Duration min_report_delay{}, max_report_delay{};
  double false_report_share = 0;
  Duration answer_slack{};
  bool database = false;
  std::string database_setup{};
  double batch_slowdown = 1;  // all endpoints, by so many times while the database runs a batch
  bool throttle_backfills = true;
  load::Settings load{};
  std::vector<ScheduledRelease> releases{};
  std::vector<Fault> faults{};
};

Scenario read(settings::SexpReader root);
const char* to_string(FaultKind kind);

}  // namespace robinhoist::day
