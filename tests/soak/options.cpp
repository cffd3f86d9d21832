#include "options.h"

#include <charconv>

namespace robinhoist::soak {
namespace {

constexpr long max_seed = 1'000'000'000;

long parse_seed(const std::string& text) {
  long seed = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, seed);
  if (error != std::errc{} || stopped != end || seed < 1 || seed > max_seed)
    throw UsageError("--seeds: '" + text + "' is not a number from 1 to " +
                     std::to_string(max_seed));
  return seed;
}

void read_seeds(const std::string& text, Options& options) {
  const std::size_t dash = text.find('-', 1);
  options.first_seed = parse_seed(text.substr(0, dash));
  options.last_seed =
      dash == std::string::npos ? options.first_seed : parse_seed(text.substr(dash + 1));
  if (options.last_seed < options.first_seed)
    throw UsageError("--seeds: '" + text + "' ends before it begins");
}

}  // namespace

Options parse_options(const std::vector<std::string>& arguments) {
  Options options;
  for (auto argument = arguments.begin(); argument != arguments.end(); ++argument) {
    if (*argument == "--check") {
      options.check_only = true;
    } else if (*argument == "--rows") {
      options.rows_only = true;
    } else if (*argument != "--seeds" && *argument != "--out") {
      throw UsageError("unknown option '" + *argument + "': use --seeds FIRST[-LAST], --out DIR");
    } else if (argument + 1 == arguments.end()) {
      throw UsageError(*argument + " needs a value");
    } else if (*argument == "--seeds") {
      read_seeds(*++argument, options);
    } else {
      options.folder = *++argument;
    }
  }
  return options;
}

}  // namespace robinhoist::soak
