/// The names of the policy module's enumerators as the API, logs and records have them. Some are
/// older than the terms used in the code; the tables in names.cpp are the only place of those.
#pragma once
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::rollout {

const char* to_string(ReleasePhase phase);
const char* to_string(Verdict verdict);
const char* to_string(Outcome outcome);

}  // namespace robinhoist::rollout
