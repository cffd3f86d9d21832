#include "policy/request_scheduler.h"

#include <algorithm>

#include "policy/retry_rules.h"
#include "policy/statistics.h"
#include "policy/traffic_split.h"
#include "time/units.h"

namespace robinhoist {

namespace {
// A hedged request is due when the first attempt has taken longer than this quantile of recent
// latencies and than this part of the latency objective.
constexpr double hedge_quantile = 0.95;
constexpr double hedge_objective_ratio = 0.35;
constexpr double min_retry_time = 0.5;  // time left for a retry, in typical latencies

bool any_in_flight(const ScheduledRequest& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

bool has_run_at(const ScheduledRequest& request, int endpoint) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [endpoint](const Attempt& attempt) {
                       return attempt.endpoint == endpoint && !attempt.never_ran;
                     });
}

}  // namespace

RequestScheduler::RequestScheduler(const RequestSettings& settings, UpstreamCluster& cluster,
                                   CanaryQuota& canary_quota, std::minstd_rand& random)
    : settings_(settings),
      cluster_(cluster),
      canary_quota_(canary_quota),
      random_(random),
      admission_(settings, cluster) {}

void RequestScheduler::request_arrived(const RequestInfo& request) {
  admission_.request_arrived(request.tenant);
  requests_[request.request_id] = ScheduledRequest{.info = request};
  undecided_.push_back(request.request_id);
}

const ScheduledRequest* RequestScheduler::find(int request_id) const {
  const auto found = requests_.find(request_id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestScheduler::stream_began(int request_id) {
  const auto found = requests_.find(request_id);
  if (found != requests_.end())
    found->second.streaming = true;
}

void RequestScheduler::attempt_ended(int request_id, int index, Outcome outcome, bool succeeded,
                                     TimePoint now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end() || index >= static_cast<int>(found->second.attempts.size()))
    return;
  ScheduledRequest& request = found->second;
  Attempt& attempt = request.attempts[index];
  attempt.in_flight = false;
  attempt.never_ran = proves_not_run(outcome);
  attempt.failed = outcome == Outcome::error;
  attempt.connect_failed = outcome == Outcome::connect_failure;
  admission_.attempt_ended(attempt, outcome, request.info.request_class, now);
  if (succeeded && !request.done) {
    request.done = true;
    if (settings_.cancelling && !request.streaming)
      for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].in_flight)
          to_cancel_.push_back({.request_id = request_id, .attempt = static_cast<int>(i)});
  }
  if (request.done)
    erase_if_ended(request_id);
  else
    undecided_.push_back(request_id);
}

void RequestScheduler::client_disconnected(int request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end())
    return;
  found->second.done = true;
  erase_if_ended(request_id);
}

void RequestScheduler::erase_if_ended(int request_id) {
  const auto found = requests_.find(request_id);
  if (!any_in_flight(found->second))
    requests_.erase(found);
}

void RequestScheduler::set_timer(ScheduledRequest& request, TimePoint at) {
  if (request.next_check_at != TimePoint{} && request.next_check_at <= at)
    return;
  request.next_check_at = at;
  timers_.push({.at = at, .request_id = request.info.request_id});
}

std::optional<TimePoint> RequestScheduler::next_check_at() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.top().at;
}

std::optional<Decision> RequestScheduler::next(TimePoint now) {
  if (auto decision = next_cancellation())
    return decision;
  collect_due_timers(now);
  while (!undecided_.empty()) {
    const int request_id = undecided_.front();
    undecided_.pop_front();
    const auto found = requests_.find(request_id);
    if (found == requests_.end() || found->second.done || found->second.streaming)
      continue;
    if (auto decision = decide(found->second, now))
      return decision;
  }
  return {};
}

