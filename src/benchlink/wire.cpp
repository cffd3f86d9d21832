#include "benchlink/wire.h"

namespace robinhoist::benchlink {
namespace {

using namespace json;

// An outcome without a known word is read as 'may have run'.
Outcome outcome_of(const Json& fields) {
  static const std::pair<const char*, Outcome> words[] = {
      {"Ok", Outcome::ok},
      {"Failed", Outcome::error},
      {"QueueFull", Outcome::rejected},
      {"TimedOut", Outcome::timeout},
      {"ConnectError", Outcome::connect_failure},
      {"ResetByPeer", Outcome::reset},
      {"Canceled", Outcome::cancelled},
      {"Ignored", Outcome::obsolete}};
  std::string given = text(fields, "outcome");
  for (auto& [name, value] : words)
    if (given == name)
      return value;
  return Outcome::unknown;
}

LoadReport load_of(const Json& fields) {
  LoadReport load;
  auto at = fields.FindMember("pressure");
  if (at == fields.MemberEnd() || at->value.IsNull())
    return load;
  if (!at->value.IsObject())
    mistyped("pressure", "an object");
  for (const auto& value : at->value.GetObject()) {
    std::optional<double>* place = module_settings::load_field(load, value.name.GetString());
    const double given = place ? number_or(at->value, value.name.GetString(), -1) : -1;
    if (given >= 0)
      *place = given;
  }
  return load;
}

int index(std::unordered_map<std::string, int>& known, std::vector<std::string>& names,
          const std::string& name) {
  auto [at, fresh] = known.try_emplace(name, static_cast<int>(names.size()));
  if (fresh)
    names.push_back(name);
  return at->second;
}

// Of an id, the same at every proxy (FNV-1a).
std::uint64_t digest(const std::string& name) {
  std::uint64_t sum = 14695981039346656037u;
  for (unsigned char c : name)
    sum = (sum ^ c) * 1099511628211u;
  return sum;
}

// -1 for an id that this life has dropped or never had.
int find(const std::unordered_map<std::string, int>& known, const std::string& name) {
  auto at = known.find(name);
  return at == known.end() ? -1 : at->second;
}

int named_endpoint(const Instance& instance, const Json& fields) {
  int endpoint = find(instance.endpoints, text(fields, "box"));
  if (endpoint < 0)
    throw BadInput("field box names a box that was never listed");
  return endpoint;
}

void drop_if_done(Instance& instance, int request_id) {
  if (request_id < 0 || instance.engine->knows(request_id))
    return;
  auto at = instance.request_names.find(request_id);
  if (at == instance.request_names.end())
    return;
  instance.requests.erase(at->second);
  instance.request_names.erase(at);
}

}  // namespace

bool Wire::read(std::string& line, std::string& reply) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError() || !document.IsObject() || document.MemberCount() != 1)
    throw BadInput("not a message: one JSON object with one key was expected");
  const auto& message = *document.MemberBegin();
  std::string name(message.name.GetString(), message.name.GetStringLength());
  if (!message.value.IsObject())
    throw BadInput(name + ": its fields are not an object");
  try {
    if (name == "tick") {
      if (open_)
        throw BadInput("a batch is still open");
      now_ = TimePoint(duration_of(message.value, "time_ms"));
      open_ = true;
      return false;
    }
    if (!open_)
      throw BadInput("no batch is open");
    if (name != "your_turn") {
      event(name, message.value);
      return false;
    }
  } catch (const BadInput& bad) {
    throw BadInput(name + ": " + bad.what());
  }
  out_.Clear();
  for (const std::string& who : touched_) {
    auto at = instances_.find(who);
    if (at == instances_.end() || !at->second->touched)
      continue;
    at->second->touched = false;
    answer(who, *at->second);
  }
  touched_.clear();
  open_ = false;
  reply.assign(out_.GetString(), out_.GetSize());
  reply += "{\"eor\":{}}\n";
  return true;
}

Instance& Wire::known(const std::string& who, bool touch) {
  auto at = instances_.find(who);
  if (at == instances_.end())
    throw BadInput("field umpire names an instance without a hello");
  if (touch && !at->second->touched) {
    at->second->touched = true;
    touched_.push_back(who);
  }
  return *at->second;
}

