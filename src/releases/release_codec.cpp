#include "releases/release_codec.h"

#include <ctime>

#include "json/writer.h"
#include "rollout/names.h"

namespace robinhoist::releases {
namespace {

// Field names that differ from the terms used in the code. All other names appear as literals where
// they are read and written.
namespace field {
constexpr const char* stages = "waves";
constexpr const char* proxies = "umpires";
constexpr const char* milliseconds = "ms";
constexpr const char* deletion_requested = "deleting";
}  // namespace field

constexpr const char* pending = "pending";

const char* to_string(StageState state) {
  static const char* const names[] = {"done",        "running",  "next", "waiting for steps",
                                      "not reached", "sent back"};
  return names[static_cast<int>(state)];
}

long milliseconds(WallMillis time) {
  return time.time_since_epoch().count();
}

std::int64_t read_integer(const json::Value& object, const char* name) {
  return static_cast<std::int64_t>(json::number_or(object, name, 0));
}

WallMillis read_time(const json::Value& object, const char* name) {
  return WallMillis(std::chrono::milliseconds(read_integer(object, name)));
}

void write_metadata(json::Writer& out, const Release& release) {
  out.begin_object("metadata");
  out.put("name", release.name);
  out.put("uid", release.uid);
  out.put("generation", static_cast<long>(release.generation));
  out.put("resourceVersion", std::to_string(release.version));
  out.put("creationTimestamp", rfc3339(release.created));
  if (release.is_deleting())
    out.put("deletionTimestamp", rfc3339(release.deletion_requested));
  out.begin_object("labels");
  for (const auto& [name, value] : release.labels)
    out.put(name.c_str(), value);
  out.end_object();
  out.begin_array("finalizers");
  for (const std::string& finalizer : release.finalizers)
    out.put(nullptr, finalizer);
  out.end_array();
  out.end_object();
}

// Writes the part of the status that proxies route by.
void write_state(json::Writer& out, const Status& status) {
  out.put("phase", phase_name(status.phase));
  out.put("stage", status.stage);
  out.put("cap", status.cap);
  out.put("since", rfc3339(status.since));
  out.put("held", status.held);
  out.put("why", status.why);
}

void write_stages(json::Writer& out, const std::vector<StageStatus>& stages) {
  out.begin_array(field::stages);
  for (const StageStatus& stage : stages) {
    out.begin_object();
    out.put("share", stage.share);
    out.put("cap", stage.cap);
    out.put("state", to_string(stage.state));
    out.end_object();
  }
  out.end_array();
}

void write_proxies(json::Writer& out, const std::vector<ProxyStatus>& proxies) {
  out.begin_array(field::proxies);
  for (const ProxyStatus& proxy : proxies) {
    out.begin_object();
    out.put("name", proxy.proxy);
    out.put("vote", rollout::api_name(proxy.vote));
    if (proxy.cap) {
      out.put("acknowledgedCap", *proxy.cap);
      out.put("stage", proxy.stage);
      out.put("acknowledgedAt", rfc3339(proxy.acknowledged_at));
    }
    out.end_object();
  }
  out.end_array();
}

void write_steps(json::Writer& out, const std::vector<StepStatus>& steps) {
  out.begin_array("steps");
  for (const StepStatus& step : steps) {
    out.begin_object();
    out.put("id", step.id);
    out.put("phase", step.phase);
    out.put("state", step.state);
    out.end_object();
  }
  out.end_array();
}

void write_conditions(json::Writer& out, const std::vector<Condition>& conditions) {
  out.begin_array("conditions");
  for (const Condition& condition : conditions) {
    out.begin_object();
    out.put("type", condition.type);
    out.put("status", condition.status ? "True" : "False");
    out.put("reason", condition.reason);
    out.put("message", condition.message);
    out.put("lastTransitionTime", rfc3339(condition.last_transition));
    out.end_object();
  }
  out.end_array();
}

void write_status(json::Writer& out, const Status& status) {
  out.begin_object("status");
  write_state(out, status);
  out.put("observedGeneration", static_cast<long>(status.observed_generation));
  out.begin_object("machines");
  out.put("all", status.machines);
  out.put("up", status.machines_up);
  out.end_object();
  write_stages(out, status.stages);
  write_proxies(out, status.proxies);
  write_steps(out, status.steps);
  write_conditions(out, status.conditions);
  out.end_object();
}

// Writes times as numbers for decode(), in addition to the RFC 3339 texts.
void write_times(json::Writer& out, const Release& release) {
  out.begin_object(field::milliseconds);
  out.put("created", milliseconds(release.created));
  out.put(field::deletion_requested, milliseconds(release.deletion_requested));
  out.put("since", milliseconds(release.status.since));
  out.begin_array("conditions");
  for (const Condition& condition : release.status.conditions)
    out.begin_object().put("at", milliseconds(condition.last_transition)).end_object();
  out.end_array();
  out.end_object();
}

void read_metadata(const json::Value& metadata, Release& release) {
  release.name = json::text(metadata, "name");
  release.uid = json::text(metadata, "uid");
  release.generation = read_integer(metadata, "generation");
  release.version = std::strtoll(json::text(metadata, "resourceVersion").c_str(), nullptr, 10);
  for (const auto& label : json::nested_object(metadata, "labels").GetObject())
    release.labels[label.name.GetString()] = label.value.GetString();
  for (const auto& finalizer : json::array(metadata, "finalizers").GetArray())
    release.finalizers.emplace_back(finalizer.GetString());
}

std::vector<Condition> read_conditions(const json::Value& status, const json::Value& times) {
  std::vector<Condition> conditions;
  const json::Value& transitions = json::array(times, "conditions");
  for (const auto& item : json::array(status, "conditions").GetArray()) {
    const auto index = static_cast<rapidjson::SizeType>(conditions.size());
    if (index >= transitions.Size())
      throw json::DecodeError("field ms.conditions has fewer entries than status.conditions");
    Condition condition;
    condition.type = json::text(item, "type");
    condition.reason = json::text(item, "reason");
    condition.message = json::text(item, "message");
    condition.status = json::text(item, "status") == "True";
    condition.last_transition = read_time(transitions[index], "at");
    conditions.push_back(std::move(condition));
  }
  return conditions;
}

Status read_status(const json::Value& object, const json::Value& times) {
  Status status;
  status.phase = decode_phase(object);
  status.stage = json::integer(object, "stage");
  status.cap = json::number(object, "cap");
  status.since = read_time(times, "since");
  status.held = json::boolean(object, "held");
  status.why = json::text(object, "why");
  status.observed_generation = read_integer(object, "observedGeneration");
  status.conditions = read_conditions(object, times);
  return status;
}

}  // namespace

const char* phase_name(const std::optional<ReleasePhase>& phase) {
  return phase ? rollout::api_name(*phase) : pending;
}

std::optional<ReleasePhase> decode_phase(const json::Value& status) {
  const auto named = [](ReleasePhase phase) {
    return std::pair<const char*, std::optional<ReleasePhase>>(rollout::api_name(phase), phase);
  };
  return json::enumerator<std::optional<ReleasePhase>>(status, "phase",
                                                       {{pending, std::nullopt},
                                                        named(ReleasePhase::canary),
                                                        named(ReleasePhase::rolling_back),
                                                        named(ReleasePhase::released),
                                                        named(ReleasePhase::rolled_back)});
}

std::string rfc3339(WallMillis time) {
  const long ms = milliseconds(time);
  if (ms <= 0)
    return "";
  const std::time_t seconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t size = std::strftime(text, sizeof text, "%FT%T.", &parts);
  const std::string fraction = std::to_string(1000 + ms % 1000);
  return std::string(text, size) + fraction.substr(1) + "Z";
}

std::string encode_brief(const Release& release) {
  json::Writer out;
  out.begin_object();
  out.put("kind", "Release");
  out.put("apiVersion", "v1");
  // Versions are left out because they increase with every change, including changes that are not
  // part of this view.
  out.begin_object("metadata").put("name", release.name).put("uid", release.uid).end_object();
  out.begin_object("spec").put("build", release.build).end_object();
  out.begin_object("status");
  write_state(out, release.status);
  out.end_object();
  out.end_object();
  return out.text();
}

std::string encode(const Release& release) {
  json::Writer out;
  out.begin_object();
  out.put("kind", "Release");
  out.put("apiVersion", "v1");
  write_metadata(out, release);
  out.begin_object("spec")
      .put("build", release.build)
      .put("description", release.description)
      .end_object();
  write_status(out, release.status);
  write_times(out, release);
  out.end_object();
  return out.text();
}

Release decode(const std::string& text) {
  const auto document = json::parse_object(text);
  const json::Value& spec = json::nested_object(document, "spec");
  const json::Value& times = json::nested_object(document, field::milliseconds);
  Release release;
  read_metadata(json::nested_object(document, "metadata"), release);
  release.created = read_time(times, "created");
  release.deletion_requested = read_time(times, field::deletion_requested);
  release.build = json::integer(spec, "build");
  release.description = json::text(spec, "description");
  release.status = read_status(json::nested_object(document, "status"), times);
  return release;
}

objects::SnapshotPtr make_snapshot(const Release& release) {
  auto snapshot = std::make_shared<objects::Snapshot>();
  snapshot->name = release.name;
  snapshot->version = release.version;
  snapshot->labels = release.labels;
  snapshot->fields = {{"metadata.name", release.name},
                      {"spec.build", std::to_string(release.build)},
                      {"status.phase", phase_name(release.status.phase)}};
  snapshot->full = encode(release);
  snapshot->brief = encode_brief(release);
  snapshot->since = release.status.since;
  return snapshot;
}

}  // namespace robinhoist::releases
