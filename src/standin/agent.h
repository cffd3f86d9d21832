/// The process of `robinhoist standin`: runs stand-in servers, either a fixed set or those that a
/// controller commands, and registers them.
#pragma once
#include <string>
#include <vector>

#include "standin/server_pool.h"
#include "time/time_types.h"

namespace robinhoist::standin {

struct Settings {
  std::string registry{};    ///< an address; empty: the servers are not registered
  std::string controller{};  ///< an address; empty: `server_count` servers run the first build
  int server_count = 1;
  int first_port = 0;  ///< 0: any free ports
  Duration boot_time{};
  machine::Capacity capacity{};
  std::vector<machine::Build> builds{};
  PoolSettings pool{};
  deployment::Deployment deployment{};
};

/// Throws settings::ValidationError.
Settings read(settings::SexpReader root);

/// Runs until SIGTERM or SIGINT; returns the exit status.
int run(const Settings& settings);

}  // namespace robinhoist::standin
