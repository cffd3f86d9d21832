/// A release as announced by the controller, and the settings of its quota and analysis. Plain
/// data.
#pragma once
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

/// How a release advances to its next stage.
enum class PromotionMode {
  first_vote,  ///< with the first vote to promote
  count,       ///< with a number of votes to promote
  clock,       ///< after a fixed time, unless votes hold the stage or roll the release back
};

/// The phase of a release.
enum class ReleasePhase { canary, rolling_back, released, rolled_back };

/// A proxy's vote on a release; `none` withdraws its vote.
enum class Verdict { none, promote, hold, roll_back };

/// Limits on the canary's traffic.
struct CanaryQuotaSettings {
  Duration window;           ///< sliding window over which attempts are counted
  double uncapped_attempts;  ///< attempts in a window that are allowed in addition to the cap
  bool by_request_class;     ///< the cap applies to each request class separately
  bool sticky_keys;          ///< a key that the canary has answered is never sent to an older build
  bool in_place;             ///< the release replaces endpoints instead of adding new ones
  int idempotent_only_stages;  ///< number of first stages restricted to idempotent requests
  std::vector<double> caps;    ///< share of requests, by stage
};

/// Settings of the canary analysis and of the votes on a release.
struct AnalysisSettings {
  PromotionMode promotion_mode;
  Duration bake;                     ///< minimum duration of a stage before it may be promoted
  Duration step;                     ///< duration of a stage under PromotionMode::clock
  Duration vote_lifetime;            ///< after which a vote expires
  Duration call_timeout;             ///< longest wait for the answer to a vote
  double votes_per_s;                ///< rate limit on the votes of all proxies together
  double wrong_answer_report_share;  ///< share of wrong answers that clients report
  int proxies;                       ///< number of all proxies
  int votes_to_promote;
  int votes_to_hold;
  int votes_to_roll_back;
};

/// The state of the release now offered, as announced by the controller.
struct ReleaseUpdate {
  int build;  ///< newer builds have higher numbers
  int stage;  ///< from 0
  ReleasePhase phase;
  double cap;      ///< share of requests that the canary may get
  Duration since;  ///< time since the stage or phase began
};

}  // namespace robinhoist
