// Fuzz target: the settings reader must refuse or read whatever it gets, and never crash.
#include <cstddef>
#include <cstdint>
#include <string>

#include "proxy/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    robinhoist::proxy::read(robinhoist::settings::SexpReader::from_text(
        std::string(reinterpret_cast<const char*>(data), size), "fuzz"));
  } catch (const robinhoist::settings::ValidationError&) {
  }
  return 0;
}
