#include "platform/release_tracker.h"

#include <algorithm>
#include <compare>

namespace robinhoist::platform {
namespace {

// A release passes through these in order; the last may be skipped, and so may released.
int order_of(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::canary:
      return 0;
    case ReleasePhase::released:
      return 1;
    case ReleasePhase::rolling_back:
      return 2;
    case ReleasePhase::rolled_back:
      break;
  }
  return 3;
}

// The stage orders only the states of a canary: a later phase keeps the number of its last stage.
std::strong_ordering compare_states(const ReleaseUpdate& a, const ReleaseUpdate& b) {
  if (a.build != b.build)
    return a.build <=> b.build;
  if (a.phase != b.phase)
    return order_of(a.phase) <=> order_of(b.phase);
  return a.phase == ReleasePhase::canary ? a.stage <=> b.stage : std::strong_ordering::equal;
}

}  // namespace

ReleaseTracker::ReleaseTracker(const ReleaseUpdate& known, TimePoint now)
    : known_(known), began_by_(now - known.since) {}

ReleaseChange ReleaseTracker::receive(const ReleaseUpdate& release, ReleaseMessageSource source,
                                      TimePoint now) {
  const std::strong_ordering order = compare_states(release, known_);
  if (std::is_lt(order))
    return ReleaseChange::outdated;
  const TimePoint began_by = now - release.since;
  if (std::is_gt(order)) {
    known_ = release;
    began_by_ = began_by;
    return ReleaseChange::advanced;
  }
  began_by_ = std::min(began_by_, began_by);
  if (source == ReleaseMessageSource::watch)
    known_.cap = release.cap;
  return ReleaseChange::repeated;
}

ReleaseUpdate ReleaseTracker::known(TimePoint now) const {
  ReleaseUpdate release = known_;
  release.since = std::max(Duration{}, now - began_by_);
  return release;
}

}  // namespace robinhoist::platform
