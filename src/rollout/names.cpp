#include "rollout/names.h"

namespace robinhoist::rollout {

const char* api_name(ReleasePhase phase) {
  static const char* const names[] = {"trial", "going-back", "released", "withdrawn"};
  return names[static_cast<int>(phase)];
}

const char* api_name(Verdict verdict) {
  static const char* const names[] = {"none", "on", "hold", "back"};
  return names[static_cast<int>(verdict)];
}

const char* api_name(Outcome outcome) {
  static const char* const names[] = {"ok",    "error",     "full", "timeout", "no-connection",
                                      "reset", "cancelled", "moot", "unknown"};
  return names[static_cast<int>(outcome)];
}

}  // namespace robinhoist::rollout
