#include "observer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "record/meta.h"
#include "rollout/names.h"

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

constexpr Duration tick_interval = 2ms;
// An attempt that reaches its endpoint later than this after its client disconnected is a breach.
constexpr Duration max_start_after_disconnect = 100ms;
// The timeout that an attempt states to its endpoint may exceed the client's remaining time by
// this.
constexpr Duration max_timeout_excess = 150ms;
constexpr Duration socket_slack = 50ms;
// A roll back binds this long after it was sent, and this many later attempts at the canary pass.
constexpr Duration rollback_grace = 150ms;
constexpr int max_attempts_after_rollback = 2;
constexpr const char* proxy_name = "n0";
constexpr const char* zone = "here";

std::string path(const std::string& folder, const char* name) {
  return folder + "/" + name;
}

record::Meta meta_of(long seed) {
  record::Meta meta;
  meta.seed = seed;
  meta.proxies = 1;
  meta.length = 10s;
  meta.answer_slack =
      500ms;  // a response up to this late earns nothing, but does not count as lost
  meta.drain_grace = 1s + socket_slack;
  meta.quota_window = 2s;
  meta.collapse_window = 1s;
  meta.warm_up_time = 1s;
  meta.uncapped_attempts = 1;
  meta.collapse_multiple = 4;
  meta.initial_warm_up_factor = 0.3;
  meta.caps = {0.5, 1};
  meta.tenants = {"all"};
  meta.request_classes = {{.name = "look", .latency_objective = 300ms, .deadline = 400ms},
                          {.name = "book",
                           .latency_objective = 300ms,
                           .deadline = 400ms,
                           .dedup_window = 200ms,
                           .idempotency = Idempotency::idempotent_with_key},
                          {.name = "pay",
                           .latency_objective = 300ms,
                           .deadline = 400ms,
                           .idempotency = Idempotency::non_idempotent}};
  return meta;
}

std::string to_ms(Duration duration) {
  return std::to_string(duration / 1ms) + " ms";
}

}  // namespace

StallMonitor::StallMonitor(net::Loop& loop)
    : loop_(loop), last_(loop.now()), before_last_(loop.now()) {
  tick();
}

StallMonitor::~StallMonitor() {
  loop_.cancel(timer_);
}

void StallMonitor::tick() {
  const TimePoint now = loop_.now();
  longest_ = std::max(longest_, now - last_);
  before_last_ = last_;
  last_ = now;
  timer_ = loop_.in(tick_interval, [this] { tick(); });
}

Observer::Observer(net::Loop& loop, const std::string& folder, long seed)
    : loop_(loop),
      stalls_(loop),
      clients_(path(folder, "clients.jsonl")),
      endpoints_(path(folder, "nodes.jsonl")),
      updates_(path(folder, "told.jsonl")),
      proxies_(path(folder, "umpires.jsonl")) {
  record::write(path(folder, "meta.json"), meta_of(seed));
}

void Observer::proxy_started() {
  record::proxy_process_event(proxies_, loop_.now(), proxy_name, "start");
}

void Observer::proxy_ended() {
  record::proxy_process_event(proxies_, loop_.now(), proxy_name, "stop");
}

void Observer::endpoint_started(const std::string& name, int build) {
  record::server_started(endpoints_, loop_.now(),
                         {.endpoint = name,
                          .zone = zone,
                          .cell = 1,
                          .build = build,
                          .started = {},
                          .cold = false,
                          .cores = 1,
                          .speed = 1});
}

void Observer::list_sent(const std::vector<registry::Endpoint>& entries, bool complete) {
  record::endpoints_notified(updates_, loop_.now(), proxy_name, entries, complete);
}

void Observer::release_sent(const ReleaseUpdate& release) {
  // In a run, a release enters each stage and phase once and in order.
  const auto order = [](const ReleaseUpdate& update) {
    return std::pair(static_cast<int>(update.phase), update.stage);
  };
  const bool is_earlier = release_ && order(release) < order(*release_);
  if (is_earlier)
    return;
  if (!release_ || order(*release_) < order(release))
    release_sent_at_ = loop_.now();
  release_ = release;
  record::release_notified(updates_, loop_.now(), proxy_name, release.build, release.stage,
                           rollout::api_name(release.phase), release.cap);
}

