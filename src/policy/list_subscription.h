/// Subscription to the endpoint list, for deployments where updates are sent only to subscribers.
#pragma once
#include <optional>
#include <random>

#include "policy/decision.h"
#include "policy/endpoint.h"
#include "time/time_types.h"

namespace robinhoist {

/// Subscribes immediately, and again after failures with exponential backoff and jitter.
class ListSubscription {
 public:
  /// If `needed` is false, it never subscribes.
  explicit ListSubscription(bool needed);

  /// The list was updated, or the subscription has failed.
  void updated(EndpointUpdateKind kind, TimePoint now);

  /// The decision to subscribe, if one is due.
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);

 private:
  bool needed_;
  bool subscribed_ = false;
  Duration backoff_;
  TimePoint retry_at_{};
};

}  // namespace robinhoist
