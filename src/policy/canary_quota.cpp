#include "policy/canary_quota.h"

namespace robinhoist {

CanaryQuota::CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick)
    : settings_(settings), tick_(tick), counts_(settings.by_request_class ? request_classes : 1) {}

void CanaryQuota::news(const ReleaseUpdate& release) {
  if (release.phase == ReleasePhase::rolling_back || release.phase == ReleasePhase::rolled_back)
    moved_keys_.clear();
  release_ = release;
}

CanaryQuota::Count& CanaryQuota::count(int request_class) {
  return counts_[settings_.by_request_class ? request_class : 0];
}

// Sends are kept a tick longer than requests taken, so that either way of reading the window's ends
// holds.
void CanaryQuota::trim(Count& count, TimePoint now) const {
  while (!count.taken.empty() && count.taken.front() <= now - settings_.window + tick_)
    count.taken.pop_front();
  while (!count.sent.empty() && count.sent.front() < now - settings_.window - tick_)
    count.sent.pop_front();
}

void CanaryQuota::taken(int request_class, TimePoint now) {
  count(request_class).taken.push_back(now);
  trim(count(request_class), now);
}

void CanaryQuota::answered(const std::string& key, int build) {
  if (settings_.one_way && !key.empty() && is_canary(build))
    moved_keys_[key] = build;
}

bool CanaryQuota::is_canary(int build) const {
  return release_ && (build > release_->build ||
                      (build == release_->build && release_->phase != ReleasePhase::released));
}

// A build that no news has named counts as in the first stage; one on its way back takes nothing.
double CanaryQuota::cap(int build) const {
  if (build > release_->build)
    return settings_.caps.empty() ? 0 : settings_.caps.front();
  return release_->phase == ReleasePhase::canary ? release_->cap : 0;
}

bool CanaryQuota::allows(const RequestInfo& request, int build, Idempotency idempotency,
                         TimePoint now) {
  if (settings_.one_way && !request.key.empty()) {
    auto moved = moved_keys_.find(request.key);
    if (moved != moved_keys_.end() && build < moved->second)
      return false;
  }
  if (!is_canary(build))
    return true;
  double most = cap(build);
  if (most <= 0)
    return false;
  int stage = build > release_->build ? 0 : release_->stage;
  if (idempotency != Idempotency::idempotent && stage < settings_.safe_only_stages)
    return false;
  Count& of = count(request.request_class);
  trim(of, now);
  return of.sent.size() + 1 <= settings_.free + most * of.taken.size();
}

}  // namespace robinhoist
