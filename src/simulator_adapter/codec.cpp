#include "simulator_adapter/codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "json/writer.h"
#include "simulator_adapter/wire_names.h"

namespace robinhoist::simulator_adapter {

using json::Value;
namespace field = wire::field;

namespace {

constexpr int max_build = 65535;
constexpr int last_release_phase = 3;
// Values of the field `reason` of a release update.
constexpr int reason_vote_answered = 1;

// FNV-1a hash of an endpoint's name, identical at all proxies.
std::uint64_t fnv1a(const std::string& name) {
  constexpr std::uint64_t offset_basis = 14695981039346656037U;
  constexpr std::uint64_t prime = 1099511628211U;
  std::uint64_t hash = offset_basis;
  for (const unsigned char byte : name)
    hash = (hash ^ byte) * prime;
  return hash;
}

EndpointInfo decode_endpoint(const Value& entry) {
  EndpointInfo info{};
  info.zone = json::integer(entry, field::zone);
  info.cell = json::integer(entry, field::cell);
  info.build = json::integer(entry, field::build, 0, max_build);
  info.phase = json::enumerator<EndpointPhase>(entry, field::endpoint_phase,
                                               {{"IN", EndpointPhase::ready},
                                                {"LAME", EndpointPhase::draining},
                                                {"OUT", EndpointPhase::removed}});
  info.size = json::number(entry, field::size);
  info.started = TimePoint(json::duration_from_ms(json::number_or(entry, field::started_ms, 0)));
  return info;
}

bool has_release(const Value& fields) {
  constexpr const char* required[] = {field::release_build, field::release_stage,
                                      field::release_phase, field::release_cap, field::since_ms};
  return std::all_of(std::begin(required), std::end(required),
                     [&](const char* name) { return json::has_value(fields, name); });
}

const char* message_name(Action action) {
  switch (action) {
    case Action::forward:
      return wire::decision::forward;
    case Action::reject:
      return wire::decision::reject;
    case Action::fail:
      return wire::decision::fail;
    case Action::cancel:
      return wire::decision::cancel;
    case Action::probe:
      return wire::decision::probe;
    case Action::close:
      return wire::decision::close;
    case Action::subscribe:
      return wire::decision::subscribe;
    case Action::fetch:
      return wire::decision::fetch;
    case Action::vote:
      return wire::decision::vote;
    case Action::wake:
      return wire::decision::wake;
    case Action::log:
      return wire::decision::log;
  }
  return "";
}

// Writes the fields that are specific to the action.
void put_action_fields(json::Writer& out, const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      out.put_ms(field::timeout_ms, decision.duration);
      break;
    case Action::reject:
      out.put_ms(field::retry_after_ms, decision.duration);
      break;
    case Action::cancel:
      out.put(field::attempt, decision.attempt);
      break;
    case Action::subscribe:
      out.put(field::enable, true);
      break;
    case Action::vote:
      out.put(field::release_build, decision.build);
      out.put(field::release_stage, decision.stage);
      out.put(field::reason, static_cast<int>(decision.verdict));
      break;
    case Action::wake:
      out.put_ms(field::delay_ms, decision.duration);
      out.put(field::timer, 0);
      break;
    case Action::log:
      out.put(field::text, decision.text);
      break;
    case Action::fail:
    case Action::probe:
    case Action::close:
    case Action::fetch:
      break;
  }
}

}  // namespace

EndpointBank decode_endpoint_bank(const Value& fields) {
  EndpointBank bank{};
  bank.number = json::integer(fields, field::bank, 0, bank_count - 1);
  for (const Value& entry : json::array(fields, field::entries).GetArray()) {
    if (!entry.IsObject())
      json::throw_wrong_type(field::entries, "an array of objects");
    EndpointInfo info = decode_endpoint(entry);
    std::string name = json::text(entry, field::endpoint);
    info.sort_key = fnv1a(name);
    bank.entries.push_back(info);
    bank.names.push_back(std::move(name));
  }
  return bank;
}

EndpointsUpdated decode_endpoints_updated(const Value& fields) {
  EndpointsUpdated update{};
  update.kind =
      json::enumerator<EndpointUpdateKind>(fields, field::update_kind,
                                           {{"INCREMENTAL", EndpointUpdateKind::incremental},
                                            {"FULL", EndpointUpdateKind::complete},
                                            {"SAVED", EndpointUpdateKind::cached},
                                            {"FAILED", EndpointUpdateKind::failed}});
  if (update.kind != EndpointUpdateKind::failed)
    update.bank = json::integer(fields, field::bank, 0, bank_count - 1);
  return update;
}

