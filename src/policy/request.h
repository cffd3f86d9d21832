/// Requests and attempts as the decision module and its hosts see them. Plain data.
#pragma once
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

enum class Idempotency { idempotent, idempotent_with_key, non_idempotent };

enum class DedupScope { all, zone, cell };

enum class Outcome {
  ok,
  error,
  rejected,
  timeout,
  connect_failure,
  reset,
  cancelled,
  obsolete,
  unknown
};

inline bool lost(Outcome o) {
  return o == Outcome::timeout || o == Outcome::connect_failure || o == Outcome::reset;
}

inline bool proves_not_run(Outcome o) {
  return o == Outcome::rejected || o == Outcome::connect_failure || o == Outcome::obsolete;
}

struct RequestClass {
  Duration latency_objective, deadline, dedup_window;
  Idempotency idempotency;
  DedupScope dedup_scope;
  double priority_weight, late_weight_share;
  bool stream;
};

struct Tenant {
  double share, allowance_per_s;
};

struct RequestSettings {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  int max_attempts, proxies;
  bool hedging, cancelling, advice;
  Duration max_pause, slack, tick;
  double over_quota_weight;
};

struct RequestInfo {
  int request_id, request_class, tenant;
  TimePoint deadline;
  double cost_hint_ms;  // zero: none came
  std::string key;
  bool is_retry;
};

struct Attempt {
  int endpoint, build;
  TimePoint sent;
  int in_hand;
  bool out = true, never_ran = false, failed = false, unreached = false;
};

}  // namespace robinhoist
