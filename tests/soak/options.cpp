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

Options parse_options(const std::vector<std::string>& words) {
  Options options;
  for (auto word = words.begin(); word != words.end(); ++word) {
    if (*word == "--check") {
      options.check_only = true;
    } else if (*word == "--rows") {
      options.rows_only = true;
    } else if (*word != "--seeds" && *word != "--out") {
      throw UsageError("unknown option '" + *word + "': use --seeds FIRST[-LAST], --out DIR");
    } else if (word + 1 == words.end()) {
      throw UsageError(*word + " needs a value");
    } else if (*word == "--seeds") {
      read_seeds(*++word, options);
    } else {
      options.folder = *++word;
    }
  }
  return options;
}

}  // namespace robinhoist::soak
