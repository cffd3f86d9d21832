/// Subsetting: the number of endpoints over which this proxy spreads its requests.
#pragma once
#include <cstddef>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns the windows of the proxy's recent attempts and of their failed connections.
///
/// If each of many proxies sent to every endpoint, it would have no recent results of any of them,
/// and nearly every request would need a new connection. Therefore each proxy uses a subset, whose
/// size grows with its request rate. If many connections fail, the endpoints are assumed to be at
/// their connection limits, and the subset is made smaller.
class SubsetSize {
 public:
  SubsetSize();

  void attempt_sent(TimePoint now) { attempts_.push(now); }

  /// Records the end of an attempt and whether its connection could not be established.
  void attempt_ended(bool connection_failed);

  /// This proxy's recent attempts per second.
  double attempts_per_s(TimePoint now) const;

  /// The number of endpoints of a group to use, at least two.
  std::size_t endpoints(TimePoint now) const;

 private:
  SlidingWindow<TimePoint> attempts_;
  EventWindow failed_connections_;
  bool connections_scarce_ = false;
};

}  // namespace robinhoist
