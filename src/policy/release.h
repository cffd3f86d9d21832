/// A release as its controller announces it, and the settings by which it is limited and judged.
/// Plain data.
#pragma once
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

/// What moves a release to its next stage.
enum class PromotionMode {
  first_vote,  ///< the first vote to promote
  count,       ///< a number of votes to promote
  clock,       ///< time, unless votes hold the stage or roll the release back
};

/// Where a release stands.
enum class ReleasePhase { canary, rolling_back, released, rolled_back };

/// What a proxy votes for; `none` takes its vote away.
enum class Verdict { none, promote, hold, roll_back };

/// How much traffic a canary may get.
struct CanaryQuotaSettings {
  Duration window;           ///< sliding window over which attempts are counted
  double uncapped_attempts;  ///< attempts in a window that are allowed beside the cap
  bool by_request_class;     ///< the cap holds for each request class by itself
  bool sticky_keys;  ///< a key once answered by the canary never goes back to an older build
  bool in_place;     ///< the release replaces endpoints instead of adding them beside the old
  int idempotent_only_stages;  ///< first stages that get idempotent requests only
  std::vector<double> caps;    ///< share of requests, by stage
};

/// By what a release is judged, and how votes are cast.
struct AnalysisSettings {
  PromotionMode promotion_mode;
  Duration bake;                     ///< least time of a stage before it may be promoted
  Duration step;                     ///< time of a stage under PromotionMode::clock
  Duration vote_lifetime;            ///< after which a vote expires
  Duration call_timeout;             ///< longest wait for the answer to a vote
  double votes_per_s;                ///< quota of votes for all proxies together
  double wrong_answer_report_share;  ///< part of wrong answers that clients report
  int proxies;                       ///< number of all proxies
  int votes_to_promote;
  int votes_to_hold;
  int votes_to_roll_back;
};

/// One announcement of the release now offered.
struct ReleaseUpdate {
  int build;  ///< builds are numbered upwards
  int stage;  ///< from 0
  ReleasePhase phase;
  double cap;      ///< share of requests that the canary may get
  Duration since;  ///< how long the stage or phase has lasted
};

}  // namespace robinhoist
