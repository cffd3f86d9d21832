/// robinhoist_benchlink: connects the decision module to the operators' simulator. It reads batches
/// of messages from standard input and writes replies to standard output. On invalid input it
/// prints a message to standard error and exits with status 2.
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.h"

namespace {

constexpr int exit_invalid_input = 2;

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
    } catch (const robinhoist::json::DecodeError& error) {
      std::cerr << "line " << number << ": " << error.what() << std::endl;
      return exit_invalid_input;
    }
  }
  return 0;
}
