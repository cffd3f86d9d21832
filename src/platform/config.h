/// The configuration file of a proxy on the operators' platform: one JSON object with the proxy's
/// name, addresses and resource limits, the deployment's settings, and the last known endpoints and
/// release. The decoders of endpoint lists and releases are also used for the watch streams, which
/// have the same format.
#pragma once
#include <string>
#include <string_view>

#include "json/reader.h"
#include "module_settings/module_settings.h"
#include "policy/release.h"
#include "registry/registry.h"

namespace robinhoist::platform {

/// Resource limits of the process.
struct Limits {
  double cores = 1;
  double memory_mb = 0;
  int sockets = 0;  ///< limit on all open file descriptors
};

/// Addresses are host:port.
struct Config {
  std::string name{};
  std::string listen{};
  std::string discovery{};
  std::string release_api{};
  unsigned seed = 1;  ///< of the random generators
  Limits limits{};
  module_settings::ModuleSettings module_settings{};
  registry::Update known_endpoints{};
  ReleaseUpdate known_release{};
};

/// Decodes the text of a configuration file. Throws json::DecodeError with the field's name and
/// what is wrong with it.
Config decode_config(std::string_view text);
/// Reads and decodes a configuration file. Throws json::DecodeError with the file's name as well.
Config read_config(const std::string& file);

/// Throws json::DecodeError.
registry::Update decode_endpoints(const json::Value& object);
/// Throws json::DecodeError.
ReleaseUpdate decode_release(const json::Value& object);

}  // namespace robinhoist::platform
