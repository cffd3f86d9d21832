#include "policy/decision_engine.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {
constexpr Duration analysis_interval = 50ms;
constexpr Duration max_wake_up_interval = 100ms;
constexpr std::size_t first_request_window = 40;
constexpr double min_capacity = 0.1;  // in usual endpoints; a lower bound when computing the load
}  // namespace

DecisionEngine::DecisionEngine(unsigned seed, const EndpointSettings& endpoints,
                               const CanaryQuotaSettings& canary_quota,
                               const AnalysisSettings& analysis, const RequestSettings& requests)
    : random_(seed),
      cluster_(endpoints, requests.request_classes),
      list_subscription_(endpoints.subscribes_to_list),
      canary_quota_(canary_quota, static_cast<int>(requests.request_classes.size()), requests.tick),
      analysis_(analysis, static_cast<int>(requests.request_classes.size())),
      vote_scheduler_(analysis),
      requests_(requests, cluster_, canary_quota_, random_),
      first_requests_(first_request_window) {}

void DecisionEngine::endpoints_updated(EndpointUpdateKind kind,
                                       const std::vector<EndpointInfo>& entries, TimePoint now) {
  list_subscription_.updated(kind, now);
  if (kind != EndpointUpdateKind::failed)
    cluster_.list_updated(kind, entries, now);
}

void DecisionEngine::request_arrived(const RequestInfo& request, TimePoint now) {
  canary_quota_.request_arrived(request.request_class, now);
  if (!request.is_retry)
    first_requests_.push(now);
  requests_.request_arrived(request);
}

void DecisionEngine::attempt_ended(int request_id, int index, Outcome outcome, bool succeeded,
                                   const LoadReport& load, TimePoint now) {
  const ScheduledRequest* request = requests_.find(request_id);
  if (!request || index >= static_cast<int>(request->attempts.size()))
    return;
  const Attempt attempt = request->attempts[index];
  analysis_.wait_ended({request_id, index}, outcome, now);
  const RequestInfo info = request->info;
  // An error answer to a request that has already failed at another endpoint is no evidence on this
  // endpoint or its build. Requests that fail everywhere are retried, and their retries concentrate
  // at the endpoints with spare capacity.
  const bool failed_before = std::any_of(request->attempts.begin(), request->attempts.end(),
                                         [](const Attempt& other) { return other.failed; });
  const Outcome evidence = failed_before && outcome == Outcome::error ? Outcome::obsolete : outcome;
  cluster_.attempt_ended(attempt, evidence, info, now);
  cluster_.load_reported(attempt.endpoint, load, now);
  record_sample(attempt, evidence, info, now);
  if (outcome == Outcome::ok) {
    analysis_.answer_forwarded(attempt.build);
    canary_quota_.request_answered(info.key, attempt.build);
  }
  requests_.attempt_ended(request_id, index, outcome, succeeded, now);
}

// Starts the waiting time of a forwarded attempt in the canary analysis. Endpoints that are warming
// up are left out, because their latency is no evidence on their build.
void DecisionEngine::record_sent_attempt(const Decision& forward, TimePoint now) {
  const ScheduledRequest* request = requests_.find(forward.request_id);
  if (!request || !cluster_.endpoints().is_warm(forward.endpoint, now))
    return;
  const int last = static_cast<int>(request->attempts.size()) - 1;
  analysis_.attempt_sent({forward.request_id, last}, request->attempts.back().build,
                         forward.endpoint, now);
}

// Passes an ended attempt to the canary analysis and the latency model if it is evidence on its
// build. When an endpoint stops answering, only the first lost attempt counts. Lost attempts at
// endpoints that are warming up or in another zone are no evidence.
void DecisionEngine::record_sample(const Attempt& attempt, Outcome evidence,
                                   const RequestInfo& request, TimePoint now) {
  const EndpointSet& endpoints = cluster_.endpoints();
  const bool warm = endpoints.is_warm(attempt.endpoint, attempt.sent);
  const bool loss_counts = is_lost(evidence) &&
                           cluster_.health().consecutive_losses(attempt.endpoint) <= 1 && warm &&
                           endpoints.is_local(attempt.endpoint);
  if (evidence != Outcome::ok && evidence != Outcome::error && !loss_counts)
    return;
  if (endpoints[attempt.endpoint].build != attempt.build)
    return;
  LatencyModel& latency_model = cluster_.latency();
  const Duration latency = now - attempt.sent;
  analysis_.attempt_ended(
      attempt.build,
      {now, attempt.sent, attempt.endpoint, request.request_class, request.tenant,
       evidence == Outcome::error, is_lost(evidence), warm,
       latency_model.latency_ratio(request.request_class, latency, request.cost_hint_ms),
       latency_model.objective_ratio(request.request_class, latency)});
  if (evidence == Outcome::ok && warm && !analysis_.under_analysis(attempt.build))
    latency_model.record(request.request_class, latency, request.cost_hint_ms);
}

void DecisionEngine::release_updated(const ReleaseUpdate& release, TimePoint now) {
  canary_quota_.release_updated(release);
  analysis_.release_updated(release, now);
  vote_scheduler_.release_updated(release);
}

std::optional<Decision> DecisionEngine::next(TimePoint now) {
  if (now >= analyzed_at_ + analysis_interval)
    analyze(now);
  if (!reports_to_log_.empty()) {
    const AnalysisReport report = reports_to_log_.front();
    reports_to_log_.pop_front();
    return Decision{.action = Action::log, .text = to_string(report), .report = report};
  }
  if (auto decision = list_subscription_.next(now, random_))
    return decision;
  if (auto decision = vote_scheduler_.next(now, random_))
    return decision;
  if (auto decision = requests_.next(now)) {
    if (decision->action == Action::forward)
      record_sent_attempt(*decision, now);
    return decision;
  }
  return next_wake_up(now);
}

// Judges the release, passes the verdict to the vote scheduler and logs changes of it.
void DecisionEngine::analyze(TimePoint now) {
  analyzed_at_ = now;
  const double requests_per_s = rate_of(first_requests_, now);
  const double load = requests_per_s / std::max(min_capacity, cluster_.capacity(now));
  const double canary_requests_per_s = requests_per_s * requests_.newest_build_share(now);
  const AnalysisResult result =
      analysis_.judge(cluster_.endpoints().all(), canary_requests_per_s, load, now);
  vote_scheduler_.set_verdict(result.verdict, now, random_);
  const AnalysisReport report{result, analysis_.release()};
  if (!last_report_ || !same_mode(report, *last_report_))
    reports_to_log_.push_back(report);
  last_report_ = report;
}

// Requests a wake-up unless one that is early enough has already been requested.
std::optional<Decision> DecisionEngine::next_wake_up(TimePoint now) {
  TimePoint due = now + max_wake_up_interval;
  if (const auto check_at = requests_.next_check_at())
    due = std::min(due, *check_at);
  if (wake_up_at_ > now && wake_up_at_ <= due)
    return {};
  wake_up_at_ = std::max(due, now + Duration(1));
  return Decision{.action = Action::wake, .duration = wake_up_at_ - now};
}

}  // namespace robinhoist
