/// Over how many endpoints this proxy spreads its requests.
#pragma once
#include <cstddef>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns the proxy's recent rate of attempts and of refused connections.
///
/// One of many proxies that sent to every endpoint would know nothing recent of any of them, and
/// open a connection for nearly every request. So each keeps to a subset, the larger the more it
/// sends. Where many connections are refused, endpoints take only so many proxies, and the subset
/// is smaller.
class SubsetSize {
 public:
  SubsetSize();

  void attempt_sent(TimePoint now) { attempts_.push(now); }

  /// Notes how an attempt ended: whether its connection was refused.
  void attempt_ended(bool connection_refused);

  /// The proxy's own recent attempts per second.
  double attempts_per_s(TimePoint now) const;

  /// How many endpoints of a group to use, at least two.
  std::size_t endpoints(TimePoint now) const;

 private:
  SlidingWindow<TimePoint> attempts_;
  EventWindow refused_connections_;
  bool connections_scarce_ = false;
};

}  // namespace robinhoist
