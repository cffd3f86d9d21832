// Plain types that the module, its host and its tests share. Nothing here decides.
#pragma once
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "sliding_window.h"
#include "time/time_types.h"

namespace robinhoist {

enum class Idempotency { idempotent, idempotent_with_key, non_idempotent };
enum class DedupScope { all, zone, cell };
enum class EndpointPhase { ready, draining, removed };
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

enum class PromotionMode { first_vote, count, clock };
enum class ReleasePhase { canary, rolling_back, released, rolled_back };
enum class Verdict { none, promote, hold, roll_back };
enum class EndpointUpdateKind { incremental, complete, cached, failed };
enum class Reports { none, answers, probes };

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

struct EndpointSettings {
  int zone;
  Duration cold_for, fall_window, ask_within, call_timeout;
  double cold_from, fall_multiple;
  bool must_ask, sized, probes;
  Reports reports;
  int me = 0, proxies = 1;  // the proxy's number among all
};

struct CanaryQuotaSettings {
  Duration window;
  double free;
  bool by_request_class, one_way, in_place;
  int safe_only_stages;
  std::vector<double> caps;
};

struct AnalysisSettings {
  PromotionMode promotion_mode;
  Duration bake, step, vote_lifetime, call_timeout;
  double votes_per_s, wrong_answer_report_share;
  int proxies, votes_to_promote, votes_to_hold, votes_to_roll_back;
};

struct RequestSettings {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  int max_attempts, proxies;
  bool hedging, cancelling, advice;
  Duration max_pause, slack, tick;
  double over_quota_weight;
};

struct EndpointInfo {
  int endpoint, zone, cell, build;
  EndpointPhase phase;
  double size;
  TimePoint started;        // zero: long ago
  std::uint64_t order = 0;  // a digest of the id, the same at every proxy
};

struct ReleaseUpdate {
  int build, stage;
  ReleasePhase phase;
  double cap;
  Duration since;
};

// A load report; what it does not carry is absent.
struct Load {
  std::optional<double> held, waiting, busy, service_ms, served_ps, failed_ps;
};

struct RequestInfo {
  int request_id, request_class, tenant;
  TimePoint deadline;
  double cost_hint_ms;  // zero: none came
  std::string key;
  bool is_retry;
};

enum class Action {
  forward,
  reject,
  fail,
  cancel,
  probe,
  close,
  subscribe,
  fetch,
  vote,
  wake,
  log
};

// One decision; which fields count follows from the action.
struct Decision {
  Action action;
  int request_id = -1;
  int endpoint = -1;
  int attempt = -1;
  Duration span{};  // time-out, advice when to come back, or time until the wake-up
  int build = -1;
  int stage = 0;
  Verdict verdict = Verdict::none;
  std::string text{};
};

struct Result {
  TimePoint at;
  bool ok;
  double ratio;  // latency over the request class's usual one
  Duration took;
  int in_hand;  // own requests that the endpoint held when this one was sent, itself included
  bool timed;   // not an error: those may come at once
};

// Sums over an endpoint's young results, newest first; kept until one of them grows old or another
// comes.
struct RecentResults {
  std::size_t failed = 0, young = 0;
  TimePoint last_failed{}, until{};
  double took = 0, in_hand = 0, ratios = 0;
};

struct EndpointState : EndpointInfo {
  bool listed = false;
  int dead_run = 0;              // attempts lost in a row without any reply
  int full_run = 0;              // attempts turned away in a row
  int succeeded = 0;             // answers of late, while warm
  TimePoint back_at = long_ago;  // answered again after it was taken for dead
  TimePoint told = long_ago,
            cold_sent = long_ago;  // when its start was heard of, and last sent to while cold
  TimePoint dead_at = long_ago, heard_at = long_ago, full_at = long_ago;
  std::vector<TimePoint> out{};   // when the attempts still out were sent
  std::deque<TimePoint> sends{};  // sends within the rule's window while cold
  SlidingWindow<Result> results{0};
  std::optional<RecentResults> recent{};
  Load load{};
  TimePoint load_at = long_ago;
};

struct Attempt {
  int endpoint, build;
  TimePoint sent;
  int in_hand;
  bool out = true, never_ran = false, failed = false, unreached = false;
};

struct ScheduledRequest {
  RequestInfo info;
  TimePoint look_at{};
  std::vector<Attempt> attempts{};
  bool over = false, streaming = false;
};

// One judged attempt of an arm.
struct Sample {
  TimePoint at, sent;
  int endpoint, request_class, tenant;
  bool failed, lost, warm;
  double ratio, objective_ratio;  // latency over the request class's usual one, and over its
                                  // latency objective
};

// What is known of the release now offered, as judged from one arm's view.
struct AnalysisResult {
  Verdict verdict = Verdict::none;
  std::string why{};
};

}  // namespace robinhoist
