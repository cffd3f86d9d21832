#include "policy/canary_analysis.h"

#include <algorithm>

#include "policy/ageing_check.h"
#include "policy/failure_check.h"
#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t canary_window = 600;
constexpr std::size_t baseline_window = 800;
constexpr double max_significance = 0.03;  // for one proxy among many
// At caps from here on the baseline's endpoints are idle or draining.
constexpr double max_comparable_cap = 0.9;
constexpr Duration observation_window = 4s;
// Unhealthy baseline endpoints within this window indicate a fault other than the build's.
constexpr Duration recent_baseline_window = 10s;
// A step is near its end this long after the latest start plus the length of the step.
constexpr Duration clock_lag = 500ms;
// The longest hold, for too few attempts and for suspicious evidence.
constexpr Duration max_hold_few = 1s;
constexpr Duration max_hold_suspicious = 4s;
// A proxy holds a stage for missing attempts only if it expects to get them within this time.
constexpr double max_missing_attempts_s = 0.5;
// A tenant with at least this many failures, and this multiple of the others' failure rate, is
// excluded.
constexpr double tenant_min_failures = 3;
constexpr double tenant_failure_ratio = 3;
constexpr double tenant_prior_attempts = 10;

// Where a roll-back needs many votes, a single proxy may use a weaker significance level, because a
// false alarm must then occur at many proxies. Errors of the proxies may be correlated, hence the
// maximum.
double vote_significance(const AnalysisSettings& settings) {
  double significance = false_alarm_rate;
  while (significance < max_significance &&
         poisson_upper_tail(settings.votes_to_roll_back, 8 * settings.proxies * significance) <
             4 * false_alarm_rate)
    significance *= 2;
  return significance;
}

// Tenants whose requests fail at the baseline far more often than others' requests. Their requests
// fail at any build and, since full queues of the baseline reject them, concentrate at the canary's
// endpoints. They are no evidence on the canary.
std::set<int> failing_tenants(const CohortStatistics& recent_baseline) {
  const AttemptTotals& all = recent_baseline.total;
  std::set<int> failing;
  for (const auto& [tenant, totals] : recent_baseline.by_tenant) {
    const double other_attempts = all.attempts - totals.attempts + tenant_prior_attempts;
    const double other_failures = all.failed - totals.failed + 1;
    if (totals.failed >= tenant_min_failures &&
        totals.failed * other_attempts > tenant_failure_ratio * other_failures * totals.attempts)
      failing.insert(tenant);
  }
  return failing;
}

}  // namespace

CanaryAnalysis::CanaryAnalysis(const AnalysisSettings& settings, int request_classes)
    : settings_(settings),
      request_classes_(request_classes),
      significance_(vote_significance(settings)),
      canary_samples_(canary_window),
      baseline_samples_(baseline_window),
      fleet_slowdown_(many_votes(), request_classes),
      wrong_answers_(settings.wrong_answer_report_share),
      answer_rate_(many_votes()) {}

void CanaryAnalysis::release_updated(const ReleaseUpdate& release, TimePoint now) {
  const bool same_build = release_ && release_->build == release.build;
  const bool moved =
      !same_build || release_->stage != release.stage || release_->phase != release.phase;
  if (!same_build) {
    seen_as_canary_ = false;
    standing_roll_back_ = {};
    fleet_slowdown_.build_offered();
    answer_rate_.build_offered();
  }
  if (release.phase == ReleasePhase::canary)
    seen_as_canary_ = true;
  if (moved) {
    stage_began_at_ = now - release.since;
    fleet_slowdown_.stage_began();
    held_since_ = long_ago;
    if (many_votes())
      standing_roll_back_ = {};  // false alarms of many proxies would add up over the stages
    // Too few samples to judge a stage are carried over into the next one. Otherwise proxies with
    // little traffic never collect enough.
    const bool next_stage = same_build && release.phase == ReleasePhase::canary;
    const bool enough = static_cast<double>(canary_samples_.size()) >= min_stage_attempts;
    if (!next_stage || !many_votes() || enough) {
      canary_samples_.clear();
      answer_rate_.stage_began();
      counted_from_ = stage_began_at_;
    }
  }
  release_ = release;
}

