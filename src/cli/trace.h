/// `robinhoist txn ID`: the trace of one request, from the proxies that sampled it.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

/// Adds the sub-command, whose run sets `status` to the exit status: 0 found, 1 no proxy has the
/// trace, 2 bad input or no proxy responds.
void add_trace(CLI::App& app, int& status);

}  // namespace robinhoist::cli
