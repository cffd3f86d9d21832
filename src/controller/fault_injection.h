/// Simulated failures of the controller as seen by its proxies, for scenarios and tests.
#pragma once
#include <random>

#include "http/server.h"

namespace robinhoist::controller {

/// `unresponsive`: requests of proxies are never answered. `errors`: they are answered with 503.
enum class Fault { none, unresponsive, errors };

/// Holds the active fault.
class FaultInjector {
 public:
  /// Replaces the active fault. `counted_votes` is the share of votes that are counted, although
  /// not answered, while the controller is unresponsive.
  void set(Fault fault, double counted_votes);
  bool active() const { return fault_ != Fault::none; }
  /// Whether a vote received now is counted.
  bool counts_vote();
  /// Handles a proxy's request according to the active fault; returns false if there is none.
  bool intercept(const http::ExchangePtr& exchange) const;

 private:
  Fault fault_ = Fault::none;
  double counted_votes_ = 0;
  std::minstd_rand random_{1};
};

}  // namespace robinhoist::controller