void Wire::event(const std::string& name, const Json& fields) {
  if (name == "sheet") {
    int bank = whole(fields, "bank", 0, 15);
    banks_[bank].clear();
    bank_names_[bank].clear();
    for (const Json& entry : array(fields, "elements").GetArray()) {
      if (!entry.IsObject())
        mistyped("elements", "an array of objects");
      EndpointInfo news{};
      news.zone = whole(entry, "failure_domain");
      news.cell = whole(entry, "cell");
      news.build = whole(entry, "build", 0, 65535);
      news.phase = enumerator<EndpointPhase>(entry, "phase",
                                             {{"IN", EndpointPhase::ready},
                                              {"LAME", EndpointPhase::draining},
                                              {"OUT", EndpointPhase::removed}});
      news.size = number(entry, "share");
      news.started = TimePoint(span(number_or(entry, "ready_at_ms", 0)));
      banks_[bank].push_back(news);
      bank_names_[bank].push_back(text(entry, "box"));
      banks_[bank].back().order = digest(bank_names_[bank].back());
    }
    return;
  }
  std::string who = text(fields, "umpire");
  if (name == "hello")
    return hello(who, fields);
  if (name == "power_off") {
    known(who, false);
    instances_.erase(who);
    return;
  }
  Instance& instance = known(who, true);
  DecisionEngine& engine = *instance.engine;
  if (name == "directory_update") {
    list(instance, fields);
  } else if (name == "demand") {
    demand(instance, fields);
  } else if (name == "flowing") {
    int request_id = find(instance.requests, text(fields, "call"));
    if (request_id >= 0)
      engine.stream_began(request_id);
  } else if (name == "reply") {
    int request_id = find(instance.requests, text(fields, "call"));
    int attempt = whole(fields, "seq_no");
    Outcome outcome = outcome_of(fields);
    bool succeeded = truth(fields, "settled");
    LoadReport load = load_of(fields);
    if (request_id >= 0)
      engine.attempt_ended(request_id, attempt, outcome, succeeded, load, now_);
    drop_if_done(instance, request_id);
  } else if (name == "expired") {
    int request_id = find(instance.requests, text(fields, "call"));
    if (request_id >= 0)
      engine.client_disconnected(request_id);
    drop_if_done(instance, request_id);
  } else if (name == "wakeup") {
    number(fields, "key_back");
  } else if (name == "probe_result") {
    outcome_of(fields);
    engine.probe_ended(named_endpoint(instance, fields), load_of(fields), now_);
  } else if (name == "peer_data") {
    text(fields, "raw");
  } else if (name == "promotion") {
    promotion(instance, fields);
  } else if (name == "metrics") {
    // The module does not use tallies (docs/design.md says why); they are read for their form only.
    whole(fields, "ver");
    whole(fields, "qos", 0, instance.request_classes - 1);
    for (const char* field : {"samples", "bad"})
      whole(fields, field);
    number_or(fields, "wait_time_ms", 0);
    number(fields, "since_ms");
  } else if (name == "flagged") {
    duration_of(fields, "since_ms");
    engine.answer_found_wrong(named_endpoint(instance, fields));
  } else {
    throw BadInput("unknown message");
  }
}

void Wire::hello(const std::string& who, const Json& fields) {
  const Json& salt = member(fields, "salt");
  if (!salt.IsUint64())
    mistyped("salt", "a whole number");
  const module_settings::ModuleSettings told = module_settings::decode(inner(fields, "params"));
  auto instance = std::make_unique<Instance>();
  instance->request_classes = static_cast<int>(told.request_classes.size());
  instance->tenants = static_cast<int>(told.tenants.size());
  std::uint64_t seed = salt.GetUint64();
  instance->engine =
      std::make_unique<DecisionEngine>(static_cast<unsigned>(seed ^ (seed >> 32)), told.endpoints,
                                       told.canary_quota, told.analysis, told.requests);
  instances_[who] = std::move(instance);
  known(who, true);
}

void Wire::list(Instance& instance, const Json& fields) {
  EndpointUpdateKind kind =
      enumerator<EndpointUpdateKind>(fields, "mode",
                                     {{"INCREMENTAL", EndpointUpdateKind::incremental},
                                      {"FULL", EndpointUpdateKind::complete},
                                      {"SAVED", EndpointUpdateKind::cached},
                                      {"FAILED", EndpointUpdateKind::failed}});
  std::vector<EndpointInfo> entries;
  if (kind != EndpointUpdateKind::failed) {
    int bank = whole(fields, "bank", 0, 15);
    entries = banks_[bank];
    for (std::size_t i = 0; i < entries.size(); ++i)
      entries[i].endpoint =
          index(instance.endpoints, instance.endpoint_names, bank_names_[bank][i]);
  }
  instance.engine->endpoints_updated(kind, entries, now_);
}

