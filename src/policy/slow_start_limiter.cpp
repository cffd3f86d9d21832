#include "policy/slow_start_limiter.h"

#include <algorithm>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

namespace {
constexpr double safety_margin = 0.6;      // of what may be sent
constexpr double min_window_requests = 8;  // of all proxies together
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

// How many endpoints were warm when the last answer came. Those that have gone since count too:
// else a fleet that is being swapped looks far more capable than it is.
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

// Requests that this proxy may send to the endpoint in one window, where this part of the proxies
// reaches it.
double SlowStartLimiter::allowance(int number, double reached_by, TimePoint now) {
  const EndpointState& endpoint = endpoints_[number];
  const double certain_factor = endpoints_.warm_up_factor(
      number,
      std::max({endpoint.started, endpoint.recovered_at, now - settings_.collapse_window / 2}));
  const double by_warm_endpoints = safety_margin * settings_.collapse_multiple * certain_factor *
                                   endpoint.size * static_cast<double>(successes_.size()) /
                                   (std::max(1, warm_endpoints()) * reached_by);
  const double least = std::min(1.0, min_window_requests / (settings_.proxy_count * reached_by));
  return std::max(by_warm_endpoints, least);
}

bool SlowStartLimiter::allows(int endpoint, std::size_t subset_size, TimePoint now) {
  if (endpoints_.is_warm(endpoint, now))
    return true;
  State& state = states_[endpoint];
  while (!state.sent.empty() && state.sent.front() < now - settings_.collapse_window)
    state.sent.pop_front();
  // An endpoint of a small group is reached by more of the proxies than one of a large group.
  const auto group_size = static_cast<double>(endpoints_.group_of(endpoint).size());
  const double reached_by =
      std::min(1.0, static_cast<double>(subset_size) / std::max(1.0, group_size));
  const double max_requests = allowance(endpoint, reached_by, now);
  if (max_requests >= 1)
    return static_cast<double>(state.sent.size() + 1) <= max_requests;
  // The first request waits for a point in time of the proxy's own: guards against the sum of many
  // small allowances.
  const Duration gap = from_millis(to_millis(settings_.collapse_window) / max_requests);
  const Duration offset =
      from_millis(to_millis(gap) * golden_ratio_point(settings_.proxy_index + endpoint));
  return now >= std::max(state.last_sent_at + gap, endpoints_[endpoint].listed_at + offset);
}

}  // namespace robinhoist
