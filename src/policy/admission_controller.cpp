#include "policy/admission_controller.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

namespace {
constexpr std::size_t request_window = 100;
constexpr std::size_t tenant_window = 200;
constexpr std::size_t answer_window = 8;
constexpr int max_rejections = 5;  // in the request window; with more, the proxy is rejecting

// Thresholds of an answer's latency, relative to the latency objective.
constexpr double slow_ratio = 0.4;
constexpr double congested_ratio = 0.75;

// The AIMD changes for one second, spread over the attempts of that second.
constexpr double decrease_per_s = 1.25;
constexpr double increase_per_s = 0.25;
constexpr double min_attempts_per_s = 16;  // below this the rate rises with time instead
constexpr double min_admission_rate = 0.05;
constexpr double full_admission_rate = 0.9;  // at or above this nothing is shed

constexpr double quota_tolerance = 1.1;
// Exponent of the admission rate for requests that are shed first.
constexpr double deprioritized_power = 3;

// The longest wait in latency objectives: its minimum, and the most that the priority weight adds.
constexpr double min_wait_ratio = 0.45;
constexpr double priority_wait_ratio = 0.3;
constexpr double over_quota_wait_factor = 0.7;

constexpr double min_priority_weight = 0.1;
}  // namespace

AdmissionController::AdmissionController(const RequestSettings& settings, UpstreamCluster& cluster)
    : settings_(settings),
      cluster_(cluster),
      rejections_(request_window),
      slow_answers_(answer_window),
      tenants_(tenant_window) {}

void AdmissionController::attempt_ended(const Attempt& attempt, Outcome outcome, int request_class,
                                        TimePoint now) {
  const EndpointSet& endpoints = cluster_.endpoints();
  if (!endpoints.is_warm(attempt.endpoint, attempt.sent) || !endpoints.is_local(attempt.endpoint))
    return;
  const double ratio = cluster_.latency().objective_ratio(request_class, now - attempt.sent);
  if (outcome == Outcome::ok)
    slow_answers_.push(ratio > slow_ratio);
  const bool rejected = outcome == Outcome::rejected;
  const bool congested = rejected || ratio > congested_ratio;
  // Attempts that the client abandoned early are ignored, and so are timeouts while the answers
  // that do arrive are fast: neither is evidence of congestion.
  const bool mostly_slow = 2 * slow_answers_.count() >= static_cast<int>(slow_answers_.size());
  const bool congestion_loss = congested && outcome == Outcome::timeout && mostly_slow;
  if (outcome != Outcome::ok && !rejected && !congestion_loss)
    return;
  // With few attempts the rate rises with elapsed time. Otherwise a proxy that admits little gets
  // few answers and never recovers.
  const double attempts_per_s = cluster_.attempts_per_s(now);
  const double step = 1 / std::max(min_attempts_per_s, attempts_per_s);
  const double rise = attempts_per_s < min_attempts_per_s
                          ? std::min(1.0, to_seconds(now - rate_updated_at_))
                          : step;
  rate_updated_at_ = now;
  admission_rate_ =
      congested ? std::max(min_admission_rate, admission_rate_ * (1 - decrease_per_s * step))
                : std::min(1.0, admission_rate_ + increase_per_s * rise);
}

bool AdmissionController::is_shedding() const {
  return admission_rate_ < full_admission_rate;
}

bool AdmissionController::is_rejecting() const {
  return rejections_.count() > max_rejections;
}

// While requests are being shed, the chance of admission follows the priority weight. Requests over
// their tenant's quota, or with a deadline too near to be met, have the lowest chance.
bool AdmissionController::admits(const RequestInfo& request, TimePoint now,
                                 std::minstd_rand& random) {
  if (!is_shedding())
    return true;
  const auto class_count = static_cast<double>(settings_.request_classes.size());
  double mean_weight = 0;
  for (const RequestClass& request_class : settings_.request_classes)
    mean_weight += request_class.priority_weight / class_count;
  const double weight = settings_.request_classes[request.request_class].priority_weight;
  const double power = mean_weight / std::max(min_priority_weight, weight);
  const bool deadline_is_near =
      to_millis(request.deadline - now) < cluster_.latency().typical_ms(request.request_class, 0.9);
  const bool deprioritized = deadline_is_near || is_over_quota(request.tenant);
  return uniform_sample(random) <=
         std::pow(admission_rate_, deprioritized ? power * deprioritized_power : power);
}

// Whether the tenant's share of this proxy's recent requests exceeds its share of all tenants'
// allowances. Meaningful only under overload, when allowances compete.
bool AdmissionController::is_over_quota(int tenant) const {
  if (tenant >= static_cast<int>(settings_.tenants.size()))
    return false;
  double total_allowance = 0;
  for (const Tenant& other : settings_.tenants)
    total_allowance += other.allowance_per_s;
  double requests = 0;
  for (std::size_t age = 0; age < tenants_.size(); ++age)
    requests += tenants_.back(age) == tenant ? 1 : 0;
  return requests * total_allowance > quota_tolerance * settings_.tenants[tenant].allowance_per_s *
                                          static_cast<double>(tenants_.size());
}

Duration AdmissionController::max_wait(const RequestInfo& request, TimePoint now) const {
  const RequestClass& request_class = settings_.request_classes[request.request_class];
  double max_weight = 0;
  Duration objective = request_class.latency_objective;
  for (const RequestClass& other : settings_.request_classes) {
    max_weight = std::max(max_weight, other.priority_weight);
    if (other.priority_weight >= request_class.priority_weight)
      objective = std::min(objective, other.latency_objective);
  }
  const double priority = max_weight > 0 ? request_class.priority_weight / max_weight : 1;
  double ratio = min_wait_ratio + priority_wait_ratio * priority;
  if (is_rejecting() && is_over_quota(request.tenant))
    ratio *= over_quota_wait_factor;
  return std::min(from_millis(ratio * to_millis(objective)), request.deadline - now);
}

}  // namespace robinhoist
