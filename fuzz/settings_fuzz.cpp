// Fuzz target: the settings reader must accept or reject any input without a crash.
#include <cstddef>
#include <cstdint>
#include <string>

#include "proxy/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    robinhoist::proxy::read(robinhoist::settings::SexpReader::from_text(
        std::string(reinterpret_cast<const char*>(data), size), "fuzz"));
  } catch (const robinhoist::settings::ValidationError&) {
    // Invalid input was rejected.
  }
  return 0;
}
