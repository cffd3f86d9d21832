/// One proxy as a process: its loop, sources, router, the admin port, and a graceful end on
/// SIGTERM.
///
///   GET  /status   counters and endpoints as JSON
///   GET  /health   200 once it routes
///   POST /wrong    {node}: a client has found an answer of that endpoint wrong
#pragma once
#include "proxy/settings.h"

namespace robinhoist::proxy {

// Runs until told to stop; returns the exit status. `epoch` is the steady clock's zero for log
// figures, 0 for the process's own start.
int run(const Settings& settings);

}  // namespace robinhoist::proxy
