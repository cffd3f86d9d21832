// `robinhoist steps ...`: plans looked at without a controller, and a controller's steps seen and
// steered.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

// Adds the sub-command; `status` gets the exit status of whichever ran. Exit status: 0 done, 1
// refused or not all done, 2 bad input or no controller, 3 a step waits for the operator.
void add_steps(CLI::App& app, int& status);

}  // namespace robinhoist::cli
