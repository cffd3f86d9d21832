#include "proxy/watch_release_source.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/status.h"
#include "json/reader.h"
#include "json/writer.h"
#include "proxy/api_client_settings.h"
#include "proxy/vote_outcome.h"
#include "rollout/names.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

// A watch that receives neither events nor bookmarks for this long is considered broken.
constexpr Duration watch_idle_timeout = 15s;
constexpr Duration first_heartbeat_interval = 1s;
constexpr Duration min_heartbeat_interval = 50ms;
constexpr Duration max_heartbeat_interval = 30s;
constexpr Duration heartbeat_timeout = 1s;
constexpr Duration report_timeout = 1s;
constexpr int heartbeats_per_lease = 3;

// Field names and paths of the controller's API that differ from the terms used in the code.
constexpr const char* proxy_field = "umpire";
constexpr const char* incarnation_field = "session";
constexpr const char* requests_field = "txns";
constexpr const char* unsuccessful_field = "poorly";
constexpr const char* outcomes_path = "/v1/patients";

std::string incarnation_of_this_process() {
  return std::to_string(::getpid()) + "-" +
         std::to_string(net::wall_now().time_since_epoch().count());
}

Outcome vote_call_outcome(http::CallResult how, const http::Response& response) {
  if (http::proves_not_sent(how))
    return Outcome::connect_failure;
  if (how == http::CallResult::timed_out)
    return Outcome::timeout;
  if (how != http::CallResult::answered)
    return Outcome::reset;
  return vote_outcome(response.status);
}

}  // namespace

WatchReleaseSource::WatchReleaseSource(net::Loop& loop, const Settings& settings,
                                       const log::Logger& log)
    : loop_(loop),
      settings_(settings),
      log_(log),
      connections_(loop, Poco::Net::SocketAddress(settings.address), api_client_settings()),
      stream_(loop, Poco::Net::SocketAddress(settings.address), api_client_settings().limits),
      backoff_(min_retry_delay, max_retry_delay, settings.seed),
      incarnation_(incarnation_of_this_process()),
      heartbeat_interval_(first_heartbeat_interval) {}

WatchReleaseSource::~WatchReleaseSource() {
  loop_.cancel(watch_timer_);
  loop_.cancel(heartbeat_timer_);
}

http::Request WatchReleaseSource::post(const std::string& target, const std::string& body) const {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers.add("Content-Type", "application/json");
  if (!settings_.token.empty())
    request.headers.add("Authorization", "Bearer " + settings_.token);
  request.body = body;
  return request;
}

void WatchReleaseSource::start(OnUpdate on_update) {
  on_update_ = std::move(on_update);
  watch();
  send_heartbeat();
}

// ---- The watch

void WatchReleaseSource::watch() {
  http::Request request;
  request.target = "/v1/releases?watch=1&view=brief&umpire=" + settings_.proxy;
  const bool from_scratch = !follower_.synced();
  if (!from_scratch)
    request.target +=
        "&series=" + follower_.series() + "&resourceVersion=" + std::to_string(follower_.version());
  if (!settings_.token.empty())
    request.headers.add("Authorization", "Bearer " + settings_.token);
  follower_.begin(from_scratch);
  stream_.start(
      request, {watch_idle_timeout, watch_idle_timeout},
      [this](std::string& body) { return read_events(body); },
      [this](int status, const std::string&) { watch_ended(status); });
}

// Consumes the complete lines of the received data. Returns whether there was any.
bool WatchReleaseSource::read_events(std::string& body) {
  if (!read_lines(body))
    return false;
  if (failing_)
    log_.info("release watch re-established", {{"address", stream_.peer().toString()}});
  failing_ = false;
  backoff_.reset();
  apply_newest();
  return true;
}

// Returns false if there was no complete line, or if the watch has to be restarted.
bool WatchReleaseSource::read_lines(std::string& body) {
  using Line = releases::Follower::Line;
  bool any = false;
  for (;;) {
    const Line line = follower_.consume_line(body, loop_.now());
    if (line == Line::none)
      return any;
    any = true;
    if (line == Line::accepted)
      continue;
    follower_ = {};
    stream_.stop();
    watch_ended(line == Line::expired ? http::status_gone : 0);
    return false;
  }
}