void Wire::demand(Instance& instance, const Json& fields) {
  RequestInfo request{};
  std::string name = text(fields, "call");
  request.request_class = whole(fields, "qos", 0, instance.request_classes - 1);
  double tenant = number_or(fields, "org", 0);
  if (tenant < 0 || (tenant > 0 && tenant >= instance.tenants))
    mistyped("org", "a known tenant");
  request.tenant = static_cast<int>(tenant);
  request.deadline = TimePoint(duration_of(fields, "not_after_ms"));
  request.cost_hint_ms = number_or(fields, "work_hint_ms", 0);
  auto key = fields.FindMember("subject");
  if (key != fields.MemberEnd() && !key->value.IsNull())
    request.key = text(fields, "subject");
  request.is_retry = truth(fields, "retry");
  request.request_id = instance.next_request_id++;
  instance.requests[name] = request.request_id;
  instance.request_names[request.request_id] = name;
  instance.engine->request_arrived(request, now_);
}

void Wire::promotion(Instance& instance, const Json& fields) {
  Outcome outcome = outcome_of(fields);
  if (whole(fields, "reason", 0, 1) == 1)
    instance.engine->vote_answered(outcome, now_);
  // A vote that failed brings no news, or only part of it.
  if (outcome != Outcome::ok)
    for (const char* name : {"ver", "step", "where_at", "limit_share", "since_ms"}) {
      auto at = fields.FindMember(name);
      if (at == fields.MemberEnd() || at->value.IsNull())
        return;
    }
  ReleaseUpdate release{};
  release.build = whole(fields, "ver", 0, 65535);
  release.stage = whole(fields, "step");
  release.phase = static_cast<ReleasePhase>(whole(fields, "where_at", 0, 3));
  release.cap = number(fields, "limit_share");
  release.since = duration_of(fields, "since_ms");
  if (outcome == Outcome::ok || outcome == Outcome::obsolete)
    instance.engine->release_updated(release, now_);
}

void Wire::answer(const std::string& who, Instance& instance) {
  while (auto decision = instance.engine->next(now_))
    write(who, instance, *decision);
}

void Wire::write(const std::string& who, Instance& instance, const Decision& decision) {
  static const char* const names[] = {"call_out", "say_no",     "error",  "abort_attempt",
                                      "inspect",  "close_idle", "listen", "resolve",
                                      "say_so",   "wake_at",    "emit"};
  Writer writer(out_);
  auto field = [&](const char* name, const std::string& value) {
    writer.Key(name);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  auto count = [&](const char* name, int value) {
    writer.Key(name);
    writer.Int(value);
  };
  auto length = [&](const char* name) {
    writer.Key(name);
    writer.Double(decision.duration.count() / 1e3);
  };
  writer.StartObject();
  writer.Key(names[static_cast<int>(decision.action)]);
  writer.StartObject();
  field("umpire", who);
  if (decision.request_id >= 0)
    field("call", instance.request_names.at(decision.request_id));
  if (decision.endpoint >= 0)
    field("box", instance.endpoint_names.at(decision.endpoint));
  switch (decision.action) {
    case Action::forward:
      length("cap_ms");
      break;
    case Action::reject:
      length("pause_ms");
      break;
    case Action::cancel:
      count("seq_no", decision.attempt);
      break;
    case Action::subscribe:
      writer.Key("enable");
      writer.Bool(true);
      break;
    case Action::vote:
      count("ver", decision.build);
      count("step", decision.stage);
      count("reason", static_cast<int>(decision.verdict));
      break;
    case Action::wake:
      length("offset_ms");
      count("key_back", 0);
      break;
    case Action::log:
      field("body_text", decision.text);
      break;
    default:
      break;
  }
  writer.EndObject();
  writer.EndObject();
  out_.Put('\n');
  if (decision.request_id >= 0)
    drop_if_done(instance, decision.request_id);
}

}  // namespace robinhoist::benchlink
