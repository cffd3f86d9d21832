/// Canary analysis: collects evidence on a release, stage by stage, and derives a verdict from it.
///
/// The evidence consists of this proxy's attempts and of clients' reports of wrong answers. judge()
/// runs the checks in a fixed order; the first that fails decides:
///
/// 1. fleet slowdown (fleet_slowdown_check.h)
/// 2. ageing (ageing_check.h)
/// 3. failures, in total and by request class (failure_check.h)
/// 4. wrong answers (wrong_answer_check.h)
/// 5. latency (latency_check.h)
/// 6. answers per waiting time (answer_rate_check.h)
///
/// If none fails, the verdict depends on the promotion mode. Where votes promote the release, a
/// stage with enough evidence gets the verdict to promote. Under PromotionMode::clock, a stage with
/// little or suspicious evidence is held for a few seconds.
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

/// Evidence on the release now offered, and the verdict derived from it.
class CanaryAnalysis {
 public:
  CanaryAnalysis(const AnalysisSettings& settings, int request_classes);

  /// The release has changed or was received again.
  void release_updated(const ReleaseUpdate& release, TimePoint now);
  /// An attempt at an endpoint of this build has ended.
  void attempt_ended(int build, const Sample& sample);
  /// An attempt was sent to a warm endpoint of this build.
  void attempt_sent(AttemptKey key, int build, int endpoint, TimePoint now) {
    answer_rate_.attempt_sent(key, under_analysis(build), endpoint, now);
  }
  /// The waiting for an attempt has ended with this outcome. Attempts without a call of
  /// attempt_sent() are ignored.
  void wait_ended(AttemptKey key, Outcome outcome, TimePoint now);
  /// An answer of this build was forwarded to its client.
  void answer_forwarded(int build) { wrong_answers_.answer_forwarded(build); }
  /// A client reported an answer of this build as wrong.
  void wrong_answer_reported(int build) { wrong_answers_.wrong_answer_reported(build); }

  /// Whether the build is being judged: it is a canary, or it was released after this proxy had
  /// seen it as a canary and can still be rolled back.
  bool under_analysis(int build) const;
  /// The verdict at this time. Verdict::roll_back is kept until the next build is offered or, where
  /// a roll-back needs many votes, until the next stage. `canary_requests_per_s` is the expected
  /// rate of the canary's requests; `load` is in requests per second per endpoint of usual size.
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
  bool is_judgeable() const;
  CheckContext check_context() const;
  AnalysisResult roll_back(const CheckResult& failed);
  Cohorts collect_cohorts(TimePoint now) const;
  void exclude_unhealthy_endpoints(Cohorts& cohorts, bool comparable) const;
  StageProgress stage_progress(const std::vector<EndpointState>& endpoints, TimePoint now) const;
  AnalysisResult result_without_failure(const AttemptTotals& canary, const StageProgress& stage,
                                        bool suspicious, double canary_requests_per_s,
                                        TimePoint now);
  bool must_hold(double attempts, const StageProgress& stage, bool suspicious,
                 double canary_requests_per_s, TimePoint now);

  AnalysisSettings settings_;
  int request_classes_;
  double significance_;  // checks fail at p-values below this
  std::optional<ReleaseUpdate> release_{};
  bool seen_as_canary_ = false;  // since the build was offered
  AnalysisResult standing_roll_back_{};
  TimePoint stage_began_at_{};
  TimePoint counted_from_{};         // samples that ended earlier are not evidence
  TimePoint held_since_ = long_ago;  // long_ago: not held in this stage
  SlidingWindow<Sample> canary_samples_;
  SlidingWindow<Sample> baseline_samples_;
  FleetSlowdownCheck fleet_slowdown_;
  WrongAnswerCheck wrong_answers_;
  AnswerRateCheck answer_rate_;
};

}  // namespace robinhoist
