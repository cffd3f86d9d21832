/// What may be sent to the canary (rule 5), and the keys that have moved to it.
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

// What may be sent to a release as a canary.
class CanaryQuota {
 public:
  CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick);
  void news(const ReleaseUpdate& release);
  void taken(int request_class, TimePoint now);
  void sent(int request_class, TimePoint now) { count(request_class).sent.push_back(now); }
  void answered(const std::string& key, int build);
  bool is_canary(int build) const;
  double cap(int build) const;
  bool allows(const RequestInfo& request, int build, Idempotency idempotency, TimePoint now);
  bool in_place() const { return settings_.in_place; }

 private:
  struct Count {
    std::deque<TimePoint> taken{}, sent{};
  };
  Count& count(int request_class);
  void trim(Count& count, TimePoint now) const;

  CanaryQuotaSettings settings_;
  Duration tick_;
  std::vector<Count> counts_;
  std::optional<ReleaseUpdate> release_{};
  std::unordered_map<std::string, int> moved_keys_{};
};

}  // namespace robinhoist
