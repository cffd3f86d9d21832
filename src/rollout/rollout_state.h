/// The part of a rollout that outlives the controller's process, and its JSON form.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "policy/release.h"
#include "rollout/machine_set.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// A snapshot of a rollout. Stage clocks and votes are not in it: a stage that is resumed lasts its
/// whole time again, and proxies renew their votes.
struct RolloutState {
  int build = -1;
  int stage = 0;
  int baseline = -1;
  int newest_build = 0;
  int next_machine = 0;
  int version = 1;
  ReleasePhase phase = ReleasePhase::released;
  /// How long the phase had lasted when the snapshot was taken.
  Duration since{};
  bool stage_started = false;
  bool held_by_operator = false;
  std::optional<int> queued_build{};
  std::map<int, Machine> machines{};
  std::map<int, ReleasePhase> past_outcomes{};
};

/// The snapshot as JSON, as the journal stores it.
std::string encode(const RolloutState& state);

/// What encode() gave. Throws json::DecodeError on anything else.
RolloutState decode_state(const std::string& text);

}  // namespace robinhoist::rollout
