#include "benchlink/wire.h"

namespace robinhoist::benchlink {
namespace {

using namespace json;

double positive(const Json& object, const char* field) {
  double value = number(object, field);
  if (!(value > 0)) throw BadInput(std::string("setting ") + field + " must be above 0");
  return value;
}

double not_negative(const Json& object, const char* field) {
  double value = number(object, field);
  if (!(value >= 0)) throw BadInput(std::string("setting ") + field + " must not be below 0");
  return value;
}

// An outcome without a known word is read as 'may have run'.
Outcome outcome_of(const Json& fields) {
  static const std::pair<const char*, Outcome> words[] = {{"Ok", Outcome::ok},
                                                          {"Failed", Outcome::error},
                                                          {"QueueFull", Outcome::full},
                                                          {"TimedOut", Outcome::timeout},
                                                          {"ConnectError", Outcome::no_connection},
                                                          {"ResetByPeer", Outcome::reset},
                                                          {"Canceled", Outcome::cancelled},
                                                          {"Ignored", Outcome::moot}};
  std::string given = text(fields, "outcome");
  for (auto& [name, value] : words)
    if (given == name) return value;
  return Outcome::unknown;
}

Load load_of(const Json& fields) {
  Load load;
  auto at = fields.FindMember("pressure");
  if (at == fields.MemberEnd() || at->value.IsNull()) return load;
  if (!at->value.IsObject()) mistyped("pressure", "an object");
  const std::pair<const char*, std::optional<double>*> names[] = {
      {"busy_reqs", &load.held},    {"pending", &load.waiting},     {"cpu_share", &load.busy},
      {"svc_ms", &load.service_ms}, {"served_ps", &load.served_ps}, {"failed_ps", &load.failed_ps}};
  for (auto& [name, place] : names) {
    double value = number_or(at->value, name, -1);
    if (value >= 0) *place = value;
  }
  return load;
}

TxnSettings txn_settings(const Json& params) {
  TxnSettings settings{};
  for (const Json& entry : array(params, "classes").GetArray()) {
    if (!entry.IsObject()) mistyped("classes", "an array of objects");
    Product product{};
    product.sla = span(positive(entry, "goal_time_ms"));
    product.expiry = span(positive(entry, "deadline_ms"));
    product.memory = span(not_negative(entry, "dedup_window_ms"));
    product.effect = word<Effect>(
        entry, "effect",
        {{"free", Effect::inquiry}, {"guarded", Effect::referenced}, {"single_shot", Effect::once_only}});
    product.group =
        word<Group>(entry, "group", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    product.revenue = not_negative(entry, "worth");
    product.late_share = not_negative(entry, "late_share");
    product.stream = truth(entry, "streaming");
    settings.products.push_back(product);
  }
  if (settings.products.empty()) throw BadInput("setting classes is empty");
  for (const Json& entry : array(params, "tenants").GetArray()) {
    if (!entry.IsObject()) mistyped("tenants", "an array of objects");
    settings.tenants.push_back({not_negative(entry, "fraction"), not_negative(entry, "allowance_per_s")});
  }
  const Json& bounds = inner(params, "bounds");
  settings.max_submissions = whole(bounds, "max_attempts", 1);
  settings.umpires = whole(params, "balancers", 1);
  settings.second_copies = truth(bounds, "second_copies");
  settings.cancelling = truth(bounds, "cancelling");
  settings.advice = truth(bounds, "retry_after");
  settings.max_pause = span(not_negative(bounds, "max_retry_after_ms"));
  settings.slack = span(not_negative(inner(params, "safety"), "answer_slack_ms"));
  settings.tick = span(positive(params, "tick_ms"));
  settings.over_share_revenue = not_negative(params, "over_share_worth");
  return settings;
}

NodeSettings node_settings(const Json& params) {
  const Json& safety = inner(params, "safety");
  NodeSettings settings{};
  settings.zone = whole(params, "zone");
  settings.me = whole(params, "me");
  settings.umpires = whole(params, "balancers", 1);
  settings.cold_for = time_of(safety, "cold_ms");
  settings.fall_window = span(positive(safety, "fall_ms"));
  settings.ask_within = span(not_negative(safety, "ask_within_ms"));
  settings.cold_from = positive(safety, "cold_from");
  if (settings.cold_from > 1) throw BadInput("setting cold_from must not be above 1");
  settings.fall_multiple = positive(safety, "fall_multiple");
  settings.must_ask = word<bool>(params, "registry_mode", {{"automatic", false}, {"subscribe", true}});
  settings.sized =
      word<bool>(params, "weights", {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", true}});
  settings.probes = truth(inner(params, "bounds"), "probes");
  settings.reports =
      word<Reports>(inner(params, "load_report"), "source",
                    {{"piggyback", Reports::answers}, {"pull", Reports::probes}, {"silent", Reports::none}});
  return settings;
}

ExposureSettings exposure_settings(const Json& info) {
  ExposureSettings settings{};
  settings.window = span(positive(info, "window_ms"));
  settings.free = not_negative(info, "free");
  settings.by_product = word<bool>(info, "counts", {{"all", false}, {"each_class", true}});
  settings.one_way = truth(info, "one_way");
  settings.in_place = word<bool>(info, "replace_mode", {{"parallel", false}, {"replace", true}});
  settings.safe_only_stages = whole(info, "safe_only_stages");
  for (const Json& cap : array(info, "caps").GetArray()) {
    if (!cap.IsNumber() || cap.GetDouble() < 0) mistyped("caps", "an array of numbers from 0");
    settings.caps.push_back(cap.GetDouble());
  }
  return settings;
}

GateSettings gate_settings(const Json& params, const Json& info) {
  GateSettings settings{};
  settings.gate =
      word<Gate>(info, "gate_mode",
                 {{"first_voice", Gate::first_vote}, {"by_count", Gate::count}, {"automatic", Gate::clock}});
  settings.bake = span(not_negative(info, "bake_ms"));
  settings.step = span(not_negative(info, "moves_after_ms"));
  settings.vote_life = span(positive(info, "vote_stands_ms"));
  settings.call_timeout = span(positive(info, "call_timeout_ms"));
  settings.calls_per_s = not_negative(info, "calls_per_s");
  settings.flag_share = not_negative(info, "flag_share");
  settings.umpires = whole(params, "balancers", 1);
  settings.to_advance = whole(info, "to_advance");
  settings.to_hold = whole(info, "hold_votes");
  settings.to_revert = whole(info, "votes_to_revert");
  return settings;
}

int index(std::unordered_map<std::string, int>& known, std::vector<std::string>& names,
          const std::string& name) {
  auto [at, fresh] = known.try_emplace(name, static_cast<int>(names.size()));
  if (fresh) names.push_back(name);
  return at->second;
}

// Of an id, the same at every umpire (FNV-1a).
std::uint64_t digest(const std::string& name) {
  std::uint64_t sum = 14695981039346656037u;
  for (unsigned char c : name) sum = (sum ^ c) * 1099511628211u;
  return sum;
}

// -1 for an id that this life has dropped or never had.
int find(const std::unordered_map<std::string, int>& known, const std::string& name) {
  auto at = known.find(name);
  return at == known.end() ? -1 : at->second;
}

int named_node(const Instance& instance, const Json& fields) {
  int node = find(instance.nodes, text(fields, "box"));
  if (node < 0) throw BadInput("field box names a box that was never listed");
  return node;
}

void drop_if_done(Instance& instance, int txn) {
  if (txn < 0 || instance.umpire->knows(txn)) return;
  auto at = instance.txn_names.find(txn);
  if (at == instance.txn_names.end()) return;
  instance.txns.erase(at->second);
  instance.txn_names.erase(at);
}

}  // namespace

bool Wire::read(std::string& line, std::string& reply) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError() || !document.IsObject() || document.MemberCount() != 1)
    throw BadInput("not a message: one JSON object with one key was expected");
  const auto& message = *document.MemberBegin();
  std::string name(message.name.GetString(), message.name.GetStringLength());
  if (!message.value.IsObject()) throw BadInput(name + ": its fields are not an object");
  try {
    if (name == "tick") {
      if (open_) throw BadInput("a batch is still open");
      now_ = time_of(message.value, "time_ms");
      open_ = true;
      return false;
    }
    if (!open_) throw BadInput("no batch is open");
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
    if (at == instances_.end() || !at->second->touched) continue;
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
  if (at == instances_.end()) throw BadInput("field umpire names an instance without a hello");
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
      if (!entry.IsObject()) mistyped("elements", "an array of objects");
      NodeNews news{};
      news.zone = whole(entry, "failure_domain");
      news.cell = whole(entry, "cell");
      news.build = whole(entry, "build", 0, 65535);
      news.phase = word<NodePhase>(
          entry, "phase", {{"IN", NodePhase::in}, {"LAME", NodePhase::lame}, {"OUT", NodePhase::out}});
      news.size = number(entry, "share");
      news.started = span(number_or(entry, "ready_at_ms", 0));
      banks_[bank].push_back(news);
      bank_names_[bank].push_back(text(entry, "box"));
      banks_[bank].back().order = digest(bank_names_[bank].back());
    }
    return;
  }
  std::string who = text(fields, "umpire");
  if (name == "hello") return hello(who, fields);
  if (name == "power_off") {
    known(who, false);
    instances_.erase(who);
    return;
  }
  Instance& instance = known(who, true);
  Umpire& umpire = *instance.umpire;
  if (name == "directory_update") {
    list(instance, fields);
  } else if (name == "demand") {
    demand(instance, fields);
  } else if (name == "flowing") {
    int txn = find(instance.txns, text(fields, "call"));
    if (txn >= 0) umpire.stream_began(txn);
  } else if (name == "reply") {
    int txn = find(instance.txns, text(fields, "call"));
    int submission = whole(fields, "seq_no");
    Outcome outcome = outcome_of(fields);
    bool settled = truth(fields, "settled");
    Load load = load_of(fields);
    if (txn >= 0) umpire.submission_ended(txn, submission, outcome, settled, load, now_);
    drop_if_done(instance, txn);
  } else if (name == "expired") {
    int txn = find(instance.txns, text(fields, "call"));
    if (txn >= 0) umpire.txn_left(txn);
    drop_if_done(instance, txn);
  } else if (name == "wakeup") {
    number(fields, "key_back");
  } else if (name == "probe_result") {
    outcome_of(fields);
    umpire.probe_ended(named_node(instance, fields), load_of(fields), now_);
  } else if (name == "peer_data") {
    text(fields, "raw");
  } else if (name == "promotion") {
    promotion(instance, fields);
  } else if (name == "metrics") {
    // The module does not use tallies (docs/design.md says why); they are read for their form only.
    whole(fields, "ver");
    whole(fields, "qos", 0, instance.products - 1);
    for (const char* field : {"samples", "bad"}) whole(fields, field);
    number_or(fields, "wait_time_ms", 0);
    number(fields, "since_ms");
  } else if (name == "flagged") {
    time_of(fields, "since_ms");
    umpire.answer_flagged(named_node(instance, fields));
  } else {
    throw BadInput("unknown message");
  }
}

void Wire::hello(const std::string& who, const Json& fields) {
  const Json& salt = member(fields, "salt");
  if (!salt.IsUint64()) mistyped("salt", "a whole number");
  const Json& params = inner(fields, "params");
  const Json& info = inner(params, "family_info");
  TxnSettings txns = txn_settings(params);
  auto instance = std::make_unique<Instance>();
  instance->products = static_cast<int>(txns.products.size());
  instance->tenants = static_cast<int>(txns.tenants.size());
  std::uint64_t seed = salt.GetUint64();
  instance->umpire =
      std::make_unique<Umpire>(static_cast<unsigned>(seed ^ (seed >> 32)), node_settings(params),
                               exposure_settings(info), gate_settings(params, info), txns);
  instances_[who] = std::move(instance);
  known(who, true);
}

void Wire::list(Instance& instance, const Json& fields) {
  ListNews kind = word<ListNews>(fields, "mode",
                                 {{"INCREMENTAL", ListNews::changes},
                                  {"FULL", ListNews::whole},
                                  {"SAVED", ListNews::saved},
                                  {"FAILED", ListNews::failed}});
  std::vector<NodeNews> entries;
  if (kind != ListNews::failed) {
    int bank = whole(fields, "bank", 0, 15);
    entries = banks_[bank];
    for (std::size_t i = 0; i < entries.size(); ++i)
      entries[i].node = index(instance.nodes, instance.node_names, bank_names_[bank][i]);
  }
  instance.umpire->list_news(kind, entries, now_);
}

void Wire::demand(Instance& instance, const Json& fields) {
  Arrival txn{};
  std::string name = text(fields, "call");
  txn.product = whole(fields, "qos", 0, instance.products - 1);
  double tenant = number_or(fields, "org", 0);
  if (tenant < 0 || (tenant > 0 && tenant >= instance.tenants)) mistyped("org", "a known tenant");
  txn.tenant = static_cast<int>(tenant);
  txn.expiry = time_of(fields, "not_after_ms");
  txn.hint_ms = number_or(fields, "work_hint_ms", 0);
  auto key = fields.FindMember("subject");
  if (key != fields.MemberEnd() && !key->value.IsNull()) txn.key = text(fields, "subject");
  txn.repeat = truth(fields, "retry");
  txn.txn = instance.next_txn++;
  instance.txns[name] = txn.txn;
  instance.txn_names[txn.txn] = name;
  instance.umpire->txn_arrived(txn, now_);
}

void Wire::promotion(Instance& instance, const Json& fields) {
  Outcome outcome = outcome_of(fields);
  if (whole(fields, "reason", 0, 1) == 1) instance.umpire->vote_answered(outcome, now_);
  // A vote that failed brings no news, or only part of it.
  if (outcome != Outcome::ok)
    for (const char* name : {"ver", "step", "where_at", "limit_share", "since_ms"}) {
      auto at = fields.FindMember(name);
      if (at == fields.MemberEnd() || at->value.IsNull()) return;
    }
  RelNews rel{};
  rel.build = whole(fields, "ver", 0, 65535);
  rel.stage = whole(fields, "step");
  rel.phase = static_cast<RelPhase>(whole(fields, "where_at", 0, 3));
  rel.cap = number(fields, "limit_share");
  rel.since = time_of(fields, "since_ms");
  if (outcome == Outcome::ok || outcome == Outcome::moot) instance.umpire->release_news(rel, now_);
}

void Wire::answer(const std::string& who, Instance& instance) {
  while (auto decision = instance.umpire->next(now_)) write(who, instance, *decision);
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
    writer.Double(decision.span.count() / 1e3);
  };
  writer.StartObject();
  writer.Key(names[static_cast<int>(decision.action)]);
  writer.StartObject();
  field("umpire", who);
  if (decision.txn >= 0) field("call", instance.txn_names.at(decision.txn));
  if (decision.node >= 0) field("box", instance.node_names.at(decision.node));
  switch (decision.action) {
    case Action::submit:
      length("cap_ms");
      break;
    case Action::decline:
      length("pause_ms");
      break;
    case Action::cancel:
      count("seq_no", decision.submission);
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
  if (decision.txn >= 0) drop_if_done(instance, decision.txn);
}

}  // namespace robinhoist::benchlink