std::optional<Decision> RequestScheduler::next_cancellation() {
  while (!to_cancel_.empty()) {
    const AttemptId cancelled = to_cancel_.front();
    to_cancel_.pop_front();
    const ScheduledRequest* request = find(cancelled.request_id);
    // The attempt may have ended since it was queued for cancellation.
    if (request && request->attempts[cancelled.attempt].in_flight)
      return Decision{.action = Action::cancel,
                      .request_id = cancelled.request_id,
                      .attempt = cancelled.attempt};
  }
  return {};
}

void RequestScheduler::collect_due_timers(TimePoint now) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const int request_id = timers_.top().request_id;
    timers_.pop();
    const auto found = requests_.find(request_id);
    if (found == requests_.end() || found->second.next_check_at > now)
      continue;
    found->second.next_check_at = TimePoint{};
    undecided_.push_back(request_id);
  }
}

double RequestScheduler::newest_build_share(TimePoint now) {
  return robinhoist::newest_build_share(cluster_, canary_quota_, admission_.is_rejecting(), now);
}

const RequestClass& RequestScheduler::class_of(const ScheduledRequest& request) const {
  return settings_.request_classes[request.info.request_class];
}

std::optional<Decision> RequestScheduler::decide(ScheduledRequest& request, TimePoint now) {
  if (any_in_flight(request))
    return consider_hedge(request, now);
  if (request.info.deadline - now <= 2 * settings_.tick)
    return finish(request, {}, now);
  const int endpoint = may_send(request, now) ? pick_endpoint(request, now) : -1;
  if (endpoint < 0)
    return finish(request, settings_.retry_delay, now);
  return send(request, endpoint, now);
}

// First attempts are subject to admission control. Retries are limited by a budget, because they
// would amplify an overload.
bool RequestScheduler::may_send(const ScheduledRequest& request, TimePoint now) {
  const bool attempts_left = static_cast<int>(request.attempts.size()) < settings_.max_attempts;
  if (request.attempts.empty())
    return admission_.admits(request.info, now, random_) && attempts_left;
  const bool within_budget = request.attempts.back().connect_failed ||
                             retry_budget_.allows_retry(admission_.admission_rate());
  const bool in_time = within_budget && to_millis(request.info.deadline - now) >
                                            min_retry_time * cluster_.latency().typical_ms(
                                                                 request.info.request_class, 0.5);
  return in_time && attempts_left;
}

// A hedged request protects against an unresponsive or slow endpoint. It duplicates work, so it is
// limited by a budget.
std::optional<Decision> RequestScheduler::consider_hedge(ScheduledRequest& request, TimePoint now) {
  const RequestClass& request_class = class_of(request);
  if (!settings_.hedging || request_class.idempotency == Idempotency::non_idempotent ||
      request_class.stream)
    return {};
  if (request.attempts.size() > 1 || settings_.max_attempts <= 1)
    return {};
  const TimePoint due_at = hedge_due_at(request);
  if (now < due_at) {
    set_timer(request, due_at);
    return {};
  }
  if (!retry_budget_.allows_hedge() ||
      to_millis(request.info.deadline - now) <
          cluster_.latency().typical_ms(request.info.request_class, 0.5))
    return {};
  const int endpoint = pick_endpoint(request, now);
  if (endpoint < 0)
    return {};
  return send(request, endpoint, now);
}

// While the endpoint keeps answering other requests it is assumed to be working on this one, and
// the hedged request is postponed: it would only duplicate a long computation.
TimePoint RequestScheduler::hedge_due_at(const ScheduledRequest& request) {
  const Attempt& attempt = request.attempts.back();
  const Duration delay = from_millis(
      std::max(cluster_.latency().typical_ms(request.info.request_class, hedge_quantile),
               hedge_objective_ratio * to_millis(class_of(request).latency_objective)));
  const TimePoint answered_at = cluster_.health().last_answer_at(attempt.endpoint);
  if (answered_at <= attempt.sent)
    return attempt.sent + delay;
  return std::max(attempt.sent + delay, answered_at + delay / 2);
}

