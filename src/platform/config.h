// What the operators' platform tells an proxy in its configuration file: one JSON object with its
// name, its addresses, its limits, the deployment's settings, and what endpoints and releases were
// last known.
#pragma once
#include <string>
#include <string_view>

#include "module_settings/module_settings.h"
#include "registry/registry.h"

namespace robinhoist::platform {

struct Limits {
  double cores = 1, memory_mb = 0;
  int sockets = 0;
};

struct Config {
  std::string name{}, listen{}, discovery{}, release_api{};
  unsigned salt = 1;
  Limits limits{};
  module_settings::ModuleSettings module_settings{};
  registry::Update known{};
  ReleaseUpdate news{};
};

// Throws json::DecodeError naming the field and what is wrong with it.
Config decoded(std::string_view text);
Config of_file(const std::string& file);

// The platform's words, as they come in the file and on sockets alike.
registry::Update endpoints_of(const json::Value& object);
ReleaseUpdate release_update_of(const json::Value& object);

}  // namespace robinhoist::platform
