// `robinhoist request ID`: one request's whole way, from the proxies that traced it.
#pragma once

// NOLINTNEXTLINE(readability-identifier-naming): the name is that of the library CLI11
namespace CLI {
class App;
}

namespace robinhoist::cli {

// Exit status: 0 told, 1 no proxy knows it, 2 bad input or no proxy answers.
void add_trace(CLI::App& app, int& status);

}  // namespace robinhoist::cli
