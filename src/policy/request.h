/// Requests and attempts as the decision module and its hosts see them, and the settings that
/// concern them. Plain data.
#pragma once
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist {

/// Whether a request may run more than once: always, as often as its key is remembered (the
/// endpoints deduplicate), or never.
enum class Idempotency { idempotent, idempotent_with_key, non_idempotent };

/// Among which endpoints an idempotency key is known.
enum class DedupScope { all, zone, cell };

/// How an attempt ended.
enum class Outcome {
  ok,
  error,            ///< an error answer
  rejected,         ///< rejected by the endpoint; it has not run
  timeout,          ///< no answer in time
  connect_failure,  ///< no connection; it has not run
  reset,            ///< the connection broke
  cancelled,        ///< cancelled by the proxy, or its client disconnected
  obsolete,         ///< withdrawn before it was sent; a vote: conflict
  unknown
};

/// Whether an attempt that ended so has brought no answer at all.
inline bool lost(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::connect_failure ||
         outcome == Outcome::reset;
}

/// Whether an attempt that ended so has certainly not run at the endpoint.
inline bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connect_failure ||
         outcome == Outcome::obsolete;
}

/// What a deployment promises for one kind of request.
struct RequestClass {
  Duration latency_objective;
  Duration deadline;      ///< after its arrival a request is worth nothing any more
  Duration dedup_window;  ///< how long an idempotency key is remembered
  Idempotency idempotency;
  DedupScope dedup_scope;
  double priority_weight;    ///< what an answer within the latency objective is worth
  double late_weight_share;  ///< the part of it that a later answer keeps
  bool stream;               ///< the answer is a stream: it is not hedged
};

/// A tenant's quota.
struct Tenant {
  double share;            ///< of all requests, in a scenario's load
  double allowance_per_s;  ///< requests a second
};

/// What a deployment says about requests.
struct RequestSettings {
  std::vector<RequestClass> request_classes;  ///< by number
  std::vector<Tenant> tenants;                ///< by number
  int max_attempts;                           ///< of one request, the first included
  bool hedging;                               ///< whether hedged requests are allowed
  bool cancelling;                            ///< whether attempts no longer needed are cancelled
  bool retry_after;                           ///< whether rejections carry Retry-After advice
  Duration retry_delay;                       ///< that advice
  Duration tick;                              ///< the resolution of the deployment's clock
};

/// A request as it arrived.
struct RequestInfo {
  int request_id;
  int request_class;
  int tenant;
  TimePoint deadline;
  double cost_hint_ms;  ///< expected work; zero: no hint came
  std::string key;      ///< for deduplication and stickiness; empty: none
  bool is_retry;        ///< of the client
};

/// An attempt to serve a request at an endpoint.
struct Attempt {
  int endpoint;
  int build;  ///< the endpoint's build when the attempt was sent
  TimePoint sent;
  int concurrency;              ///< own requests in flight there when it was sent, itself included
  bool in_flight = true;        ///< it has not ended yet
  bool never_ran = false;       ///< it ended in a way that proves that it has not run
  bool failed = false;          ///< an error answer came
  bool connect_failed = false;  ///< no connection came about
};

}  // namespace robinhoist
