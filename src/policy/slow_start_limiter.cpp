#include "policy/slow_start_limiter.h"

#include <algorithm>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

namespace {
constexpr double safety_factor = 0.6;      // part of the permitted requests that is used
constexpr double min_window_requests = 8;  // requests per window allowed to all proxies together
}  // namespace

SlowStartLimiter::SlowStartLimiter(const EndpointSettings& settings, const EndpointSet& endpoints)
    : settings_(settings), endpoints_(endpoints) {}

void SlowStartLimiter::resize(int endpoint_count) {
  states_.resize(endpoint_count);
}

void SlowStartLimiter::reset(int endpoint) {
  states_[endpoint].last_sent_at = long_ago;
}

void SlowStartLimiter::list_changing() {
  warm_endpoints();
}

void SlowStartLimiter::attempt_sent(int endpoint, TimePoint now) {
  if (endpoints_.is_warm(endpoint, now))
    return;
  states_[endpoint].sent.push_back(now);
  states_[endpoint].last_sent_at = now;
}

void SlowStartLimiter::attempt_succeeded(int endpoint, TimePoint now) {
  successes_.push_back({.at = now, .endpoint = endpoint});
  ++states_[endpoint].successes;
  while (successes_.front().at < now - settings_.collapse_window) {
    --states_[successes_.front().endpoint].successes;
    successes_.pop_front();
  }
  count_warm_as_of_ = now;
}

// The number of warm endpoints as of the last success. Endpoints removed since then are included:
// otherwise the throughput per endpoint would be overestimated while a fleet is being replaced.
int SlowStartLimiter::warm_endpoints() {
  if (!count_warm_as_of_)
    return warm_endpoints_;
  warm_endpoints_ = 0;
  for (int endpoint = 0; endpoint < endpoints_.size(); ++endpoint)
    if (states_[endpoint].successes > 0 ||
        (endpoints_.is_ready(endpoint) && endpoints_.is_warm(endpoint, *count_warm_as_of_)))
      ++warm_endpoints_;
  count_warm_as_of_.reset();
  return warm_endpoints_;
}

// The number of requests that this proxy may send to the endpoint in one window, if this share of
// the proxies sends requests to it.
double SlowStartLimiter::allowance(int number, double proxy_share, TimePoint now) {
  const EndpointState& endpoint = endpoints_[number];
  // The lowest warm-up factor within half a window.
  const double lowest_factor = endpoints_.warm_up_factor(
      number,
      std::max({endpoint.started, endpoint.recovered_at, now - settings_.collapse_window / 2}));
  const double by_throughput = safety_factor * settings_.collapse_multiple * lowest_factor *
                               endpoint.size * static_cast<double>(successes_.size()) /
                               (std::max(1, warm_endpoints()) * proxy_share);
  const double minimum = std::min(1.0, min_window_requests / (settings_.proxy_count * proxy_share));
  return std::max(by_throughput, minimum);
}

bool SlowStartLimiter::allows(int endpoint, std::size_t subset_size, TimePoint now) {
  if (endpoints_.is_warm(endpoint, now))
    return true;
  State& state = states_[endpoint];
  while (!state.sent.empty() && state.sent.front() < now - settings_.collapse_window)
    state.sent.pop_front();
  // An endpoint of a small group is in the subsets of more proxies than one of a large group.
  const auto group_size = static_cast<double>(endpoints_.group_of(endpoint).size());
  const double proxy_share =
      std::min(1.0, static_cast<double>(subset_size) / std::max(1.0, group_size));
  const double max_requests = allowance(endpoint, proxy_share, now);
  if (max_requests >= 1)
    return static_cast<double>(state.sent.size() + 1) <= max_requests;
  // The first request is delayed by an offset that differs between proxies. Otherwise all of them
  // could send one request at the same time, which together exceeds the permitted load.
  const Duration gap = from_millis(to_millis(settings_.collapse_window) / max_requests);
  const Duration offset =
      from_millis(to_millis(gap) * golden_ratio_point(settings_.proxy_index + endpoint));
  return now >= std::max(state.last_sent_at + gap, endpoints_[endpoint].listed_at + offset);
}

}  // namespace robinhoist
