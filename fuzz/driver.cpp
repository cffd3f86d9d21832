// Runs a fuzz target where the compiler brings no fuzzing engine: mutates the seeds given, a fixed
// number of times from a fixed seed. Words: COUNT SEED FILE ...
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
    return std::fprintf(stderr, "words: COUNT SEED FILE ...\n"), 2;
  std::vector<std::string> seeds;
  for (int i = 3; i < argc; ++i) {
    std::ifstream in(argv[i], std::ios::binary);
    seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  std::minstd_rand random(static_cast<unsigned>(std::atol(argv[2])));
  const auto below = [&](std::size_t n) { return n == 0 ? 0 : random() % n; };
  const char odd[] = "()\"; \r\n:\0\xff,019-";
  for (long run = 0; run < std::atol(argv[1]); ++run) {
    std::string text = seeds[below(seeds.size())];
    for (std::size_t edits = 1 + below(8); edits > 0; --edits) {
      const std::size_t at = below(text.size() + 1);
      switch (below(5)) {
        case 0:
          text.insert(at, 1, odd[below(sizeof odd - 1)]);
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
          const std::string& other = seeds[below(seeds.size())];
          text.insert(at, other.substr(below(other.size() + 1), below(60)));
        }
      }
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  }
  return 0;
}
