#include "policy/request_scheduler.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {
constexpr double cap_used = 0.9;   // part of the cap that first attempts fill
constexpr double most_load = 1.0;  // a canary machine's load against a usual machine's
constexpr std::size_t again_kept = 100, tenants_kept = 200, slow_kept = 8;
constexpr double share_slack = 1.1;
constexpr int max_hedges = 8,
              again_most = 20;  // of the last hundred attempts, so many may be repeats
constexpr double wait_least = 0.45,
                 wait_more = 0.3;  // of the latency objective, by the request's priority weight
constexpr int few_rejections = 5;  // of the last hundred requests
constexpr double slow_part = 0.4, over_share_power = 3, open_least = 0.05, open_full = 0.9;
constexpr double jam_part = 0.75, jam_falls = 1.25, jam_rises = 0.25, least_pace = 16;
}  // namespace

RequestScheduler::RequestScheduler(const RequestSettings& settings, EndpointSet& endpoints,
                                   CanaryQuota& canary_quota, std::minstd_rand& random)
    : settings_(settings),
      endpoints_(endpoints),
      canary_quota_(canary_quota),
      random_(random),
      again_(again_kept),
      rejections_(again_kept),
      tenants_(tenants_kept),
      slow_(slow_kept) {}

void RequestScheduler::arrived(const RequestInfo& info) {
  tenants_.push(info.tenant);
  requests_[info.request_id] = ScheduledRequest{.info = info};
  ready_.push_back(info.request_id);
}

const ScheduledRequest* RequestScheduler::find(int id) const {
  auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

void RequestScheduler::streaming(int id) {
  auto at = requests_.find(id);
  if (at != requests_.end())
    at->second.streaming = true;
}

// How much is let in follows the proxy's own answers, pooled over endpoints: it falls while many
// come late or are turned away and rises while they don't, as AIMD does. Guards against jams that
// no proxy can see at a endpoint, of whose work each brings a small part. It may shed for a moment
// when silent endpoints swallow requests.
void RequestScheduler::felt(const Attempt& one, Outcome outcome, int request_class, TimePoint now) {
  const bool full = outcome == Outcome::rejected, ok = outcome == Outcome::ok;
  const double part = endpoints_.objective_ratio(request_class, now - one.sent);
  if (endpoints_.warmth(one.endpoint, one.sent) < 1 || !endpoints_.near(one.endpoint))
    return;
  if (ok)
    slow_.push(part > slow_part);
  // A request that its client gave up early tells nothing, nor does one lost while those answered
  // come quickly.
  bool jam = full || part > jam_part;
  if (!ok && !full &&
      (!jam || outcome != Outcome::timeout || 2 * count(slow_) < static_cast<int>(slow_.size())))
    return;
  // Where answers are few it rises by the clock: guards against an proxy that lets in little, hears
  // little of it and so stays shut.
  const double pace = endpoints_.pace(now), step = 1 / std::max(least_pace, pace);
  const double rise = pace < least_pace ? std::min(1.0, to_seconds(now - felt_at_)) : step;
  felt_at_ = now;
  open_ = jam ? std::max(open_least, open_ * (1 - jam_falls * step))
              : std::min(1.0, open_ + jam_rises * rise);
}

void RequestScheduler::ended(int id, int attempt, Outcome outcome, bool succeeded, TimePoint now) {
  auto at = requests_.find(id);
  if (at == requests_.end() || attempt >= static_cast<int>(at->second.attempts.size()))
    return;
  ScheduledRequest& request = at->second;
  Attempt& one = request.attempts[attempt];
  one.out = false;
  one.never_ran = proves_not_run(outcome);
  one.failed = outcome == Outcome::error;
  one.unreached = outcome == Outcome::connect_failure;
  felt(one, outcome, request.info.request_class, now);
  if (succeeded && !request.over) {
    request.over = true;
    if (settings_.cancelling && !request.streaming)
      for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].out)
          cancels_.push_back({id, static_cast<int>(i)});
  }
  if (request.over)
    forget(id);
  else
    ready_.push_back(id);
}

void RequestScheduler::left(int id) {
  auto at = requests_.find(id);
  if (at == requests_.end())
    return;
  at->second.over = true;
  forget(id);
}

void RequestScheduler::forget(int id) {
  auto at = requests_.find(id);
  for (const Attempt& one : at->second.attempts)
    if (one.out)
      return;
  requests_.erase(at);
}

void RequestScheduler::look(int id, ScheduledRequest& request, TimePoint at) {
  if (request.look_at != TimePoint{} && request.look_at <= at)
    return;
  request.look_at = at;
  looks_.push({at, id});
}

