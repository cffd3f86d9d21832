#include "policy/endpoint_health.h"

#include <algorithm>

#include "time/units.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t result_window = 16;   // results kept for each endpoint
constexpr Duration max_result_age = 5s;     // older results are not recent
constexpr int losses_to_eject = 2;          // consecutive
constexpr Duration first_ejection = 500ms;  // doubles with each further loss
constexpr int max_ejection_doublings = 3;
constexpr Duration first_rejection_pause = 100ms;  // doubles with each further rejection
constexpr int max_rejection_doublings = 4;
constexpr Duration failure_pause = 2s;  // after the last failure of an endpoint that fails often
constexpr std::size_t min_failures = 3;
constexpr std::size_t unhealthy_one_in = 4;  // an endpoint fails often if one in this many failed
constexpr double min_latency_ratio = 0.3;    // bounds of a single result's contribution to the sum
constexpr double max_latency_ratio = 8.0;
constexpr Duration max_load_age = 1s;
// Results with a lower sum of concurrencies are few; a wait computed from them soon expires.
constexpr double min_concurrency_sum = 4;
constexpr Duration max_age_of_few_results = 1s;
}  // namespace

EndpointHealth::State::State() : results(result_window) {}

void EndpointHealth::resize(int endpoint_count) {
  endpoints_.resize(endpoint_count);
}

void EndpointHealth::reset(int endpoint) {
  State& state = endpoints_[endpoint];
  state.results.clear();
  state.recent.reset();
  state.consecutive_losses = 0;
  state.consecutive_rejections = 0;
  state.last_answer_at = long_ago;
  state.last_rejection_at = long_ago;
}

void EndpointHealth::attempt_sent(int endpoint, TimePoint now) {
  endpoints_[endpoint].in_flight.push_back(now);
}

void EndpointHealth::remove_in_flight(const Attempt& attempt) {
  std::vector<TimePoint>& in_flight = endpoints_[attempt.endpoint].in_flight;
  const auto sent = std::find(in_flight.begin(), in_flight.end(), attempt.sent);
  if (sent != in_flight.end())
    in_flight.erase(sent);
}

bool EndpointHealth::is_unresponsive_since(const Attempt& attempt, TimePoint now) {
  return endpoints_[attempt.endpoint].last_answer_at < attempt.sent &&
         now - attempt.sent > latency_.response_timeout();
}

// A reset connection does not count as a loss: it was closed at the endpoint, so the host is
// reachable. If the process has died, the next connection attempt fails.
bool EndpointHealth::record_reachability(const Attempt& attempt, Outcome outcome, TimePoint now) {
  State& state = endpoints_[attempt.endpoint];
  if (is_lost(outcome) || outcome == Outcome::cancelled) {
    if (state.last_answer_at < attempt.sent && outcome != Outcome::reset) {
      ++state.consecutive_losses;
      state.last_loss_at = now;
    }
    return false;
  }
  const bool recovered = state.consecutive_losses >= losses_to_eject;
  state.consecutive_losses = 0;
  state.last_answer_at = now;
  return recovered;
}

void EndpointHealth::record_result(const Attempt& attempt, Outcome outcome,
                                   const RequestInfo& request, TimePoint now) {
  State& state = endpoints_[attempt.endpoint];
  if (outcome == Outcome::rejected) {
    ++state.consecutive_rejections;
    state.last_rejection_at = now;
    return;
  }
  state.consecutive_rejections = 0;
  const Duration latency = now - attempt.sent;
  // A timeout while the endpoint answers other requests is caused by load, not by a fault.
  const bool late_only = outcome == Outcome::timeout && state.last_answer_at >= attempt.sent;
  state.results.push({.at = now,
                      .healthy = outcome == Outcome::ok || late_only,
                      .latency_ratio = latency_.latency_ratio(request.request_class, latency,
                                                              request.cost_hint_ms),
                      .latency = latency,
                      .concurrency = attempt.concurrency,
                      .has_latency = outcome != Outcome::error});
  state.recent.reset();
}

void EndpointHealth::record_load(int endpoint, const LoadReport& load, TimePoint now) {
  if (!load.in_flight && !load.utilization)
    return;
  endpoints_[endpoint].load = load;
  endpoints_[endpoint].load_at = now;
}

bool EndpointHealth::is_ejected(int endpoint, TimePoint now) const {
  const State& state = endpoints_[endpoint];
  if (state.consecutive_losses < losses_to_eject)
    return false;
  const int doublings =
      std::min(state.consecutive_losses - losses_to_eject, max_ejection_doublings);
  return now < state.last_loss_at + first_ejection * (1 << doublings) || !state.in_flight.empty();
}

bool EndpointHealth::is_healthy(int endpoint, TimePoint now) {
  const State& state = endpoints_[endpoint];
  if (state.consecutive_rejections > 0) {
    const int doublings = std::min(state.consecutive_rejections - 1, max_rejection_doublings);
    if (now < state.last_rejection_at + first_rejection_pause * (1 << doublings))
      return false;
  }
  if (!state.in_flight.empty() && state.last_answer_at < state.in_flight.front() &&
      now - state.in_flight.front() > latency_.response_timeout())
    return false;
  const RecentResults& recent = recent_results(endpoint, now);
  if (recent.failed >= min_failures && recent.failed * unhealthy_one_in >= recent.count)
    return now > recent.last_failed_at + failure_pause && state.in_flight.empty();
  return true;
}

const RecentResults& EndpointHealth::recent_results(int endpoint, TimePoint now) {
  State& state = endpoints_[endpoint];
  if (state.recent && now <= state.recent->valid_until)
    return *state.recent;
  RecentResults recent;
  for (std::size_t age = 0; age < state.results.size(); ++age) {
    const AttemptResult& result = state.results.back(age);
    if (result.at < now - max_result_age)
      break;
    ++recent.count;
    recent.valid_until = result.at + max_result_age;
    // Errors may arrive quickly, so their latency must not make the endpoint look fast.
    recent.latency_ratios +=
        result.has_latency ? std::clamp(result.latency_ratio, min_latency_ratio, max_latency_ratio)
                           : 1;
    recent.latency_s += result.has_latency ? to_seconds(result.latency) : 0;
    recent.concurrency += result.has_latency ? result.concurrency : 0;
    if (result.healthy)
      continue;
    ++recent.failed;
    recent.last_failed_at = std::max(recent.last_failed_at, result.at);
  }
  return state.recent.emplace(recent);
}

LoadReport EndpointHealth::fresh_load(int endpoint, TimePoint now) const {
  const State& state = endpoints_[endpoint];
  return now < state.load_at + max_load_age ? state.load : LoadReport{};
}

// By Little's law: own attempts in flight over the recent throughput. The limit on this wait keeps
// attempts out of queues in which they would time out, whatever the cause of the queue. With few
// results the estimate can be too high and cause premature shedding.
Duration EndpointHealth::expected_wait(int endpoint, TimePoint now) {
  const State& state = endpoints_[endpoint];
  const RecentResults& recent = recent_results(endpoint, now);
  if (recent.concurrency < min_concurrency_sum &&
      (recent.concurrency == 0 || state.results.back(0).at < now - max_age_of_few_results))
    return Duration{};
  const double queued = static_cast<double>(state.in_flight.size() + 1);
  return from_millis(1e3 * queued * recent.latency_s / recent.concurrency);
}

}  // namespace robinhoist
