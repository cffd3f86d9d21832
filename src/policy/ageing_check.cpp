#include "policy/ageing_check.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

constexpr double min_endpoint_attempts = 3;
constexpr double min_latency_samples = 3;
constexpr double slow_ratio = 1.6;  // latency relative to the baseline's
constexpr int min_degraded_endpoints = 2;
constexpr double suspicious_p_value = 0.01;
// Endpoints of different stages start at least this far apart.
constexpr Duration stage_start_gap = 1s;

struct StartedEndpoint {
  TimePoint started;
  bool degraded;
};

// The canary's endpoints with enough attempts, in the order in which they started.
std::vector<StartedEndpoint> endpoints_by_start(const CohortStatistics& canary, int build,
                                                const std::vector<EndpointState>& endpoints) {
  std::vector<StartedEndpoint> by_start;
  for (const auto& [endpoint, totals] : canary.by_endpoint) {
    if (totals.attempts < min_endpoint_attempts || endpoints[endpoint].build != build)
      continue;
    const bool slow = totals.latency_samples >= min_latency_samples &&
                      totals.mean_log_latency() > std::log(slow_ratio);
    by_start.push_back({endpoints[endpoint].started, totals.unhealthy() || slow});
  }
  std::sort(by_start.begin(), by_start.end(),
            [](const auto& left, const auto& right) { return left.started < right.started; });
  return by_start;
}

// The probability that a random selection puts as many degraded endpoints among those started
// first; the minimum over all possible boundaries between stages.
double ageing_p_value(const std::vector<StartedEndpoint>& by_start) {
  const int endpoints = static_cast<int>(by_start.size());
  const int degraded = static_cast<int>(std::count_if(
      by_start.begin(), by_start.end(), [](const auto& entry) { return entry.degraded; }));
  int early_degraded = 0;
  double p_value = 1;
  for (int index = 0; index + 1 < endpoints; ++index) {
    const int early = index + 1;
    early_degraded += by_start[index].degraded ? 1 : 0;
    const Duration gap = by_start[index + 1].started - by_start[index].started;
    const bool stage_boundary = gap >= stage_start_gap;
    const bool mostly_degraded =
        early_degraded >= min_degraded_endpoints && 4 * early_degraded >= 3 * early;
    if (stage_boundary && mostly_degraded)
      p_value =
          std::min(p_value, hypergeometric_upper_tail(endpoints, early, degraded, early_degraded));
  }
  return p_value;
}

}  // namespace

CheckResult check_ageing(const CohortStatistics& canary, int build,
                         const std::vector<EndpointState>& endpoints, const CheckContext& context) {
  const double p_value = ageing_p_value(endpoints_by_start(canary, build, endpoints));
  if (p_value < context.significance)
    return CheckResult::failure(AnalysisReason::ageing, p_value, context.significance);
  return CheckResult::not_failed(p_value < suspicious_p_value);
}

}  // namespace robinhoist
