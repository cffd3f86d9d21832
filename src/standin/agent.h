// A process of stand-in servers: started from settings, or as a controller orders; each is put on
// the list.
#pragma once
#include <string>
#include <vector>

#include "standin/nodes.h"
#include "time/time_types.h"

namespace robinhoist::standin {

struct Settings {
  std::string list{}, orders_from{};  // addresses; without orders `build` runs on all endpoints
  int nodes = 1, first_port = 0;      // 0: any ports
  Duration boot{};
  machine::Capacity capacity{};
  std::vector<machine::Build> builds{};
  Shared shared{};
  deployment::Deployment deployment{};
};

Settings read(settings::SexpReader root);

int run(const Settings& settings);

}  // namespace robinhoist::standin
