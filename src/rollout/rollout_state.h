/// The persistent part of a rollout and its JSON encoding.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "policy/release.h"
#include "rollout/machine_set.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// A snapshot of a rollout. It does not include stage clocks and votes: a resumed stage lasts its
/// full duration again, and proxies renew their votes.
struct RolloutState {
  int build = -1;
  int stage = 0;
  int baseline = -1;
  int newest_build = 0;
  int next_machine = 0;
  int version = 1;
  ReleasePhase phase = ReleasePhase::released;
  /// The time since the phase began, when the snapshot was taken.
  Duration phase_age{};
  bool stage_started = false;
  bool held_by_operator = false;
  std::optional<int> queued_build{};
  std::map<int, Machine> machines{};
  std::map<int, ReleasePhase> past_outcomes{};
};

/// Encodes a snapshot as the JSON text stored in the journal.
std::string encode(const RolloutState& state);

/// Decodes the output of encode(). Throws json::DecodeError on any other text.
RolloutState decode_state(const std::string& text);

}  // namespace robinhoist::rollout
