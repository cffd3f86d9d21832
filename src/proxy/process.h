// One umpire as a process: its loop, sources, router, the operators' port, and a clean end on SIGTERM.
//   GET  /status   counters and nodes as JSON       GET /health   200 once it routes
//   POST /wrong    {node}: a client has found an answer of that node wrong
#pragma once
#include "proxy/settings.h"

namespace robinhoist::proxy {

// Runs until told to stop; returns the exit status. `epoch` is the steady clock's zero for log figures, 0 for
// the process's own start.
int run(const Settings& settings);

}  // namespace robinhoist::umpire
