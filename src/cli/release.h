// `robinhoist release ...`: releases created, seen, watched and steered from the command line.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

// Exit status: 0 done, 1 refused, 2 bad input or no controller, 3 (watch --until-done) the release
// was sent back.
void add_release(CLI::App& app, int& status);

}  // namespace robinhoist::cli
