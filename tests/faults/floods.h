/// Small or unsound requests that a client sends at full speed.
#pragma once
#include <vector>

#include "faults/flooder.h"

namespace robinhoist::faults {

struct Flood {
  const char* name;
  bool is_forwarded;  ///< sound requests take the time that it takes to serve them
  Flooder::Next next;
};

/// All kinds. The names of classes are those of tests/platform/config.json.
const std::vector<Flood>& floods();

}  // namespace robinhoist::faults