void WatchReleaseSource::apply_newest() {
  const auto newest = follower_.next_update(loop_.now());
  if (!newest)
    return;
  newest_release_ = newest->name;
  on_update_(newest->release);
  acknowledged_ = newest;
  send_heartbeat();
}

void WatchReleaseSource::watch_ended(int status) {
  if (status == http::status_gone)
    follower_ = {};  // the controller no longer has this version, so the watch cannot be resumed
  const bool failed = status != http::status_ok;
  if (!failing_ && failed)
    log_.warn("release watch lost",
              {{"address", stream_.peer().toString()}, {"status", log::text(status)}});
  failing_ = failing_ || failed;
  loop_.cancel(watch_timer_);
  watch_timer_ = loop_.in(backoff_.next_delay(), [this] { watch(); });
}

// ---- The heartbeat

void WatchReleaseSource::send_heartbeat() {
  loop_.cancel(heartbeat_timer_);
  json::Writer body;
  body.begin_object().put(incarnation_field, incarnation_);
  if (acknowledged_)
    body.begin_object("acknowledged")
        .put("build", acknowledged_->release.build)
        .put("stage", acknowledged_->release.stage)
        .put("cap", acknowledged_->release.cap)
        .put("version", static_cast<long>(acknowledged_->version))
        .end_object();
  const std::string text = body.end_object().text();
  connections_.call(
      post("/v1/umpires/" + settings_.proxy + "/heartbeat", text), heartbeat_timeout,
      [this](http::CallResult how, http::Response&& response) { heartbeat_ended(how, response); });
  heartbeat_timer_ = loop_.in(heartbeat_interval_, [this] { send_heartbeat(); });
}

void WatchReleaseSource::heartbeat_ended(http::CallResult how, const http::Response& response) {
  if (how != http::CallResult::answered)
    return;
  const bool conflict = response.status == http::status_conflict;
  if (conflict && !superseded_)
    log_.error("another process uses this proxy's name: votes are not counted",
               {{"name", settings_.proxy}});
  superseded_ = conflict;
  if (response.status != http::status_ok)
    return;
  try {
    const Duration lease = json::duration(json::parse_object(response.body), "leaseMs");
    heartbeat_interval_ =
        std::clamp(lease / heartbeats_per_lease, min_heartbeat_interval, max_heartbeat_interval);
  } catch (const json::DecodeError&) {
    return;  // the next heartbeat response contains the lease again
  }
}

// ---- Votes and reports

void WatchReleaseSource::vote(const Vote& vote, OnVoteResult on_result) {
  const bool is_current =
      !newest_release_.empty() && acknowledged_ && acknowledged_->release.build == vote.build;
  if (!is_current) {
    // A newer release came into force after the decision to vote.
    loop_.in(Duration(0), [on_result] { on_result(Outcome::obsolete); });
    return;
  }
  const std::string body = json::Writer()
                               .begin_object()
                               .put(proxy_field, settings_.proxy)
                               .put(incarnation_field, incarnation_)
                               .put("stage", vote.stage)
                               .put("verdict", rollout::api_name(vote.verdict))
                               .end_object()
                               .text();
  connections_.call(post("/v1/releases/" + newest_release_ + "/votes", body),
                    settings_.vote_timeout,
                    [on_result](http::CallResult how, http::Response&& response) {
                      on_result(vote_call_outcome(how, response));
                    });
}

void WatchReleaseSource::report_client_outcomes(const ClientOutcomes& outcomes) {
  const std::string body = json::Writer()
                               .begin_object()
                               .put(proxy_field, settings_.proxy)
                               .put(requests_field, outcomes.requests)
                               .put(unsuccessful_field, outcomes.unsuccessful)
                               .end_object()
                               .text();
  connections_.call(post(outcomes_path, body), report_timeout,
                    [](http::CallResult, http::Response&&) {});
}

}  // namespace robinhoist::proxy
