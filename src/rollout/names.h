/// The external names of the policy module's enumerators, as used by the API, logs and records.
/// Some of them predate the terms used in the code. The tables in names.cpp are the only mapping
/// between the two.
#pragma once
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::rollout {

const char* api_name(ReleasePhase phase);
const char* api_name(Verdict verdict);
const char* api_name(Outcome outcome);

}  // namespace robinhoist::rollout
