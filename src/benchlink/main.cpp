// robinhoist_benchlink: the module on the bench's wire, batches on standard input, replies on
// standard output.
#include <iostream>

#include "benchlink/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  robinhoist::benchlink::Wire wire;
  std::string line, reply;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos)
      continue;
    try {
      if (!wire.read(line, reply))
        continue;
    } catch (const robinhoist::benchlink::DecodeError& bad) {
      std::cerr << "line " << number << ": " << bad.what() << std::endl;
      return 2;
    }
    std::cout << reply << std::flush;
  }
  return 0;
}
