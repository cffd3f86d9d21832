/// The newest known state of the release, from messages that arrive by several ways with different
/// delays. Performs no I/O and reads no clock.
///
/// A release only moves forward: the stages of its canary, then released, rolling back, rolled
/// back; and builds only increase. So the states themselves tell which of two messages is about
/// the later one. The time of arrival does not: the response to a vote may be on its way for as
/// long as the vote timeout, a watch event may be late by seconds, and the configuration file was
/// written before the start. For the same reason the beginning of a state, computed from the age
/// in a message, is only an upper bound, and the lowest one that was received is kept.
#pragma once
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::platform {

/// How a message about the release was received.
enum class ReleaseMessageSource { watch, vote_response };

/// What a message changes.
enum class ReleaseChange {
  advanced,  ///< the release has entered a later state
  repeated,  ///< the known state
  outdated,  ///< an earlier state than the known one, which is kept
};

class ReleaseTracker {
 public:
  /// `known` is the state at the start, with its age at `now`.
  ReleaseTracker(const ReleaseUpdate& known, TimePoint now);

  /// A message was received at `now`. If it repeats the known state, its cap is used only if it
  /// comes from the watch, whose events are in order among themselves.
  ReleaseChange receive(const ReleaseUpdate& release, ReleaseMessageSource source, TimePoint now);
  /// The newest known state, with its age at `now`.
  ReleaseUpdate known(TimePoint now) const;

 private:
  ReleaseUpdate known_;
  TimePoint began_by_;  // the known state began at this time or before
};

}  // namespace robinhoist::platform
