/// Settings of a rollout: stages, timing and vote thresholds.
#pragma once
#include <vector>

#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// How a release advances. Fleet shares are fractions of the slots and vote shares are fractions of
/// all proxies; a vote threshold is at least one proxy.
struct Settings {
  /// For each stage, the share of slots that run the release, from 0 to 1.
  std::vector<double> stages{};
  /// For each stage, the share of a proxy's requests that may go to the release, from 0 to 1.
  std::vector<double> caps{};
  PromotionMode promotion_mode = PromotionMode::clock;
  /// The minimum duration of a stage, measured from the start of its clock.
  Duration bake{};
  /// With PromotionMode::clock: the duration of a stage, excluding time on hold.
  Duration stage_duration{};
  /// The stage clock starts this long after the last machine of the stage came up ...
  Duration settle{};
  /// ... and at the latest this long after the machines were commanded to start.
  Duration max_launch_time{};
  /// How long a machine drains before it is stopped.
  Duration drain{};
  /// How long a vote counts.
  Duration vote_lifetime{};
  double votes_to_promote = 0;
  double votes_to_hold = 0;
  double votes_to_roll_back = 0;
  /// Rate limit for the votes of all proxies together; bursts may be twice as large.
  double votes_per_s = 0;
  /// How long a released build can still be rolled back; zero: until the next build is submitted.
  Duration rollback_window{};
  /// Whether the gate of a stage is closed until it is opened explicitly.
  bool gates_closed_by_default = false;
  /// Whether each machine of an earlier build drains as soon as its replacement is up, rather than
  /// all of them once the build is released.
  bool in_place = false;
};

}  // namespace robinhoist::rollout
