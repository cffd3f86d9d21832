// The controller and the list service as processes.
#pragma once
#include "controller/controller.h"
#include "deployment/deployment.h"

namespace robinhoist::controller {

Settings read(settings::SexpReader root);
int run(const Settings& settings);

struct ListSettings {
  http::ServerSettings server{};
};
ListSettings read_list(settings::SexpReader root);
int run_list(const ListSettings& settings);

}  // namespace robinhoist::controller
