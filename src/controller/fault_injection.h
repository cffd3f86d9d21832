/// Failures of the controller towards its proxies, for scenarios and tests.
#pragma once
#include <random>

#include "http/server.h"

namespace robinhoist::controller {

/// `unresponsive`: requests of proxies are never answered. `errors`: they get 503.
enum class Fault { none, unresponsive, errors };

/// The fault that is in force.
class FaultInjector {
 public:
  /// Replaces the fault in force. `counted_votes`: the share of votes that still count, without an
  /// answer, while unresponsive.
  void set(Fault fault, double counted_votes);
  bool active() const { return fault_ != Fault::none; }
  /// Whether a vote that comes now counts.
  bool counts_vote();
  /// Handles a proxy's request as the fault has it; false when there is none.
  bool intercept(const http::ExchangePtr& exchange) const;

 private:
  Fault fault_ = Fault::none;
  double counted_votes_ = 0;
  std::minstd_rand random_{1};
};

}  // namespace robinhoist::controller
