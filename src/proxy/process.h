/// The process of a proxy: event loop, update sources, router and admin API.
///
/// On SIGTERM or SIGINT the proxy accepts no new requests and exits once all open ones are
/// answered. A second signal makes it exit immediately.
#pragma once
#include "proxy/settings.h"

namespace robinhoist::proxy {

/// Runs until stopped by a signal. Returns the exit status: 0, or 1 if requests were left open.
int run(const Settings& settings);

}  // namespace robinhoist::proxy
