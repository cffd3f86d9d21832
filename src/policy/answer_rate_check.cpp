#include "policy/answer_rate_check.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

namespace {

constexpr std::size_t canary_window = 600;
constexpr std::size_t baseline_window = 800;
constexpr std::size_t min_canary_endpoints = 3;  // with attempts, excluded endpoints included
constexpr double suspicious_p_value = 0.1;
constexpr double min_slowdown = 1.5;  // of the canary against the baseline
// One in this many endpoints is excluded, those missing most answers first: they may be faulty.
constexpr std::size_t endpoints_per_excluded = 5;

}  // namespace

AnswerRateCheck::AnswerRateCheck(bool many_votes)
    : many_votes_(many_votes), canary_(canary_window), baseline_(baseline_window) {}

void AnswerRateCheck::attempt_sent(AttemptKey key, bool canary, int endpoint, TimePoint now) {
  if (many_votes_)
    open_[key] = {canary, endpoint, now};
}

void AnswerRateCheck::attempt_ended(AttemptKey key, bool answered, TimePoint now) {
  const auto open = open_.find(key);
  if (open == open_.end())
    return;
  const OpenAttempt& attempt = open->second;
  (attempt.canary ? canary_ : baseline_).push({attempt.sent_at, now, attempt.endpoint, answered});
  open_.erase(open);
}

void AnswerRateCheck::attempt_withdrawn(AttemptKey key) {
  open_.erase(key);
}

void AnswerRateCheck::build_offered() {
  canary_.clear();
  std::erase_if(open_, [](const auto& entry) { return entry.second.canary; });
}

AnswerRateCheck::WaitTotalsByEndpoint AnswerRateCheck::wait_totals(bool canary, TimePoint from,
                                                                   TimePoint now) const {
  WaitTotalsByEndpoint by_endpoint;
  const auto add = [&](const AttemptWait& wait) {
    WaitTotals& totals = by_endpoint[wait.endpoint];
    totals.time += wait.ended_at - std::max(wait.sent_at, from);
    totals.answers += wait.answered ? 1 : 0;
  };
  const SlidingWindow<AttemptWait>& ended = canary ? canary_ : baseline_;
  for (std::size_t age = 0; age < ended.size() && ended.back(age).ended_at >= from; ++age)
    add(ended.back(age));
  for (const auto& [key, attempt] : open_)
    if (attempt.canary == canary)
      add({attempt.sent_at, now, attempt.endpoint, false});
  return by_endpoint;
}

CheckResult AnswerRateCheck::run(TimePoint from, const CheckContext& context, TimePoint now) const {
  if (!many_votes_ || !context.comparable)
    return {};
  WaitTotals baseline;
  for (const auto& [endpoint, totals] : wait_totals(false, from, now)) {
    baseline.time += totals.time;
    baseline.answers += totals.answers;
  }
  const WaitTotalsByEndpoint by_endpoint = wait_totals(true, from, now);
  if (baseline.answers < min_stage_attempts || by_endpoint.size() < min_canary_endpoints)
    return {};
  const double answers_per_s = baseline.answers / std::max(1e-3, to_seconds(baseline.time));

  std::vector<WaitTotals> endpoints;
  for (const auto& [endpoint, totals] : by_endpoint)
    endpoints.push_back(totals);
  const auto missing_answers = [&](const WaitTotals& totals) {
    return answers_per_s * to_seconds(totals.time) - totals.answers;
  };
  std::stable_sort(endpoints.begin(), endpoints.end(),
                   [&](const WaitTotals& a, const WaitTotals& b) {
                     return missing_answers(a) > missing_answers(b);
                   });
  const std::size_t excluded = std::max<std::size_t>(1, endpoints.size() / endpoints_per_excluded);
  WaitTotals canary;
  for (std::size_t i = excluded; i < endpoints.size(); ++i) {
    canary.time += endpoints[i].time;
    canary.answers += endpoints[i].answers;
  }
  const double expected = answers_per_s * to_seconds(canary.time);
  if (expected < min_slowdown * canary.answers)
    return {};
  // Endpoints of the same build differ in latency, so a few of them may be slower by this factor.
  const double usual_slowdown =
      std::exp(log_latency_stddev / std::sqrt(static_cast<double>(endpoints.size() - excluded)));
  const double p_value = 1 - poisson_upper_tail(canary.answers + 1, expected / usual_slowdown);
  if (p_value < context.significance)
    return CheckResult::failure(AnalysisReason::answer_rate, canary.answers, expected);
  return CheckResult::not_failed(p_value < suspicious_p_value);
}

}  // namespace robinhoist
