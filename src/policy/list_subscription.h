/// When to subscribe to the endpoint list, in deployments where it does not come by itself.
#pragma once
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/endpoint.h"
#include "time/time_types.h"

namespace robinhoist {

/// Subscribes at once, and after a failure again with growing, randomised backoff.
class ListSubscription {
 public:
  /// With `needed` false it never subscribes.
  explicit ListSubscription(bool needed);

  /// Notes what the subscription brought: a failure, or an update of the list.
  void updated(EndpointUpdateKind kind, TimePoint now);

  /// The decision to subscribe, if it is due.
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);

 private:
  bool needed_;
  bool subscribed_ = false;
  Duration backoff_;
  TimePoint retry_at_{};
};

}  // namespace robinhoist
