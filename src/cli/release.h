/// `robinhoist release ...`: creates, inspects, watches and controls releases.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

/// Adds the sub-commands, whose run sets `status` to the exit status: 0 done, 1 rejected, 2 bad
/// input or no response from the controller, 3 (watch --until-done) the release was rolled back.
void add_release(CLI::App& app, int& status);

}  // namespace robinhoist::cli
