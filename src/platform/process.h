/// The process of a proxy on the operators' platform.
///
/// - SIGHUP reloads the addresses of discovery and release API from the configuration file.
/// - SIGTERM and SIGINT start a graceful shutdown: the proxy keeps serving for a short time, asks
///   clients to disconnect, answers all open requests and exits with status 0.
#pragma once
#include <string>

namespace robinhoist::platform {

/// Runs until stopped by a signal and returns the exit status. Throws json::DecodeError if the
/// configuration file is not valid.
int run(const std::string& config_file);

}  // namespace robinhoist::platform
