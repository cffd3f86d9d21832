/// Requests and attempts, as shared by the decision module and its hosts, and the settings for
/// them. Plain data.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

/// Whether a request may run more than once: always, only while the endpoints remember its
/// idempotency key and deduplicate by it, or never.
enum class Idempotency { idempotent, idempotent_with_key, non_idempotent };

/// The endpoints that share their idempotency keys.
enum class DedupScope { all, zone, cell };

/// How an attempt ended.
enum class Outcome {
  ok,
  error,            ///< the endpoint answered with an error
  rejected,         ///< rejected by the endpoint; it has not run
  timeout,          ///< no answer in time
  connect_failure,  ///< no connection was established; it has not run
  reset,            ///< the connection was closed before an answer arrived
  cancelled,        ///< cancelled by the proxy, or because its client disconnected
  obsolete,         ///< withdrawn before it was sent; of a vote: conflict with the current release
  unknown           ///< not known; it may have run
};
inline constexpr std::size_t outcome_count = 9;

/// Whether an attempt with this outcome got no answer.
inline bool is_lost(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::connect_failure ||
         outcome == Outcome::reset;
}

/// Whether an attempt with this outcome has certainly not run at the endpoint.
inline bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connect_failure ||
         outcome == Outcome::obsolete;
}

/// The properties of one class of requests in a deployment.
struct RequestClass {
  Duration latency_objective;
  Duration deadline;      ///< time from arrival after which an answer has no value
  Duration dedup_window;  ///< how long endpoints remember an idempotency key
  Idempotency idempotency;
  DedupScope dedup_scope;
  double priority_weight;    ///< value of an answer within the latency objective
  double late_weight_share;  ///< share of that value that a later answer has
  bool stream;               ///< the answer is streamed; such requests are not hedged
};

/// A tenant's quota.
struct Tenant {
  double share;            ///< share of all requests in a simulated load
  double allowance_per_s;  ///< requests per second
};

/// The deployment's settings for requests.
struct RequestSettings {
  std::vector<RequestClass> request_classes;  ///< by number
  std::vector<Tenant> tenants;                ///< by number
  int max_attempts;                           ///< for one request, the first included
  bool hedging;                               ///< whether hedged requests are allowed
  bool cancelling;                            ///< whether attempts no longer needed are cancelled
  bool retry_after;                           ///< whether rejections carry a Retry-After delay
  Duration retry_delay;                       ///< the Retry-After delay
  Duration tick;                              ///< the resolution of the deployment's clock
};

/// A request as it arrived.
struct RequestInfo {
  int request_id;
  int request_class;
  int tenant;
  TimePoint deadline;
  double cost_hint_ms;  ///< expected work; zero: no hint
  std::string key;      ///< for deduplication and sticky keys; empty: none
  bool is_retry;        ///< whether the client sent it as a retry of an earlier request
};

/// An attempt to have a request served by an endpoint.
struct Attempt {
  int endpoint;
  int build;  ///< the endpoint's build when the attempt was sent
  TimePoint sent;
  int concurrency;              ///< own attempts in flight there when it was sent, itself included
  bool in_flight = true;        ///< it has not ended yet
  bool never_ran = false;       ///< its outcome proves that it has not run
  bool failed = false;          ///< the endpoint answered with an error
  bool connect_failed = false;  ///< no connection was established
};

}  // namespace robinhoist
