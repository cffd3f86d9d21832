#include "policy/fleet_slowdown_check.h"

#include <algorithm>
#include <cmath>

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

// Answers in a window, and the part of them that a proxy needs if many votes are needed.
constexpr std::size_t window_answers = 30;
constexpr double many_votes_share = 0.6;
constexpr Duration min_window = 1500ms;
constexpr Duration max_window = 8s;
constexpr Duration min_slowdown = 2 * min_window;
constexpr double slowdown_ratio = 1.7;
// Above this load, relative to the reference, a slowdown is attributed to the load.
constexpr double max_load_ratio = 1.3;
// A slowdown above this before the canary gets much traffic has another cause than the release.
constexpr double max_early_slowdown = 1.4;
constexpr double min_endpoint_samples = 2;

}  // namespace

CheckResult FleetSlowdownCheck::run(const ReleaseUpdate& release, const FleetObservation& fleet,
                                    bool comparable) {
  if (reference_due_ && release.phase == ReleasePhase::canary && release.stage <= 1)
    update_reference(release, fleet);
  reference_due_ = false;
  const bool enough = static_cast<double>(fleet.canary.size()) >= min_stage_attempts / 2;
  if (!enough || !(comparable || many_votes_) || !slower_than_reference(release, fleet, comparable))
    last_healthy_at_ = fleet.now;
  if (fleet.now - last_healthy_at_ >= min_slowdown)
    return CheckResult::failure(AnalysisReason::fleet_slowdown, fleet.load, reference_->load);
  return {};
}

void FleetSlowdownCheck::update_reference(const ReleaseUpdate& release,
                                          const FleetObservation& fleet) {
  CohortStatistics before(request_classes_);
  before.add(fleet.baseline, window_start(fleet.baseline, fleet.now - min_window), exclude_none);
  const bool known = before.total.latency_samples >= min_answers() && fleet.load > 0;
  const double ratio = known ? before.total.mean_log_objective_ratio() : 0;
  if (release.stage == 0 && known)
    reference_ = Reference{fleet.load, ratio};
  if (release.stage == 1 && reference_ &&
      ratio > reference_->mean_log_objective_ratio + std::log(max_early_slowdown))
    reference_.reset();
}

bool FleetSlowdownCheck::slower_than_reference(const ReleaseUpdate& release,
                                               const FleetObservation& fleet,
                                               bool comparable) const {
  if (!reference_ || release.stage == 0)
    return false;
  CohortStatistics now(request_classes_);
  now.add(fleet.baseline, window_start(fleet.baseline, fleet.now), exclude_none);
  if (!comparable)
    now.add(fleet.canary, window_start(fleet.canary, fleet.now), exclude_none);
  if (now.total.latency_samples < min_answers())
    return false;
  const double load_ratio = std::max(1.0, fleet.load / reference_->load);
  if (load_ratio > max_load_ratio)
    return false;
  // Queues grow faster than the load, so the required slowdown grows with the square of the load.
  const double min_slowdown_log = std::log(slowdown_ratio * load_ratio * load_ratio);
  const double reference_log = reference_->mean_log_objective_ratio;
  int slow = 0;
  int measured = 0;
  for (const auto& [endpoint, totals] : now.by_endpoint) {
    if (totals.latency_samples < min_endpoint_samples)
      continue;
    ++measured;
    slow += totals.mean_log_objective_ratio() > reference_log + min_slowdown_log / 2 ? 1 : 0;
  }
  return now.total.mean_log_objective_ratio() > reference_log + min_slowdown_log &&
         5 * slow >= 4 * measured;
}

double FleetSlowdownCheck::min_answers() const {
  return window_answers * (many_votes_ ? many_votes_share : 1);
}

// The start of the observation window. It is short, but where many votes are needed it is extended
// until it contains enough answers.
TimePoint FleetSlowdownCheck::window_start(const SlidingWindow<Sample>& samples,
                                           TimePoint now) const {
  TimePoint start = now;
  if (many_votes_)
    start = samples.size() < window_answers ? long_ago : samples.back(window_answers - 1).ended_at;
  return std::clamp(start, now - max_window, now - min_window);
}

}  // namespace robinhoist
