/// Canary analysis: collects evidence on a release, stage by stage, and draws a verdict from it.
///
/// The evidence are the ended attempts of this proxy and the reports of wrong answers. judge()
/// runs the checks in a fixed order; the first that fails decides:
///
/// 1. fleet slowdown (fleet_slowdown_check.h)
/// 2. ageing (ageing_check.h)
/// 3. failures, in all and by request class (failure_check.h)
/// 4. wrong answers (wrong_answer_check.h)
/// 5. latency (latency_check.h)
/// 6. answers for the time waited (answer_rate_check.h)
///
/// If none fails, a judged stage is promoted where votes move the release, and held for a few
/// seconds where a clock does and the evidence is thin or suspicious.
#pragma once
#include <optional>
#include <set>
#include <vector>

#include "policy/answer_rate_check.h"
#include "policy/cohort_statistics.h"
#include "policy/endpoint_set.h"
#include "policy/fleet_slowdown_check.h"
#include "policy/latency_check.h"
#include "policy/request.h"
#include "policy/wrong_answer_check.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Evidence on the release now offered, and the verdict drawn from it.
class CanaryAnalysis {
 public:
  CanaryAnalysis(const AnalysisSettings& settings, int request_classes);

  /// The release has changed or was read again.
  void release_updated(const ReleaseUpdate& release, TimePoint now);
  /// An attempt at an endpoint of this build has ended.
  void attempt_ended(int build, const Sample& sample);
  /// An attempt was sent to a warm endpoint of this build, and how it ended.
  void attempt_sent(AttemptKey key, int build, int endpoint, TimePoint now) {
    answer_rate_.attempt_sent(key, under_analysis(build), endpoint, now);
  }
  void wait_ended(AttemptKey key, Outcome outcome, TimePoint now);
  /// An answer of this build was passed on to its client.
  void answer_passed_on(int build) { wrong_answers_.answer_passed_on(build); }
  /// A client reported an answer of this build as wrong.
  void wrong_answer_reported(int build) { wrong_answers_.wrong_answer_reported(build); }

  /// Whether the build is the one being judged: as a canary, or released while this proxy looked
  /// on and still to be rolled back.
  bool under_analysis(int build) const;
  /// The verdict at this time. Verdict::roll_back stands until the next build is offered or, where
  /// many votes must agree, until the next stage. `canary_requests_per_s` are expected to go to the
  /// canary; `load` is in requests per second for each endpoint's worth of capacity.
  AnalysisResult judge(const std::vector<EndpointState>& endpoints, double canary_requests_per_s,
                       double load, TimePoint now);
  /// The release as last updated; nothing before the first update.
  const std::optional<ReleaseUpdate>& release() const { return release_; }

 private:
  struct Cohorts {
    CohortStatistics canary;
    CohortStatistics baseline;
    CohortStatistics recent_baseline;
    std::set<int> excluded_tenants;
  };

  bool many_votes() const { return settings_.votes_to_roll_back > 1; }
  bool judgeable() const;
  CheckContext context_of_checks() const;
  AnalysisResult roll_back(const CheckResult& failed);
  Cohorts collect_cohorts(TimePoint now) const;
  void exclude_unhealthy_endpoints(Cohorts& cohorts, bool comparable) const;
  StageProgress stage_progress(const std::vector<EndpointState>& endpoints, TimePoint now) const;
  AnalysisResult without_failed_test(const AttemptTotals& canary, const StageProgress& stage,
                                     bool suspicious, double canary_requests_per_s, TimePoint now);
  bool must_hold(double attempts, const StageProgress& stage, bool suspicious,
                 double canary_requests_per_s, TimePoint now);

  AnalysisSettings settings_;
  int request_classes_;
  double significance_;  // p-value under which this proxy's evidence speaks
  std::optional<ReleaseUpdate> release_{};
  bool seen_as_canary_ = false;
  AnalysisResult standing_roll_back_{};
  TimePoint stage_began_at_{};
  TimePoint counted_from_{};
  TimePoint held_since_ = long_ago;
  SlidingWindow<Sample> canary_samples_;
  SlidingWindow<Sample> baseline_samples_;
  FleetSlowdownCheck fleet_slowdown_;
  WrongAnswerCheck wrong_answers_;
  AnswerRateCheck answer_rate_;
};

}  // namespace robinhoist
