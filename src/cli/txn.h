// `robinhoist txn ID`: one txn's whole way, from the umpires that traced it.
#pragma once

namespace CLI {
class App;
}

namespace robinhoist::cli {

// Exit status: 0 told, 1 no umpire knows it, 2 bad input or no umpire answers.
void add_trace(CLI::App& app, int& status);

}  // namespace robinhoist::cli
