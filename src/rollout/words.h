// The words of the module's values as the API, logs and records have them.
#pragma once
#include "state.h"

namespace robinhoist::rollout {

const char* word(ReleasePhase phase);
const char* word(Verdict verdict);
const char* word(Outcome outcome);

}  // namespace robinhoist::rollout
