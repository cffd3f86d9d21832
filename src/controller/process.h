/// The controller and the endpoint registry as processes of their own.
#pragma once
#include "controller/settings.h"
#include "http/server.h"
#include "settings/sexp_reader.h"

namespace robinhoist::controller {

/// Reads the `deployment` and `controller` sections. What is wrong with them is noted in the form,
/// which throws settings::ValidationError when it is finished.
Settings read(settings::SexpReader root);
/// Serves until SIGTERM or SIGINT. Returns the process's exit status.
int run(const Settings& settings);

/// The settings of the endpoint registry.
struct ListSettings {
  http::ServerSettings server{};
};
/// Reads the `list` section, as read() does.
ListSettings read_list(settings::SexpReader root);
/// Serves the endpoint registry until SIGTERM or SIGINT. Returns the process's exit status.
int run_list(const ListSettings& settings);

}  // namespace robinhoist::controller
