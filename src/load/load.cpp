#include "load/load.h"

#include <algorithm>
#include <cmath>

#include "time/units.h"

namespace robinhoist::load {
namespace {
constexpr double wave_period_s = 20;
constexpr double burst_half_period_s = 2;
}  // namespace

const char* to_string(ClientResult result) {
  static const char* const names[] = {"settled",   "declined", "voided",    "not-taken",
                                      "unreached", "broken",   "timed-out", "left"};
  return names[static_cast<int>(result)];
}

LoadGenerator::LoadGenerator(const Settings& settings, unsigned salt)
    : settings_(settings),
      random_(salt),
      down_since_(settings.proxies, TimePoint(Duration(-1))),
      up_(settings.proxies, true) {
  schedule_arrival(TimePoint{});
}

double LoadGenerator::uniform_sample() {
  return boost::random::uniform_real_distribution<double>(0, 1)(random_);
}

double LoadGenerator::rate_at(TimePoint now) const {
  const double s = to_seconds(now.time_since_epoch());
  const double length = std::max(1e-6, to_seconds(settings_.length));
  double factor = rate_factor_ / std::max(0.01, 1 - poison_share_);
  switch (settings_.shape) {
    case Shape::steady:
      break;
    case Shape::wave:
      factor *= 1 + settings_.amplitude * std::sin(2 * 3.14159265358979 * s / wave_period_s);
      break;
    case Shape::ramp:
      factor *= 1 + settings_.amplitude * (2 * s / length - 1);
      break;
    case Shape::bursty:
      factor *= std::fmod(s, 2 * burst_half_period_s) < burst_half_period_s
                    ? 1 + settings_.amplitude
                    : 1 - settings_.amplitude;
      break;
  }
  return std::max(0.1, settings_.rate * factor);
}

void LoadGenerator::schedule_arrival(TimePoint from) {
  const double wait = boost::random::exponential_distribution<double>(rate_at(from))(random_);
  arrival_at_ = from + std::max(Duration(1), from_seconds(wait));
  if (arrival_at_ >= TimePoint(settings_.length))
    arrivals_over_ = true;
}

ClientAttempt LoadGenerator::draw_request(TimePoint now) {
  ClientAttempt attempt;
  attempt.id = attempt.first_id = next_id_++;
  attempt.at = now;
  double at = uniform_sample();
  for (std::size_t p = 0; p < settings_.request_classes.size(); ++p) {
    attempt.request_class = static_cast<int>(p);
    if ((at -= settings_.request_classes[p].share) < 0)
      break;
  }
  at = uniform_sample();
  for (std::size_t t = 0; t < settings_.tenants.size(); ++t) {
    attempt.tenant = static_cast<int>(t);
    if ((at -= settings_.tenants[t]) < 0)
      break;
  }
  if (poison_share_ > 0 && uniform_sample() < poison_share_) {
    attempt.poison = true;
    if (poison_tenant_ >= 0)
      attempt.tenant = poison_tenant_;
  }
  const RequestClass& request_class = settings_.request_classes[attempt.request_class];
  const double mean = to_seconds(request_class.work);
  if (request_class.distribution == WorkDistribution::exponential) {
    attempt.work = from_seconds(
        boost::random::exponential_distribution<double>(1 / std::max(1e-6, mean))(random_));
  } else {
    const double sigma2 = std::log(1 + request_class.coefficient_of_variation *
                                           request_class.coefficient_of_variation);
    attempt.work = from_seconds(boost::random::lognormal_distribution<double>(
        std::log(std::max(1e-6, mean)) - sigma2 / 2, std::sqrt(sigma2))(random_));
  }
  if (request_class.keyed)
    attempt.key = "k" + std::to_string(random_()) + "-" + std::to_string(attempt.id);
  return attempt;
}

// Draws the proxy, the client's time-out, and whether the client disconnects earlier.
void LoadGenerator::assign_proxy_and_timing(ClientAttempt& attempt, TimePoint now) {
  std::vector<int> candidates;
  for (int u = 0; u < settings_.proxies; ++u)
    if (up_[u] || now < down_since_[u] + settings_.failover_delay)
      candidates.push_back(u);
  if (candidates.empty())
    for (int u = 0; u < settings_.proxies; ++u)
      candidates.push_back(u);
  if (hot_proxies_share_ > 0 && uniform_sample() < hot_proxies_share_)
    candidates = hot_proxies_;
  attempt.proxy = candidates[static_cast<std::size_t>(uniform_sample() *
                                                      static_cast<double>(candidates.size()))];
  const RequestClass& request_class = settings_.request_classes[attempt.request_class];
  double patience =
      settings_.min_patience + uniform_sample() * (settings_.max_patience - settings_.min_patience);
  if (attempt.tenant == abuse_tenant_ && abuse_retries_ > 0)
    patience = abuse_patience_;
  attempt.deadline = now + from_seconds(to_seconds(request_class.deadline) * patience);
  attempt.disconnects_at =
      uniform_sample() < settings_.disconnect_share
          ? now + from_seconds(to_seconds(attempt.deadline - now) * uniform_sample())
          : TimePoint{};
}

std::optional<ClientAttempt> LoadGenerator::next(TimePoint now) {
  ClientAttempt attempt;
  if (!scheduled_.empty() && scheduled_.top().at <= now &&
      (arrivals_over_ || scheduled_.top().at <= arrival_at_)) {
    attempt = scheduled_.top().attempt;
    scheduled_.pop();
    attempt.at = now;
  } else if (!arrivals_over_ && arrival_at_ <= now) {
    attempt = draw_request(arrival_at_);
    first_at_[attempt.first_id] = arrival_at_;
    schedule_arrival(arrival_at_);
  } else {
    return {};
  }
  assign_proxy_and_timing(attempt, attempt.at);
  const bool abused = attempt.tenant == abuse_tenant_ && abuse_retries_ > 0;
  open_[attempt.id] = {attempt, first_at_[attempt.first_id],
                       abused ? abuse_retries_ : settings_.retries};
  return attempt;
}

std::optional<TimePoint> LoadGenerator::next_at() const {
  std::optional<TimePoint> at;
  if (!arrivals_over_)
    at = arrival_at_;
  if (!scheduled_.empty())
    at = at ? std::min(*at, scheduled_.top().at) : scheduled_.top().at;
  return at;
}

void LoadGenerator::attempt_ended(std::int64_t id, ClientResult result, Duration retry_after,
                                  TimePoint now) {
  auto found = open_.find(id);
  if (found == open_.end())
    return;
  const OpenAttempt open = found->second;
  open_.erase(found);
  const RequestClass& request_class = settings_.request_classes[open.attempt.request_class];
  const bool never_ran = result == ClientResult::rejected ||
                         result == ClientResult::rejected_before_routing ||
                         result == ClientResult::unreached;
  bool may_retry =
      result != ClientResult::succeeded && result != ClientResult::client_disconnected &&
      open.attempt.number < open.retries && result != ClientResult::rejected_before_routing;
  if (may_retry && !never_ran) {
    // A keyed request may be retried while servers drop repeats of its key, counted from its first
    // attempt.
    if (request_class.retry_policy == RetryPolicy::only_rejected)
      may_retry = false;
    if (request_class.retry_policy == RetryPolicy::within_dedup_window)
      may_retry = request_class.dedup_window > Duration{} &&
                  now + request_class.deadline < open.first_at + request_class.dedup_window;
  }
  const bool abused = open.attempt.tenant == abuse_tenant_ && abuse_retries_ > 0;
  Duration wait{};
  if (!abused) {
    const Duration drawn =
        settings_.min_backoff +
        from_seconds(uniform_sample() * to_seconds(settings_.max_backoff - settings_.min_backoff));
    if (settings_.backoff == Backoff::fixed)
      wait = drawn;
    if (settings_.backoff == Backoff::exponential)
      wait = drawn * (1 << std::min(open.attempt.number, 6));
    if (retry_after > Duration{} && uniform_sample() < settings_.retry_after_compliance)
      wait = std::max(wait, retry_after);
  }
  // All attempts of a request share a time limit, and a keyed request is retried only within the
  // dedup window.
  const TimePoint at = now + wait;
  if (!may_retry ||
      (request_class.retry_policy == RetryPolicy::within_dedup_window &&
       at + request_class.deadline >= open.first_at + request_class.dedup_window) ||
      (!abused && at >= open.first_at + request_class.deadline * (1 + open.retries))) {
    first_at_.erase(open.attempt.first_id);
    return;
  }
  ClientAttempt next = open.attempt;
  next.id = next_id_++;
  ++next.number;
  scheduled_.push({at, next.id, next});
}

void LoadGenerator::set_proxy_up(int number, bool up, TimePoint now) {
  up_[number] = up;
  if (!up)
    down_since_[number] = now;
}

void LoadGenerator::concentrate_on_proxies(std::vector<int> proxies, double share) {
  hot_proxies_ = std::move(proxies);
  hot_proxies_share_ = hot_proxies_.empty() ? 0 : share;
}

void LoadGenerator::set_poison_share(int tenant, double share) {
  poison_tenant_ = tenant;
  poison_share_ = share;
}

void LoadGenerator::set_retry_abuse(int tenant, int retries, double patience) {
  abuse_tenant_ = tenant;
  abuse_retries_ = retries;
  abuse_patience_ = patience;
}

}  // namespace robinhoist::load
