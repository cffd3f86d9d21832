/// Settings of a rollout: its stages, its timing and the votes that it takes.
#pragma once
#include <vector>

#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// How a release advances. Shares of the fleet are of its slots, shares of votes are of all
/// proxies; a vote threshold is never less than one proxy.
struct Settings {
  /// For each stage, the share of the slots that run the release, 0 to 1.
  std::vector<double> stages{};
  /// For each stage, the share of a proxy's requests that may go to the release, 0 to 1.
  std::vector<double> caps{};
  PromotionMode promotion_mode = PromotionMode::clock;
  /// The least time that a stage lasts, counted from the start of its clock.
  Duration bake{};
  /// With PromotionMode::clock: how long a stage lasts, without the time it was on hold.
  Duration stage_duration{};
  /// A stage's clock starts this long after the last of its machines came up ...
  Duration settle{};
  /// ... and at the latest this long after they were commanded to start.
  Duration max_launch_time{};
  /// A draining machine is stopped after this.
  Duration drain{};
  Duration vote_lifetime{};
  double votes_to_promote = 0;
  double votes_to_hold = 0;
  double votes_to_roll_back = 0;
  /// Votes accepted from all proxies together; twice as many in a burst.
  double votes_per_s = 0;
  /// How long a released build can still be rolled back; zero: until the next one is submitted.
  Duration rollback_window{};
  /// Whether a stage's gate is closed until it is opened explicitly.
  bool gates_closed_by_default = false;
  /// Each earlier machine drains as soon as its successor is up, rather than all at the release.
  bool in_place = false;
};

}  // namespace robinhoist::rollout
