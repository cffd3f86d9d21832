// The words of the module's values as the API, logs and records have them.
#pragma once
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::rollout {

const char* to_string(ReleasePhase phase);
const char* to_string(Verdict verdict);
const char* to_string(Outcome outcome);

}  // namespace robinhoist::rollout