bool CanaryAnalysis::under_analysis(int build) const {
  return release_ && build >= release_->build &&
         (build > release_->build || release_->phase != ReleasePhase::released || seen_as_canary_);
}

void CanaryAnalysis::attempt_ended(int build, const Sample& sample) {
  if (under_analysis(build))
    canary_samples_.push(sample);
  else
    baseline_samples_.push(sample);
}

void CanaryAnalysis::wait_ended(AttemptKey key, Outcome outcome, TimePoint now) {
  // Error answers arrive quickly and are counted by the failure check.
  if (proves_not_run(outcome) || outcome == Outcome::error)
    answer_rate_.attempt_withdrawn(key);
  else
    answer_rate_.attempt_ended(key, outcome == Outcome::ok, now);
}

bool CanaryAnalysis::is_judgeable() const {
  if (!release_)
    return false;
  return release_->phase == ReleasePhase::canary ||
         (release_->phase == ReleasePhase::released && seen_as_canary_);
}

CheckContext CanaryAnalysis::check_context() const {
  const bool comparable =
      release_->phase == ReleasePhase::canary && release_->cap < max_comparable_cap;
  return {significance_, many_votes(), comparable};
}

AnalysisResult CanaryAnalysis::judge(const std::vector<EndpointState>& endpoints,
                                     double canary_requests_per_s, double load, TimePoint now) {
  if (!is_judgeable())
    return {};
  if (standing_roll_back_.verdict == Verdict::roll_back)
    return standing_roll_back_;
  const CheckContext context = check_context();
  const FleetObservation fleet{canary_samples_, baseline_samples_, load, now};
  const CheckResult fleet_slowdown = fleet_slowdown_.run(*release_, fleet, context.comparable);
  if (fleet_slowdown.failed())
    return roll_back(fleet_slowdown);

  Cohorts cohorts = collect_cohorts(now);
  const CheckResult ageing = check_ageing(cohorts.canary, release_->build, endpoints, context);
  if (ageing.failed())
    return roll_back(ageing);
  exclude_unhealthy_endpoints(cohorts, context.comparable);

  const CheckResult failures = check_failures(cohorts.canary, cohorts.baseline, context);
  if (failures.failed())
    return roll_back(failures);
  const CheckResult wrong_answers = wrong_answers_.run(release_->build, context);
  if (wrong_answers.failed())
    return roll_back(wrong_answers);
  const StageProgress stage = stage_progress(endpoints, now);
  const CheckResult latency =
      check_latency({cohorts.canary, cohorts.baseline, cohorts.recent_baseline}, stage, context);
  if (latency.failed())
    return roll_back(latency);

  const CheckResult answer_rate = answer_rate_.run(counted_from_, context, now);
  if (answer_rate.failed())
    return roll_back(answer_rate);

  bool suspicious = false;
  for (const CheckResult& result : {ageing, failures, wrong_answers, latency, answer_rate})
    suspicious |= result.outcome == CheckOutcome::suspicious;
  return result_without_failure(cohorts.canary.total, stage, suspicious, canary_requests_per_s,
                                now);
}

AnalysisResult CanaryAnalysis::roll_back(const CheckResult& failed) {
  standing_roll_back_ = {Verdict::roll_back, failed.reason, failed.observed, failed.reference};
  return standing_roll_back_;
}

CanaryAnalysis::Cohorts CanaryAnalysis::collect_cohorts(TimePoint now) const {
  const CohortStatistics empty(request_classes_);
  Cohorts cohorts{empty, empty, empty, {}};
  cohorts.recent_baseline.add(baseline_samples_, now - recent_baseline_window, exclude_none);
  cohorts.excluded_tenants = failing_tenants(cohorts.recent_baseline);
  const auto excluded = [&](const Sample& sample) {
    return cohorts.excluded_tenants.count(sample.tenant) > 0;
  };
  cohorts.baseline.add(baseline_samples_, counted_from_, excluded);
  // With too few baseline attempts in this stage, those of earlier stages are used as well.
  if (cohorts.baseline.total.attempts < 2 * min_stage_attempts) {
    cohorts.baseline = empty;
    cohorts.baseline.add(baseline_samples_, long_ago, excluded);
  }
  cohorts.canary.add(canary_samples_, counted_from_, excluded, &cohorts.baseline);
  return cohorts;
}

