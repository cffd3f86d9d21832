/// The proxy on the operators' platform, as a process.
///
///   SIGHUP   the file is read again: discovery and the release API may have moved
///   SIGTERM  serves on for the restart's window, asks clients to leave, answers all it holds,
///   exits 0
#pragma once
#include <string>

#include "platform/config.h"
#include "proxy/router.h"

namespace robinhoist::platform {

// From the told limits: descriptors for endpoints and the platform before any for clients, buffers
// by the protocol's sizes.
proxy::RouterSettings router_settings(const Config& config);

// Runs until told to stop; returns the exit status. Throws json::DecodeError where the file is no
// good.
int run(const std::string& config_file);

}  // namespace robinhoist::platform
