/// The names of the policy module's enumerators as the API, logs and records have them. Some are
/// older than the terms used in the code; the tables in names.cpp are the only place of those.
#pragma once
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::rollout {

const char* api_name(ReleasePhase phase);
const char* api_name(Verdict verdict);
const char* api_name(Outcome outcome);

}  // namespace robinhoist::rollout
