/// robinhoist_benchlink: plays the decision module in the operators' simulator, with batches of
/// messages on standard input and replies on standard output. Bad input ends it with a message on
/// standard error and exit status 2.
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.h"

namespace {

constexpr int exit_bad_input = 2;

bool is_blank(const std::string& line) {
  return line.find_first_not_of(" \t\r") == std::string::npos;
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  robinhoist::simulator_adapter::Adapter adapter;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    if (is_blank(line))
      continue;
    try {
      if (const auto reply = adapter.read(line))
        std::cout << *reply << std::flush;
    } catch (const robinhoist::json::DecodeError& bad) {
      std::cerr << "line " << number << ": " << bad.what() << std::endl;
      return exit_bad_input;
    }
  }
  return 0;
}