InstanceStarted decode_instance_started(const Value& fields) {
  const Value& salt = json::member(fields, field::salt);
  if (!salt.IsUint64())
    json::throw_wrong_type(field::salt, "a whole number");
  return {salt.GetUint64(), module_settings::decode(json::nested_object(fields, field::settings))};
}

RequestArrived decode_request_arrived(const Value& fields, const RequestLimits& limits) {
  RequestArrived arrived{};
  arrived.name = json::text(fields, field::request);
  RequestInfo& info = arrived.info;
  info.request_class = json::integer(fields, field::request_class, 0, limits.request_classes - 1);
  const double tenant = json::number_or(fields, field::tenant, 0);
  if (tenant < 0 || (tenant > 0 && tenant >= limits.tenants))
    json::throw_wrong_type(field::tenant, "a known tenant");
  info.tenant = static_cast<int>(tenant);
  info.deadline = TimePoint(json::duration(fields, field::deadline_ms));
  info.cost_hint_ms = json::number_or(fields, field::cost_hint_ms, 0);
  info.key = json::text_or(fields, field::key, "");
  info.is_retry = json::boolean(fields, field::is_retry);
  return arrived;
}

AttemptEnded decode_attempt_ended(const Value& fields) {
  AttemptEnded ended{};
  ended.request = json::text(fields, field::request);
  ended.attempt = json::integer(fields, field::attempt);
  ended.outcome = decode_outcome(fields);
  ended.succeeded = json::boolean(fields, field::succeeded);
  ended.load = decode_load_report(fields);
  return ended;
}

ReleaseMessage decode_release(const Value& fields) {
  ReleaseMessage message{};
  message.outcome = decode_outcome(fields);
  message.answers_vote = json::integer(fields, field::reason, 0, 1) == reason_vote_answered;
  // The answer to a failed vote may contain no release, or only some of its fields.
  if (message.outcome != Outcome::ok && !has_release(fields))
    return message;
  ReleaseUpdate release{};
  release.build = json::integer(fields, field::release_build, 0, max_build);
  release.stage = json::integer(fields, field::release_stage);
  release.phase =
      static_cast<ReleasePhase>(json::integer(fields, field::release_phase, 0, last_release_phase));
  release.cap = json::number(fields, field::release_cap);
  release.since = json::duration(fields, field::since_ms);
  if (message.outcome == Outcome::ok || message.outcome == Outcome::obsolete)
    message.release = release;
  return message;
}

Outcome decode_outcome(const Value& fields) {
  static const std::pair<const char*, Outcome> names[] = {
      {"Ok", Outcome::ok},
      {"Failed", Outcome::error},
      {"QueueFull", Outcome::rejected},
      {"TimedOut", Outcome::timeout},
      {"ConnectError", Outcome::connect_failure},
      {"ResetByPeer", Outcome::reset},
      {"Canceled", Outcome::cancelled},
      {"Ignored", Outcome::obsolete}};
  const std::string given = json::text(fields, field::outcome);
  for (const auto& [name, outcome] : names)
    if (given == name)
      return outcome;
  return Outcome::unknown;
}

LoadReport decode_load_report(const Value& fields) {
  LoadReport load;
  if (!json::has_value(fields, field::load_report))
    return load;
  const Value& report = json::nested_object(fields, field::load_report);
  for (const auto& entry : report.GetObject()) {
    const char* name = entry.name.GetString();
    std::optional<double>* value = module_settings::load_field(load, name);
    if (value == nullptr)
      continue;
    const double number = json::number_or(report, name, -1);
    if (number >= 0)
      *value = number;
  }
  return load;
}

void check_metrics(const Value& fields, int request_classes) {
  json::integer(fields, field::release_build);
  json::integer(fields, field::request_class, 0, request_classes - 1);
  json::integer(fields, field::samples);
  json::integer(fields, field::bad_samples);
  json::number_or(fields, field::wait_ms, 0);
  json::number(fields, field::since_ms);
}

std::string encode(const Decision& decision, const DecisionNames& names) {
  json::Writer out;
  out.begin_object();
  out.begin_object(message_name(decision.action));
  out.put(field::instance, names.instance);
  if (names.request)
    out.put(field::request, *names.request);
  if (names.endpoint)
    out.put(field::endpoint, *names.endpoint);
  put_action_fields(out, decision);
  out.end_object();
  out.end_object();
  return out.text() + "\n";
}

std::string encode_end_of_reply() {
  json::Writer out;
  out.begin_object();
  out.begin_object(wire::decision::end_of_reply);
  out.end_object();
  out.end_object();
  return out.text() + "\n";
}

}  // namespace robinhoist::simulator_adapter
