/// `robinhoist steps ...`: checks migration plans, and shows and controls a controller's steps.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

/// Adds the sub-commands, whose run sets `status` to the exit status: 0 done, 1 rejected or not all
/// steps done, 2 bad input or no response from the controller, 3 a step waits for the operator.
void add_steps(CLI::App& app, int& status);

}  // namespace robinhoist::cli
