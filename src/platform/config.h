/// The configuration file of a proxy on the operators' platform: one JSON object with its name, its
/// addresses, its limits, the deployment's settings, and the endpoints and the release that were
/// last known. Also the decoding of endpoint lists and releases, which come the same way on
/// sockets.
#pragma once
#include <string>
#include <string_view>

#include "json/reader.h"
#include "module_settings/module_settings.h"
#include "policy/release.h"
#include "registry/registry.h"

namespace robinhoist::platform {

/// What the process may use.
struct Limits {
  double cores = 1;
  double memory_mb = 0;
  int sockets = 0;  ///< file descriptors in all
};

/// Addresses are host:port.
struct Config {
  std::string name{};
  std::string listen{};
  std::string discovery{};
  std::string release_api{};
  unsigned seed = 1;  ///< seed of the random generators
  Limits limits{};
  module_settings::ModuleSettings module_settings{};
  registry::Update known_endpoints{};
  ReleaseUpdate known_release{};
};

/// Throws json::DecodeError naming the field and what is wrong with it.
Config decode_config(std::string_view text);
/// The same of a file, which the error names too.
Config read_config(const std::string& file);

/// Throws json::DecodeError.
registry::Update decode_endpoints(const json::Value& object);
/// Throws json::DecodeError.
ReleaseUpdate decode_release(const json::Value& object);

}  // namespace robinhoist::platform
