/// Canary quota: how much traffic builds newer than the released one may get, and the sticky keys
/// that the canary has answered.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

/// Counts requests and canary attempts over a sliding window and holds the release to its cap.
class CanaryQuota {
 public:
  /// `tick` is the resolution at which the window's ends may be read.
  CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick);

  void release_updated(const ReleaseUpdate& release);
  /// A request has arrived, for whatever build.
  void request_arrived(int request_class, TimePoint now);
  /// An attempt was sent to the canary.
  void canary_attempt_sent(int request_class, TimePoint now);
  /// A request with this key (empty: none) was answered by this build.
  void request_answered(const std::string& key, int build);

  /// Whether the build is newer than what is released.
  bool is_canary(int build) const;
  /// The share of requests that the build may get; needs a release update, as is_canary() implies.
  double cap(int build) const;
  /// Whether an attempt of this request may go to the build now.
  bool allows(const RequestInfo& request, int build, Idempotency idempotency, TimePoint now);
  /// Whether releases replace endpoints instead of adding them beside the old ones.
  bool in_place() const { return settings_.in_place; }

 private:
  struct Counts {
    std::deque<TimePoint> requests{};
    std::deque<TimePoint> canary_attempts{};
  };
  Counts& counts_for(int request_class);
  void drop_expired(Counts& counts, TimePoint now) const;
  bool answered_by_newer_build(const std::string& key, int build) const;

  CanaryQuotaSettings settings_;
  Duration tick_;
  std::vector<Counts> counts_;  // by request class, or one for all
  std::optional<ReleaseUpdate> release_{};
  std::unordered_map<std::string, int> sticky_keys_{};  // the build that answered, by key
};

}  // namespace robinhoist