int RequestScheduler::pick_endpoint(const ScheduledRequest& request, TimePoint now) {
  // Retries prefer the older build, because the canary's quota is reserved for first attempts.
  const bool prefers_newest =
      request.attempts.empty() && uniform_sample(random_) < newest_build_share(now);
  if (prefers_newest) {
    const int endpoint = pick_endpoint_in(BuildGroup::newest, request, now);
    return endpoint >= 0 ? endpoint : pick_endpoint_in(BuildGroup::older, request, now);
  }
  const int endpoint = pick_endpoint_in(BuildGroup::older, request, now);
  // Traffic that exceeds the older build's capacity must not overflow to a canary. It would
  // overload the canary's endpoints, and the analysis would take the canary for a slow build.
  if (endpoint >= 0 || canary_quota_.is_canary(cluster_.endpoints().newest_build()))
    return endpoint;
  return pick_endpoint_in(BuildGroup::newest, request, now);
}

int RequestScheduler::pick_endpoint_in(BuildGroup build, const ScheduledRequest& request,
                                       TimePoint now) {
  const Idempotency idempotency = class_of(request).idempotency;
  if (build == BuildGroup::newest &&
      !canary_quota_.allows(request.info, cluster_.endpoints().newest_build(), idempotency, now))
    return -1;
  const EndpointRequirements requirements{
      .build = build,
      .may_use = [&](int endpoint) { return may_use(endpoint, build, request, now); },
      .avoid_recent_losses = idempotency == Idempotency::non_idempotent,
      .max_wait = admission_.max_wait(request.info, now)};
  return cluster_.pick(requirements, now, random_);
}

bool RequestScheduler::may_use(int endpoint, BuildGroup build, const ScheduledRequest& request,
                               TimePoint now) {
  const RequestClass& request_class = class_of(request);
  const EndpointSet& endpoints = cluster_.endpoints();
  if (has_run_at(request, endpoint))
    return false;
  if (!may_retry_at(endpoint, request_class, request.attempts, endpoints, settings_.tick, now))
    return false;
  return build == BuildGroup::newest ||
         canary_quota_.allows(request.info, endpoints[endpoint].build, request_class.idempotency,
                              now);
}

Decision RequestScheduler::send(ScheduledRequest& request, int endpoint, TimePoint now) {
  const int build = cluster_.endpoints()[endpoint].build;
  const bool is_first = request.attempts.empty();
  const bool is_repeat = !is_first && !request.attempts.back().connect_failed;
  const TimePoint write_before = retry_must_be_written_before(class_of(request), request.attempts);
  request.attempts.push_back(
      {.endpoint = endpoint,
       .build = build,
       .sent = now,
       .concurrency = static_cast<int>(cluster_.health().in_flight(endpoint)) + 1});
  cluster_.attempt_sent(endpoint, now);
  if (canary_quota_.is_canary(build))
    canary_quota_.canary_attempt_sent(request.info.request_class, now);
  retry_budget_.attempt_sent(is_repeat);
  if (is_first)
    admission_.first_attempt_sent();
  const int request_id = request.info.request_id;
  undecided_.push_back(request_id);
  return Decision{.action = Action::forward,
                  .request_id = request_id,
                  .endpoint = endpoint,
                  .write_before = write_before};
}

// A rejection tells the client that a retry is safe. If client_may_retry() does not allow that, the
// request fails instead.
Decision RequestScheduler::finish(ScheduledRequest& request, Duration retry_after, TimePoint now) {
  const int request_id = request.info.request_id;
  const bool reject =
      now < request.info.deadline && client_may_retry(class_of(request), request.attempts);
  if (request.attempts.empty())
    admission_.request_rejected();
  request.done = true;
  erase_if_ended(request_id);
  if (!reject)
    return Decision{.action = Action::fail, .request_id = request_id};
  return Decision{.action = Action::reject,
                  .request_id = request_id,
                  .duration = settings_.retry_after ? retry_after : Duration{}};
}

}  // namespace robinhoist
