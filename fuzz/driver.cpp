// Runs a fuzz target with compilers that have no fuzzing engine: mutates the given input files a
// fixed number of times, with a fixed random seed. Arguments: COUNT SEED FILE ...
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  if (argc < 4)
    return std::fprintf(stderr, "usage: driver COUNT SEED FILE ...\n"), 2;
  std::vector<std::string> inputs;
  for (int i = 3; i < argc; ++i) {
    std::ifstream in(argv[i], std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  std::minstd_rand random(static_cast<unsigned>(std::atol(argv[2])));
  const auto below = [&](std::size_t n) { return n == 0 ? 0 : random() % n; };
  const char special[] = "()\"; \r\n:\0\xff,019-";
  for (long run = 0; run < std::atol(argv[1]); ++run) {
    std::string text = inputs[below(inputs.size())];
    for (std::size_t edits = 1 + below(8); edits > 0; --edits) {
      const std::size_t at = below(text.size() + 1);
      switch (below(5)) {
        case 0:
          text.insert(at, 1, special[below(sizeof special - 1)]);
          break;
        case 1:
          if (at < text.size())
            text[at] = static_cast<char>(random());
          break;
        case 2:
          text.erase(at, 1 + below(20));
          break;
        case 3:
          text.insert(at, text.substr(below(text.size() + 1), below(40)));
          break;
        default: {
          const std::string& other = inputs[below(inputs.size())];
          text.insert(at, other.substr(below(other.size() + 1), below(60)));
        }
      }
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  }
  return 0;
}
