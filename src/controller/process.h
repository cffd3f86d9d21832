/// Entry points of the controller and endpoint registry processes.
#pragma once
#include "controller/settings.h"
#include "http/server.h"
#include "settings/sexp_reader.h"

namespace robinhoist::controller {

/// Reads the `deployment` and `controller` sections. Problems are collected in the reader, which
/// throws settings::ValidationError when it is finished.
Settings read(settings::SexpReader root);
/// Runs the controller until SIGTERM or SIGINT. Returns the exit status of the process.
int run(const Settings& settings);

/// The settings of the endpoint registry.
struct RegistrySettings {
  http::ServerSettings server{};
};
/// Reads the `list` section. Reports problems like read().
RegistrySettings read_registry_settings(settings::SexpReader root);
/// Runs the endpoint registry until SIGTERM or SIGINT. Returns the exit status of the process.
int run_registry(const RegistrySettings& settings);

}  // namespace robinhoist::controller
