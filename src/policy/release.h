/// A release as its controller tells it, and the settings by which it is judged. Plain data.
#pragma once
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

enum class PromotionMode { first_vote, count, clock };

enum class ReleasePhase { canary, rolling_back, released, rolled_back };

enum class Verdict { none, promote, hold, roll_back };

struct CanaryQuotaSettings {
  Duration window;
  double free;
  bool by_request_class, one_way, in_place;
  int safe_only_stages;
  std::vector<double> caps;
};

struct AnalysisSettings {
  PromotionMode promotion_mode;
  Duration bake, step, vote_lifetime, call_timeout;
  double votes_per_s, wrong_answer_report_share;
  int proxies, votes_to_promote, votes_to_hold, votes_to_roll_back;
};

struct ReleaseUpdate {
  int build, stage;
  ReleasePhase phase;
  double cap;
  Duration since;
};

}  // namespace robinhoist