long Observer::attempt_arrived(const Arrival& arrival, bool rejected) {
  const long attempt_id = next_attempt_id_++;
  const std::string name = std::string(proxy_name) + "." + arrival.request_id;
  record::request_arrived(endpoints_, arrival_time(arrival), rejected ? "refused" : "taken",
                          {.endpoint = arrival.endpoint,
                           .build = arrival.build,
                           .work_id = attempt_id,
                           .request_class = static_cast<int>(arrival.kind),
                           .request_name = name,
                           .attempt = "1",
                           .client_attempt_id = arrival.request_id,
                           .key = arrival.key,
                           .work = "0"});
  check_arrival(arrival);
  check_rollback(arrival);
  return attempt_id;
}

// The earliest time at which the attempt can have arrived. Not before its client sent the request:
// the first attempt of two would otherwise seem to be longer ago than it was.
TimePoint Observer::arrival_time(const Arrival& arrival) const {
  const auto request = requests_.find(arrival.request_id);
  const TimePoint earliest = stalls_.earliest();
  return request == requests_.end() ? earliest : std::max(earliest, request->second.sent);
}

void Observer::check_rollback(const Arrival& arrival) {
  const bool rolled_back = release_ && release_->phase == ReleasePhase::rolling_back &&
                           stalls_.earliest() > release_sent_at_ + rollback_grace;
  if (!rolled_back || arrival.build < release_->build)
    return;
  if (++attempts_after_rollback_ == max_attempts_after_rollback + 1)
    add_breach("more than " + std::to_string(max_attempts_after_rollback) +
               " attempts at the canary after its rollback, the last " +
               to_ms(stalls_.earliest() - release_sent_at_) + " after it was announced");
}

void Observer::check_arrival(const Arrival& arrival) {
  const auto request = requests_.find(arrival.request_id);
  if (request == requests_.end()) {
    add_breach("an attempt of request " + arrival.request_id + ", which was sent by no client");
    return;
  }
  const TimePoint at = stalls_.earliest();
  SentRequest& sent = request->second;
  sent.forwarded = true;
  if (sent.disconnected_at != TimePoint{} && at > sent.disconnected_at + max_start_after_disconnect)
    add_breach("request " + arrival.request_id + " was sent to " + arrival.endpoint + " " +
               to_ms(at - sent.disconnected_at) + " after its client had disconnected");
  const Duration time_left = sent.deadline - at;
  if (arrival.timeout > time_left + max_timeout_excess)
    add_breach("request " + arrival.request_id + " was sent to " + arrival.endpoint +
               " with a timeout of " + to_ms(arrival.timeout) + " when " + to_ms(time_left) +
               " were left");
}

void Observer::attempt_ran(const std::string& endpoint, long attempt_id, const char* how,
                           bool effect) {
  record::work_completed(endpoints_, loop_.now(), endpoint, attempt_id, how, effect);
}

void Observer::request_sent(const ClientRequest& request) {
  requests_[std::to_string(request.id)] = {
      .sent = request.sent, .deadline = request.deadline, .disconnected_at = TimePoint{}};
}

bool Observer::was_forwarded(const ClientRequest& request) const {
  const auto sent = requests_.find(std::to_string(request.id));
  return sent != requests_.end() && sent->second.forwarded;
}

void Observer::client_disconnected(const ClientRequest& request) {
  requests_[std::to_string(request.id)].disconnected_at = loop_.now();
  request_ended(request, "left", 0, true);
}

void Observer::request_ended(const ClientRequest& request, const char* outcome, int status,
                             bool right) {
  ++outcome_counts_[outcome];
  record::client_attempt_ended(clients_, {.sent = request.sent,
                                          .ended = std::max(request.sent, stalls_.earliest()),
                                          .deadline = request.deadline,
                                          .id = request.id,
                                          .first_id = request.id,
                                          .number = 1,
                                          .request_class = static_cast<int>(request.kind),
                                          .tenant = 0,
                                          .proxy = proxy_name,
                                          .key = request.key,
                                          .poison = false,
                                          .result = outcome,
                                          .status = status,
                                          .reason = "",
                                          .endpoint = "",
                                          .build = -1,
                                          .correct = right});
}

void Observer::add_breach(const std::string& what) {
  breaches_.push_back(what);
}

void Observer::flush() {
  for (record::Writer* writer : {&clients_, &endpoints_, &updates_, &proxies_})
    writer->flush();
}

}  // namespace robinhoist::soak
