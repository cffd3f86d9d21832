/// Canary quota: the cap on traffic to builds newer than the released one, and the sticky keys of
/// requests that the canary has answered.
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

/// Counts requests and canary attempts over a sliding window and limits the release to its cap.
class CanaryQuota {
 public:
  /// `tick` is the clock resolution with which an observer may place the ends of the window.
  CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick);

  void release_updated(const ReleaseUpdate& release);
  /// A request has arrived; its build is not chosen yet.
  void request_arrived(int request_class, TimePoint now);
  /// An attempt was sent to the canary.
  void canary_attempt_sent(int request_class, TimePoint now);
  /// A request with this key (empty: none) was answered by this build.
  void request_answered(const std::string& key, int build);

  /// Whether the build is newer than the released one.
  bool is_canary(int build) const;
  /// The share of requests that the build may get. Requires a release update, which is given if
  /// is_canary() is true.
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
  std::vector<Counts> counts_;  // by request class, or a single one for all classes
  std::optional<ReleaseUpdate> release_{};
  std::unordered_map<std::string, int> build_by_key_{};  // the canary that answered each key
};

}  // namespace robinhoist
