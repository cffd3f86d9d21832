#include "platform/release_api.h"

#include <chrono>
#include <utility>

#include "json/reader.h"
#include "json/writer.h"
#include "platform/config.h"
#include "platform/wire_names.h"
#include "policy/analysis_report.h"
#include "proxy/vote_outcome.h"
#include "time/units.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// The API sends an empty object every second as a keepalive.
constexpr Duration max_idle_time = 3s;
constexpr Duration max_retry_delay = 2s;
constexpr std::size_t max_votes_in_flight = 4;
constexpr std::size_t max_release_bytes = std::size_t{64} * 1024;

http::ConnectionPoolSettings vote_connections() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = max_votes_in_flight;
  settings.connect_timeout = 1s;
  settings.idle_timeout = 0s;  // votes are rare, and the platform closes idle connections
  settings.limits = service_limits(max_release_bytes);
  return settings;
}

const char* to_string(ReleaseMessageSource source) {
  return source == ReleaseMessageSource::watch ? "watch" : "vote";
}

std::string age_ms(const ReleaseUpdate& release) {
  return log::text(to_millis(release.since));
}

Outcome vote_call_outcome(http::CallResult how, const http::Response& response) {
  if (http::proves_not_sent(how))
    return Outcome::connect_failure;
  if (how != http::CallResult::answered)
    return Outcome::timeout;
  return proxy::vote_outcome(response.status);
}

}  // namespace

Watch::Settings ReleaseApi::watch_settings(unsigned seed) {
  return {.resource = "releases",
          .timeouts = {.first = max_idle_time, .next = max_idle_time},
          .max_retry_delay = max_retry_delay,
          .max_object_bytes = max_release_bytes,
          .seed = seed};
}

ReleaseApi::ReleaseApi(net::Loop& loop, const std::string& address, const ReleaseUpdate& known,
                       Duration vote_timeout, unsigned seed, const log::Logger& log)
    : loop_(loop),
      log_(log),
      vote_timeout_(vote_timeout),
      tracker_(known, loop.now()),
      connections_(std::make_unique<http::ConnectionPool>(loop, Poco::Net::SocketAddress(address),
                                                          vote_connections())),
      watch_(loop, address, watch_settings(seed), log) {}

void ReleaseApi::start(OnUpdate on_update) {
  on_update_ = std::move(on_update);
  on_update_(tracker_.known(loop_.now()));
  watch_.start([] { return std::string(wire_names::release_watch_path); },
               [this](const json::Value& event) { read_event(event); });
}

void ReleaseApi::read_event(const json::Value& event) {
  const bool is_keepalive = event.ObjectEmpty();
  if (is_keepalive)
    return;
  const std::string type = json::text(event, wire_names::event_type);
  const json::Value& object = json::nested_object(event, wire_names::event_object);
  if (type == wire_names::release_event)
    accept(decode_release(object), ReleaseMessageSource::watch);
  else if (type == wire_names::wrong_answer_event && on_wrong_answer_)
    on_wrong_answer_(json::text(object, wire_names::wrong_answer_endpoint),
                     json::duration(object, wire_names::age_ms));
}

void ReleaseApi::accept(const ReleaseUpdate& release, ReleaseMessageSource source) {
  const TimePoint now = loop_.now();
  switch (tracker_.receive(release, source, now)) {
    case ReleaseChange::outdated:
      ignore(release, source);
      return;
    case ReleaseChange::advanced:
      log_.info("release updated", {{"from", to_string(source)},
                                    {"build", log::text(release.build)},
                                    {"stage", log::text(release.stage)},
                                    {"phase", to_string(release.phase)},
                                    {"cap", log::text(release.cap)},
                                    {"age_ms", age_ms(release)}});
      break;
    case ReleaseChange::repeated:
      break;
  }
  on_update_(tracker_.known(now));
}

void ReleaseApi::ignore(const ReleaseUpdate& release, ReleaseMessageSource source) {
  ++ignored_;
  const ReleaseUpdate known = tracker_.known(loop_.now());
  log_.warn("release update ignored", {{"from", to_string(source)},
                                       {"build", log::text(release.build)},
                                       {"stage", log::text(release.stage)},
                                       {"phase", to_string(release.phase)},
                                       {"age_ms", age_ms(release)},
                                       {"known_build", log::text(known.build)},
                                       {"known_stage", log::text(known.stage)},
                                       {"known_phase", to_string(known.phase)},
                                       {"known_age_ms", age_ms(known)}});
}

void ReleaseApi::vote(const proxy::Vote& vote, OnVoteResult on_result) {
  http::Request request;
  request.method = "POST";
  request.target = wire_names::vote_path;
  request.headers.add("Content-Type", "application/json");
  request.body = json::Writer()
                     .begin_object()
                     .put(wire_names::release_build, vote.build)
                     .put(wire_names::release_stage, vote.stage)
                     .put(wire_names::vote_verdict, wire_names::to_string(vote.verdict))
                     .end_object()
                     .text();
  connections_->call(request, vote_timeout_,
                     [this, on_result](http::CallResult how, http::Response&& response) {
                       vote_ended(how, response, on_result);
                     });
}

void ReleaseApi::vote_ended(http::CallResult how, const http::Response& response,
                            const OnVoteResult& on_result) {
  const Outcome outcome = vote_call_outcome(how, response);
  if (outcome != Outcome::ok) {
    on_result(outcome);
    return;
  }
  ReleaseUpdate release{};
  try {
    release = decode_release(json::parse_object(response.body));
  } catch (const json::DecodeError&) {
    on_result(Outcome::timeout);  // not readable: the vote may have been counted
    return;
  }
  on_result(Outcome::ok);
  accept(release, ReleaseMessageSource::vote_response);
}

void ReleaseApi::set_address(const std::string& address) {
  watch_.set_address(address);
  const Poco::Net::SocketAddress peer(address);
  if (connections_->peer().toString() == peer.toString())
    return;
  std::erase_if(former_connections_,
                [](const auto& connections) { return connections->busy() == 0; });
  former_connections_.push_back(std::move(connections_));
  connections_ = std::make_unique<http::ConnectionPool>(loop_, peer, vote_connections());
}

}  // namespace robinhoist::platform
