/// `robinhoist lab ...`: experiments in simulated time.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

/// Adds the sub-commands, whose run sets `status` to the exit status: 0 done, 1 (hunt) a rule was
/// broken, 2 bad input.
void add_lab(CLI::App& app, int& status);

}  // namespace robinhoist::cli