// Excludes a small number of unhealthy canary endpoints if baseline endpoints are unhealthy too, or
// if the canary has many endpoints: the fault is then likely that of the endpoints and not of the
// build. A bad build can be missed if faulty endpoints coincide with it.
void CanaryAnalysis::exclude_unhealthy_endpoints(Cohorts& cohorts, bool comparable) const {
  const std::map<int, AttemptTotals> by_endpoint = cohorts.canary.by_endpoint;
  const long endpoints = static_cast<long>(by_endpoint.size());
  const long unhealthy = cohorts.canary.unhealthy_endpoints();
  const double max_share_divisor = comparable ? 5 : 2.5;
  const long max_excluded =
      std::max<long>(1, static_cast<long>(static_cast<double>(endpoints) / max_share_divisor));
  const bool few_of_many = endpoints >= 5 * unhealthy;
  const bool baseline_unhealthy = cohorts.recent_baseline.unhealthy_endpoints() > 0;
  if (!(baseline_unhealthy || few_of_many) || unhealthy > max_excluded)
    return;
  const auto excluded = [&](const Sample& sample) {
    return cohorts.excluded_tenants.count(sample.tenant) > 0 ||
           by_endpoint.at(sample.endpoint).unhealthy();
  };
  cohorts.canary = CohortStatistics(request_classes_);
  cohorts.canary.add(canary_samples_, counted_from_, excluded, &cohorts.baseline);
}

StageProgress CanaryAnalysis::stage_progress(const std::vector<EndpointState>& endpoints,
                                             TimePoint now) const {
  StageProgress stage{.latest_start = stage_began_at_};
  for (const EndpointState& endpoint : endpoints) {
    if (!endpoint.listed || endpoint.phase == EndpointPhase::removed)
      continue;
    if (endpoint.build == release_->build) {
      stage.latest_start = std::max(stage.latest_start, endpoint.started);
      ++stage.canary_endpoints;
    } else if (endpoint.build < release_->build && endpoint.phase == EndpointPhase::ready) {
      ++stage.baseline_endpoints;
    }
  }
  // The observation window must be over before the clock moves the release on, so it is at most the
  // clock's step.
  const Duration window = settings_.promotion_mode == PromotionMode::clock
                              ? std::min(observation_window, settings_.step)
                              : observation_window;
  stage.window_over = now >= stage.latest_start + std::max(window, settings_.bake);
  return stage;
}

AnalysisResult CanaryAnalysis::result_without_failure(const AttemptTotals& canary,
                                                      const StageProgress& stage, bool suspicious,
                                                      double canary_requests_per_s, TimePoint now) {
  if (release_->phase == ReleasePhase::released)
    return {Verdict::none, AnalysisReason::released};
  if (settings_.promotion_mode != PromotionMode::clock) {
    const bool judged = canary.attempts >= min_stage_attempts && stage.window_over;
    if (judged && !suspicious)
      return {Verdict::promote, AnalysisReason::failures, canary.failed, canary.attempts};
    return {};
  }
  if (must_hold(canary.attempts, stage, suspicious, canary_requests_per_s, now))
    return {Verdict::hold, AnalysisReason::hold, canary.attempts, canary.failed};
  return {Verdict::none, AnalysisReason::failures, canary.failed, canary.attempts};
}

// Under PromotionMode::clock: whether to hold the stage because its step is near the end and the
// evidence is too little or suspicious. A proxy whose traffic is too low to reach the minimum of
// attempts shortly does not hold, as it would delay the release for all proxies.
bool CanaryAnalysis::must_hold(double attempts, const StageProgress& stage, bool suspicious,
                               double canary_requests_per_s, TimePoint now) {
  const double missing = min_stage_attempts - attempts;
  const bool attainable = missing <= 0 || missing < max_missing_attempts_s * canary_requests_per_s;
  const bool near_end = now >= stage.latest_start + settings_.step + clock_lag;
  if (!near_end || !((missing > 0 && attainable) || suspicious))
    return false;
  if (held_since_ == long_ago)
    held_since_ = now;
  return now < held_since_ + (suspicious ? max_hold_suspicious : max_hold_few);
}

}  // namespace robinhoist