std::optional<Decision> RequestScheduler::next(TimePoint now) {
  while (!cancels_.empty()) {
    auto [id, attempt] = cancels_.front();
    cancels_.pop_front();
    const ScheduledRequest* request = find(id);  // it may have come back in the meantime
    if (request && request->attempts[attempt].out)
      return Decision{.action = Action::cancel, .request_id = id, .attempt = attempt};
  }
  while (!looks_.empty() && looks_.top().first <= now) {
    int id = looks_.top().second;
    looks_.pop();
    auto at = requests_.find(id);
    if (at == requests_.end() || at->second.look_at > now)
      continue;
    at->second.look_at = TimePoint{};
    ready_.push_back(id);
  }
  while (!ready_.empty()) {
    int id = ready_.front();
    ready_.pop_front();
    auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over || at->second.streaming)
      continue;
    if (auto decision = decide(id, at->second, now))
      return decision;
  }
  return {};
}

// The share of first attempts that the newest build is to get: 0.9 of the cap, but no more than its
// machines can carry without working harder than `most_load` times a usual machine; they count by
// their warmth.
double RequestScheduler::canary_share(TimePoint now) {
  int newest = endpoints_.newest();
  if (!endpoints_.older())
    return 1;
  const auto& endpoints = endpoints_.all();
  double young = 0, old = 0, all = 0;
  for (int n = 0; n < static_cast<int>(endpoints.size()); ++n) {
    if (!endpoints_.open(n))
      continue;
    all += endpoints[n].size;
    if (endpoints[n].build != newest)
      old += endpoints[n].size;
    else if (!endpoints_.resting(n, now) && endpoints_.well(n, now))
      young += endpoints[n].size * endpoints_.warmth(n, now);
  }
  // While requests are rejected all machines share alike: full ones would look slow beside idle
  // ones.
  double places =
      canary_quota_.in_place() || count(rejections_) > few_rejections ? all : std::max(old, young);
  double able = std::min(1.0, most_load * young / places);
  return canary_quota_.is_canary(newest) ? std::min(cap_used * canary_quota_.cap(newest), able)
                                         : able;
}

// Rule 2: where a request that may have run can go again.
bool RequestScheduler::may_go(const ScheduledRequest& request, int endpoint, TimePoint now) const {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  if (request_class.idempotency == Idempotency::idempotent)
    return true;
  for (const Attempt& one : request.attempts) {
    if (one.never_ran)
      continue;
    if (request_class.idempotency == Idempotency::non_idempotent ||
        now + settings_.tick >= one.sent + request_class.dedup_window)
      return false;
    const EndpointState &there = endpoints_.all()[endpoint],
                        &before = endpoints_.all()[one.endpoint];
    if (request_class.dedup_scope == DedupScope::zone && there.zone != before.zone)
      return false;
    if (request_class.dedup_scope == DedupScope::cell && there.cell != before.cell)
      return false;
  }
  return true;
}

// Shedding by priority weight: the less a request brings, the shorter the queue that it may join.
Duration RequestScheduler::longest_wait(const ScheduledRequest& request, TimePoint now) const {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  double most = 0;
  Duration latency_objective = request_class.latency_objective;
  for (const RequestClass& other : settings_.request_classes) {
    most = std::max(most, other.priority_weight);
    if (other.priority_weight >= request_class.priority_weight)
      latency_objective = std::min(latency_objective, other.latency_objective);
  }
  double part = wait_least + wait_more * (most > 0 ? request_class.priority_weight / most : 1);
  // In an overload what a tenant sends beyond its share is worth little: it joins shorter queues.
  if (count(rejections_) > few_rejections && over_share(request.info.tenant))
    part *= 0.7;
  return std::min(from_millis(part * to_millis(latency_objective)), request.info.deadline - now);
}

// Whether a tenant takes more of our requests than its part of all allowances: only meant for an
// overload.
bool RequestScheduler::over_share(int tenant) const {
  if (tenant >= static_cast<int>(settings_.tenants.size()))
    return false;
  double all = 0, its = 0;
  for (const Tenant& other : settings_.tenants)
    all += other.allowance_per_s;
  for (std::size_t i = 0; i < tenants_.size(); ++i)
    its += tenants_.back(i) == tenant;
  return its * all > share_slack * settings_.tenants[tenant].allowance_per_s * tenants_.size();
}

bool RequestScheduler::shedding() const {
  return open_ < open_full;
}

int RequestScheduler::place(const ScheduledRequest& request, TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  const int newest = endpoints_.newest();
  // A repeat goes to the older build where there is one: the canary's allowance is for first
  // attempts.
  bool young = request.attempts.empty() && uniform_sample(random_) < canary_share(now);
  for (bool arm : {young, !young}) {
    // What the older build has no room for is not heaped on a canary: its machines would look slow.
    if (arm && !young && canary_quota_.is_canary(newest))
      continue;
    if (arm && !canary_quota_.allows(request.info, newest, request_class.idempotency, now))
      continue;
    auto may = [&](int n) {
      for (const Attempt& one : request.attempts)
        if (one.endpoint == n && !one.never_ran)
          return false;
      return may_go(request, n, now) &&
             (arm || canary_quota_.allows(request.info, endpoints_.all()[n].build,
                                          request_class.idempotency, now));
    };
    int endpoint =
        endpoints_.choose(arm, may, request_class.idempotency == Idempotency::non_idempotent,
                          longest_wait(request, now), now, random_);
    if (endpoint >= 0)
      return endpoint;
  }
  return -1;
}

