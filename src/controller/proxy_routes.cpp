#include "controller/proxy_routes.h"

#include <optional>

#include "controller/api_error.h"
#include "json/reader.h"
#include "json/writer.h"
#include "releases/release_input.h"
#include "rollout/names.h"

namespace robinhoist::controller {
namespace {

constexpr int max_build = 65535;
constexpr int max_stage = 1000;
constexpr std::int64_t retry_vote_after_s = 1;

// Field names of the API that differ from the terms used in the code.
namespace field {
constexpr const char* proxy = "umpire";
constexpr const char* incarnation = "session";
constexpr const char* requests = "txns";
constexpr const char* unsuccessful = "poorly";
constexpr const char* promotion_electorate = "countedToGoOn";
constexpr const char* rollback_electorate = "countedToGoBack";
constexpr const char* watches_dropped = "watchesCut";
constexpr const char* last_heartbeat = "heardMsAgo";
constexpr const char* uptime = "hereForMs";
}  // namespace field
constexpr const char* list_kind = "UmpireList";

struct VoteRequest {
  std::string proxy;
  std::string incarnation;
  int stage;
  Verdict verdict;
};

VoteRequest read_vote(const json::Value& body) {
  VoteRequest vote;
  vote.proxy = json::text(body, field::proxy);
  vote.incarnation = json::text(body, field::incarnation);
  vote.stage = json::integer(body, "stage", 0, max_stage);
  vote.verdict =
      json::enumerator<Verdict>(body, "verdict",
                                {{rollout::api_name(Verdict::none), Verdict::none},
                                 {rollout::api_name(Verdict::promote), Verdict::promote},
                                 {rollout::api_name(Verdict::hold), Verdict::hold},
                                 {rollout::api_name(Verdict::roll_back), Verdict::roll_back}});
  if (vote.proxy.empty())
    json::throw_wrong_type(field::proxy, "a name");
  return vote;
}

membership::Acknowledgement read_acknowledgement(const json::Value& object, TimePoint now) {
  membership::Acknowledgement acknowledgement;
  acknowledgement.build = json::integer(object, "build", 0, max_build);
  acknowledgement.stage = json::integer(object, "stage", 0, max_stage);
  acknowledgement.cap = json::number(object, "cap");
  acknowledgement.version = static_cast<std::int64_t>(json::number(object, "version"));
  acknowledgement.at = now;
  return acknowledgement;
}

http::Response vote_response(Outcome outcome, bool is_superseded) {
  if (is_superseded)
    return to_response(superseded("another process votes by that name"));
  if (outcome == Outcome::rejected)
    return to_response(too_many_requests("too many votes", retry_vote_after_s));
  if (outcome == Outcome::obsolete)
    return to_response(obsolete_vote());
  return http::json_response(200, "{\"result\":\"ok\"}");
}

void write_member(json::Writer& out, const std::string& name, const membership::Member& member,
                  TimePoint now) {
  out.begin_object();
  out.put("name", name);
  out.put("live", member.live);
  out.put("restarts", member.restarts);
  out.put_ms(field::last_heartbeat, now - member.last_heartbeat);
  out.put_ms(field::uptime, now - member.since);
  if (member.acknowledged) {
    out.begin_object("acknowledged");
    out.put("build", member.acknowledged->build);
    out.put("stage", member.acknowledged->stage);
    out.put("cap", member.acknowledged->cap);
    out.put("version", static_cast<long>(member.acknowledged->version));
    out.put_ms("msAgo", now - member.acknowledged->at);
    out.end_object();
  }
  out.end_object();
}

}  // namespace

void ProxyRoutes::heartbeat(const ApiRequest& request) {
  if (deps_.faults.intercept(request.exchange))
    return;
  const auto body = read_body(request);
  const std::string incarnation = json::text(body, field::incarnation);
  if (!objects::is_label_value(request.name) || incarnation.empty())
    json::throw_wrong_type(field::incarnation, "a word");
  const TimePoint now = deps_.loop.now();
  membership::Membership& membership = deps_.membership;
  const auto result = membership.heartbeat(request.name, incarnation, now);
  if (result != membership::HeartbeatResult::renewed)
    deps_.log.info("proxy", {{"name", request.name}, {"state", membership::to_string(result)}});
  if (result == membership::HeartbeatResult::superseded)
    throw superseded("another process has taken the name " + request.name);
  if (json::has_value(body, "acknowledged"))
    membership.acknowledge(request.name, incarnation,
                           read_acknowledgement(json::nested_object(body, "acknowledged"), now));
  deps_.monitor.check();
  deps_.decide();
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(deps_.settings.membership.lease);
  json::Writer out;
  out.begin_object();
  out.put("leaseMs", lease.count());
  out.put("known", membership.known());
  out.put("live", membership.live());
  out.end_object();
  request.exchange->answer(http::json_response(200, out.text()));
}

void ProxyRoutes::leave(const ApiRequest& request) {
  if (!deps_.membership.leave(request.name, request.query(field::incarnation)))
    throw proxy_not_found(request.name);
  deps_.log.info("proxy", {{"name", request.name}, {"state", "left"}});
  deps_.monitor.check();
  deps_.decide();
  request.exchange->answer(success_response(200));
}

void ProxyRoutes::vote(const ApiRequest& request) {
  const VoteRequest vote = read_vote(read_body(request));
  const int build = deps_.catalog.get(request.name).build;
  const TimePoint now = deps_.loop.now();
  Outcome outcome = Outcome::error;
  bool is_superseded = false;
  if (deps_.faults.counts_vote()) {
    // A vote renews the lease like a heartbeat.
    is_superseded = deps_.membership.heartbeat(vote.proxy, vote.incarnation, now) ==
                    membership::HeartbeatResult::superseded;
    deps_.monitor.check();
    outcome = is_superseded ? Outcome::obsolete
                            : deps_.rollout.vote(vote.proxy, build, vote.stage, vote.verdict, now);
  }
  if (deps_.voted)
    deps_.voted(vote.proxy, build, vote.stage, vote.verdict, outcome);
  if (deps_.faults.intercept(request.exchange))
    return;
  request.exchange->answer(vote_response(outcome, is_superseded));
  deps_.decide();
}

void ProxyRoutes::list(const ApiRequest& request) {
  const membership::Membership& membership = deps_.membership;
  const TimePoint now = deps_.loop.now();
  json::Writer out;
  out.begin_object();
  out.put("kind", list_kind);
  out.put("known", membership.known());
  out.put("live", membership.live());
  out.put(field::promotion_electorate, membership.promotion_electorate());
  out.put(field::rollback_electorate, membership.rollback_electorate());
  out.put("watches", deps_.watches.count());
  out.put(field::watches_dropped, deps_.watches.dropped());
  out.begin_array("items");
  for (const auto& [name, member] : membership.all())
    write_member(out, name, member, now);
  out.end_array();
  out.end_object();
  request.exchange->answer(http::json_response(200, out.text()));
}

void ProxyRoutes::client_outcomes(const ApiRequest& request) {
  const auto body = releases::parse_document(request.http().body);
  const int requests = json::integer(body, field::requests);
  const int unsuccessful = json::integer(body, field::unsuccessful);
  if (deps_.steps && deps_.settings.throttle_backfills)
    deps_.steps->on_client_outcomes(requests, unsuccessful);
  request.exchange->answer(http::json_response(200, "{}"));
}

}  // namespace robinhoist::controller
