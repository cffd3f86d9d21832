/// One proxy as a process: event loop, sources, router and admin API.
///
/// On SIGTERM or SIGINT it accepts no new requests and exits once all open ones are answered. A
/// second signal makes it exit at once.
#pragma once
#include "proxy/settings.h"

namespace robinhoist::proxy {

/// Runs until it is stopped. Returns the exit status: 0, or 1 if requests were left open.
int run(const Settings& settings);

}  // namespace robinhoist::proxy