std::optional<Decision> RequestScheduler::forward(int id, ScheduledRequest& request, int endpoint,
                                                  TimePoint now) {
  int build = endpoints_.all()[endpoint].build;
  bool canary = canary_quota_.is_canary(build),
       unreached = !request.attempts.empty() && request.attempts.back().unreached;
  request.attempts.push_back(
      {.endpoint = endpoint,
       .build = build,
       .sent = now,
       .in_hand = static_cast<int>(endpoints_.all()[endpoint].out.size()) + 1});
  endpoints_.sent(endpoint, now);
  if (canary)
    canary_quota_.canary_attempt_sent(request.info.request_class, now);
  again_.push(request.attempts.size() > 1 && !unreached);
  if (request.attempts.size() == 1)
    rejections_.push(false);
  ready_.push_back(id);
  return Decision{.action = Action::forward, .request_id = id, .endpoint = endpoint};
}

// Declining tells the client that it may safely come again, so it needs rule 2; else the request is
// failed.
std::optional<Decision> RequestScheduler::finish(int id, ScheduledRequest& request, Duration pause,
                                                 TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  bool repeatable = request_class.idempotency == Idempotency::idempotent ||
                    (request_class.idempotency == Idempotency::idempotent_with_key &&
                     request_class.dedup_scope == DedupScope::all);
  bool reject = now < request.info.deadline &&
                (repeatable || std::all_of(request.attempts.begin(), request.attempts.end(),
                                           [](auto& one) { return one.never_ran; }));
  if (request.attempts.empty())
    rejections_.push(true);
  request.over = true;
  forget(id);
  if (!reject)
    return Decision{.action = Action::fail, .request_id = id};
  return Decision{
      .action = Action::reject, .request_id = id, .span = settings_.advice ? pause : Duration{}};
}

std::optional<Decision> RequestScheduler::decide(int id, ScheduledRequest& request, TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  bool out = std::any_of(request.attempts.begin(), request.attempts.end(),
                         [](auto& one) { return one.out; });
  bool more = static_cast<int>(request.attempts.size()) < settings_.max_attempts;
  Duration left = request.info.deadline - now;
  if (out) {
    // A hedged request guards against a silent or slow endpoint; it is waste, so copies are
    // rationed.
    if (!settings_.hedging || request_class.idempotency == Idempotency::non_idempotent ||
        request_class.stream)
      return {};
    if (request.attempts.size() > 1 || !more)
      return {};
    const Attempt& one = request.attempts.back();
    Duration late = from_millis(std::max(endpoints_.usual_ms(request.info.request_class, 0.95),
                                         0.35 * to_millis(request_class.latency_objective)));
    // An endpoint that goes on answering others works on it: a copy would only do long work twice.
    TimePoint heard = endpoints_.all()[one.endpoint].heard_at;
    TimePoint due =
        heard > one.sent ? std::max(one.sent + late, heard + late / 2) : one.sent + late;
    if (now < due)
      return look(id, request, due), std::nullopt;
    if (count(again_) >= max_hedges ||
        to_millis(left) < endpoints_.usual_ms(request.info.request_class, 0.5))
      return {};
    int endpoint = place(request, now);
    return endpoint < 0 ? std::nullopt : forward(id, request, endpoint, now);
  }
  if (left <= 2 * settings_.tick)
    return finish(id, request, {}, now);
  // Repeats are rationed: in an overload they would feed it.
  bool worth_it =
      request.attempts.empty()
          ? let_in(request.info, now)
          : (request.attempts.back().unreached || count(again_) < again_most * open_) &&
                to_millis(left) > 0.5 * endpoints_.usual_ms(request.info.request_class, 0.5);
  int endpoint = more && worth_it ? place(request, now) : -1;
  return endpoint >= 0 ? forward(id, request, endpoint, now)
                       : finish(id, request, settings_.max_pause, now);
}

// While the proxy sheds: by priority weight; what is beyond a tenant's share or whose client will
// hardly wait last.
bool RequestScheduler::let_in(const RequestInfo& info, TimePoint now) {
  if (!shedding())
    return true;
  double mean = 0;
  for (const RequestClass& each : settings_.request_classes)
    mean += each.priority_weight / settings_.request_classes.size();
  double power =
      mean / std::max(0.1, settings_.request_classes[info.request_class].priority_weight);
  bool hasty = to_millis(info.deadline - now) < endpoints_.usual_ms(info.request_class, 0.9);
  return uniform_sample(random_) <=
         std::pow(open_, hasty || over_share(info.tenant) ? power * over_share_power : power);
}

}  // namespace robinhoist
