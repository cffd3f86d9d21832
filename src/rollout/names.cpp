#include "rollout/names.h"

namespace robinhoist::rollout {

const char* to_string(ReleasePhase phase) {
  static const char* const names[] = {"trial", "going-back", "released", "withdrawn"};
  return names[static_cast<int>(phase)];
}

const char* to_string(Verdict verdict) {
  static const char* const names[] = {"none", "on", "hold", "back"};
  return names[static_cast<int>(verdict)];
}

const char* to_string(Outcome outcome) {
  static const char* const names[] = {"ok",    "error",     "full", "timeout", "no-connection",
                                      "reset", "cancelled", "moot", "unknown"};
  return names[static_cast<int>(outcome)];
}

}  // namespace robinhoist::rollout
