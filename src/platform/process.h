/// A proxy on the operators' platform, as a process.
///
/// - SIGHUP: the configuration file is read again, for the addresses of discovery and release API.
/// - SIGTERM, SIGINT: it serves on for a while, asks clients to disconnect, answers all open
///   requests and exits with 0.
#pragma once
#include <string>

#include "platform/config.h"
#include "proxy/router.h"

namespace robinhoist::platform {

/// Divides the process's descriptors and memory: first the platform's own connections, then
/// endpoints and clients.
proxy::RouterSettings router_settings(const Config& config);

/// Runs until it is stopped. Returns the exit status. Throws json::DecodeError if the configuration
/// file is not valid.
int run(const std::string& config_file);

}  // namespace robinhoist::platform
