#include "policy/canary_quota.h"

namespace robinhoist {

CanaryQuota::CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick)
    : settings_(settings), tick_(tick), counts_(settings.by_request_class ? request_classes : 1) {}

void CanaryQuota::release_updated(const ReleaseUpdate& release) {
  if (release.phase == ReleasePhase::rolling_back || release.phase == ReleasePhase::rolled_back)
    build_by_key_.clear();
  release_ = release;
}

CanaryQuota::Counts& CanaryQuota::counts_for(int request_class) {
  return counts_[settings_.by_request_class ? request_class : 0];
}

// Attempts are kept two ticks longer than requests, so that the cap holds wherever an observer with
// a clock resolution of one tick places the ends of the window.
void CanaryQuota::drop_expired(Counts& counts, TimePoint now) const {
  const TimePoint window_start = now - settings_.window;
  while (!counts.requests.empty() && counts.requests.front() <= window_start + tick_)
    counts.requests.pop_front();
  while (!counts.canary_attempts.empty() && counts.canary_attempts.front() < window_start - tick_)
    counts.canary_attempts.pop_front();
}

void CanaryQuota::request_arrived(int request_class, TimePoint now) {
  Counts& counts = counts_for(request_class);
  counts.requests.push_back(now);
  drop_expired(counts, now);
}

void CanaryQuota::canary_attempt_sent(int request_class, TimePoint now) {
  counts_for(request_class).canary_attempts.push_back(now);
}

void CanaryQuota::request_answered(const std::string& key, int build) {
  if (settings_.sticky_keys && !key.empty() && is_canary(build))
    build_by_key_[key] = build;
}

bool CanaryQuota::is_canary(int build) const {
  return release_ && (build > release_->build ||
                      (build == release_->build && release_->phase != ReleasePhase::released));
}

// A build newer than the announced one gets the cap of the first stage; a build that is being
// rolled back gets no traffic.
double CanaryQuota::cap(int build) const {
  if (build > release_->build)
    return settings_.caps.empty() ? 0 : settings_.caps.front();
  return release_->phase == ReleasePhase::canary ? release_->cap : 0;
}

bool CanaryQuota::answered_by_newer_build(const std::string& key, int build) const {
  if (!settings_.sticky_keys || key.empty())
    return false;
  const auto sticky = build_by_key_.find(key);
  return sticky != build_by_key_.end() && build < sticky->second;
}

bool CanaryQuota::allows(const RequestInfo& request, int build, Idempotency idempotency,
                         TimePoint now) {
  if (answered_by_newer_build(request.key, build))
    return false;
  if (!is_canary(build))
    return true;
  const double max_share = cap(build);
  if (max_share <= 0)
    return false;
  const int stage = build > release_->build ? 0 : release_->stage;
  if (idempotency != Idempotency::idempotent && stage < settings_.idempotent_only_stages)
    return false;
  Counts& counts = counts_for(request.request_class);
  drop_expired(counts, now);
  const auto attempts = static_cast<double>(counts.canary_attempts.size() + 1);
  const auto requests = static_cast<double>(counts.requests.size());
  return attempts <= settings_.uncapped_attempts + max_share * requests;
}

}  // namespace robinhoist
