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
// Endpoints that the canary must have been waited for at, one that is left out included.
constexpr std::size_t min_canary_endpoints = 3;
constexpr double suspicious_p_value = 0.1;
constexpr double min_slowness = 1.5;  // times that the canary takes, against the baseline
// One endpoint in so many is left out, the one with most answers missing: it may have a fault.
constexpr std::size_t endpoints_for_each_excluded = 5;

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

AnswerRateCheck::WaitingByEndpoint AnswerRateCheck::waiting(bool canary, TimePoint from,
                                                            TimePoint now) const {
  WaitingByEndpoint by_endpoint;
  const auto add = [&](const AttemptWait& wait) {
    Waiting& waiting = by_endpoint[wait.endpoint];
    waiting.time += wait.ended_at - std::max(wait.sent_at, from);
    waiting.answers += wait.answered ? 1 : 0;
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
  Waiting baseline;
  for (const auto& [endpoint, waiting] : waiting(false, from, now)) {
    baseline.time += waiting.time;
    baseline.answers += waiting.answers;
  }
  const WaitingByEndpoint by_endpoint = waiting(true, from, now);
  if (baseline.answers < min_stage_attempts || by_endpoint.size() < min_canary_endpoints)
    return {};
  const double answers_per_s = baseline.answers / std::max(1e-3, to_seconds(baseline.time));

  std::vector<Waiting> endpoints;
  for (const auto& [endpoint, waiting] : by_endpoint)
    endpoints.push_back(waiting);
  const auto missing = [&](const Waiting& waiting) {
    return answers_per_s * to_seconds(waiting.time) - waiting.answers;
  };
  std::stable_sort(endpoints.begin(), endpoints.end(),
                   [&](const Waiting& a, const Waiting& b) { return missing(a) > missing(b); });
  const std::size_t excluded =
      std::max<std::size_t>(1, endpoints.size() / endpoints_for_each_excluded);
  Waiting canary;
  for (std::size_t i = excluded; i < endpoints.size(); ++i) {
    canary.time += endpoints[i].time;
    canary.answers += endpoints[i].answers;
  }
  const double expected = answers_per_s * to_seconds(canary.time);
  if (expected < min_slowness * canary.answers)
    return {};
  // Endpoints differ by themselves: a few of them may be so much slower.
  const double usual_slowness =
      std::exp(endpoint_spread / std::sqrt(static_cast<double>(endpoints.size() - excluded)));
  const double p_value = 1 - poisson_upper_tail(canary.answers + 1, expected / usual_slowness);
  if (p_value < context.significance)
    return CheckResult::failure(AnalysisReason::answer_rate, canary.answers, expected);
  return CheckResult::undecided(p_value < suspicious_p_value);
}

}  // namespace robinhoist
