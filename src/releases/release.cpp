#include "releases/release.h"

#include <algorithm>
#include <ctime>

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::releases {
namespace {

constexpr int deepest = 32, most_labels = 64, most_build = 65535;
constexpr std::size_t longest_description = 4096;

std::string token(std::string_view name) {
  std::string out;
  for (char c : name)
    out += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  return out;
}

int depth_of(const json::Value& value, int left) {
  if (left == 0)
    return 1;
  int most = 0;
  if (value.IsObject())
    for (auto& member : value.GetObject())
      most = std::max(most, depth_of(member.value, left - 1));
  if (value.IsArray())
    for (auto& item : value.GetArray())
      most = std::max(most, depth_of(item, left - 1));
  return most + 1;
}

std::string name_of(const json::Value& member) {
  return {member.GetString(), member.GetStringLength()};
}

class Checks {
 public:
  explicit Checks(std::vector<Problem>& problems) : problems_(problems) {}
  void wrong(std::string pointer, std::string detail) {
    problems_.push_back({std::move(pointer), std::move(detail)});
  }
  // Null when absent; a problem when it is of another type.
  const json::Value* object(const json::Value& of, const char* field, const std::string& at) {
    auto found = of.FindMember(field);
    if (found == of.MemberEnd())
      return nullptr;
    if (found->value.IsObject())
      return &found->value;
    wrong(at + "/" + field, "is not an object");
    return nullptr;
  }
  void only(const json::Value& of, const std::string& at,
            std::initializer_list<const char*> known) {
    std::vector<std::string> seen;
    for (auto& member : of.GetObject()) {
      const std::string name = name_of(member.name);
      if (std::find(known.begin(), known.end(), name) == known.end())
        wrong(at + "/" + token(name), "is no field here");
      if (std::find(seen.begin(), seen.end(), name) != seen.end())
        wrong(at + "/" + token(name), "is there twice");
      seen.push_back(name);
    }
  }
  bool text(const json::Value& value, const std::string& at, std::size_t longest, std::string& to) {
    if (!value.IsString())
      return wrong(at, "is not a string"), false;
    if (value.GetStringLength() > longest)
      return wrong(at, "is longer than " + std::to_string(longest) + " bytes"), false;
    to.assign(value.GetString(), value.GetStringLength());
    return true;
  }
  void labels(const json::Value& value, objects::Fields& to, bool merge) {
    const std::string at = "/metadata/labels";
    if (!value.IsObject())
      return wrong(at, "is not an object");
    if (!merge)
      to.clear();
    for (auto& member : value.GetObject()) {
      const std::string name = name_of(member.name), here = at + "/" + token(name);
      if (!objects::label_name(name))
        wrong(here, "is no name that a label can have");
      else if (merge && member.value.IsNull())
        to.erase(name);
      else if (!member.value.IsString())
        wrong(here, "is not a string");
      else if (!objects::label_value(member.value.GetString()))
        wrong(here, "is no value that a label can have");
      else
        to[name] = member.value.GetString();
    }
    if (to.size() > most_labels)
      wrong(at, "has more than " + std::to_string(most_labels) + " labels");
  }

 private:
  std::vector<Problem>& problems_;
};

void put_metadata(json::Writer& out, const Release& release) {
  out.begin_object("metadata").put("name", release.name).put("uid", release.uid);
  out.put("generation", static_cast<long>(release.generation));
  out.put("resourceVersion", std::to_string(release.version));
  out.put("creationTimestamp", rfc3339(release.created_ms));
  if (release.deleting_ms > 0)
    out.put("deletionTimestamp", rfc3339(release.deleting_ms));
  out.begin_object("labels");
  for (auto& [name, value] : release.labels)
    out.put(name.c_str(), value);
  out.end_object().begin_array("finalizers");
  for (const std::string& one : release.finalizers)
    out.put(nullptr, one);
  out.end_array().end_object();
}

void put_state(json::Writer& out, const Status& status) {
  out.put("phase", status.phase).put("stage", status.stage).put("cap", status.cap);
  out.put("since", rfc3339(status.since_ms)).put("held", status.held).put("why", status.why);
}

std::int64_t ms_of(const json::Value& object, const char* field) {
  return static_cast<std::int64_t>(json::number_or(object, field, 0));
}

}  // namespace

void Status::condition(const std::string& type, bool on, const std::string& reason,
                       const std::string& message, std::int64_t now_ms) {
  auto at =
      std::find_if(conditions.begin(), conditions.end(), [&](auto& c) { return c.type == type; });
  if (at == conditions.end())
    at = conditions.insert(at, Condition{.type = type, .at_ms = now_ms});
  else if (at->status != on)
    at->at_ms = now_ms;
  at->status = on;
  at->reason = reason;
  at->message = message;
}

std::string rfc3339(std::int64_t ms) {
  if (ms <= 0)
    return "";
  const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t size = std::strftime(text, sizeof text, "%FT%T.", &parts);
  const std::string fraction = std::to_string(1000 + ms % 1000);
  return std::string(text, size) + fraction.substr(1) + "Z";
}

rapidjson::Document strict(std::string_view text) {
  rapidjson::Document document = json::parse_object(text);
  // Guards against documents that are only deep, and against whoever walks them by recursion.
  if (depth_of(document, deepest + 1) > deepest)
    throw json::DecodeError("nested deeper than " + std::to_string(deepest));
  return document;
}

std::optional<Release> created(const json::Value& body, std::vector<Problem>& problems) {
  Checks checks(problems);
  Release release;
  checks.only(body, "", {"metadata", "spec", "apiVersion", "kind"});
  if (const json::Value* metadata = checks.object(body, "metadata", "")) {
    checks.only(*metadata, "/metadata", {"name", "labels"});
    if (auto at = metadata->FindMember("name"); at != metadata->MemberEnd()) {
      if (checks.text(at->value, "/metadata/name", 63, release.name) &&
          !objects::object_name(release.name))
        checks.wrong("/metadata/name",
                     "is not made of a-z, 0-9 and dashes, with no dash at either end");
    }
    if (auto at = metadata->FindMember("labels"); at != metadata->MemberEnd())
      checks.labels(at->value, release.labels, false);
  }
  const json::Value* spec = checks.object(body, "spec", "");
  if (!spec) {
    if (!body.HasMember("spec"))
      checks.wrong("/spec", "is missing");
    return {};
  }
  checks.only(*spec, "/spec", {"build", "description"});
  auto build = spec->FindMember("build");
  if (build == spec->MemberEnd())
    checks.wrong("/spec/build", "is missing");
  else if (!build->value.IsInt() || build->value.GetInt() < 1 || build->value.GetInt() > most_build)
    checks.wrong("/spec/build", "is not a whole number from 1 to " + std::to_string(most_build));
  else
    release.build = build->value.GetInt();
  if (auto at = spec->FindMember("description"); at != spec->MemberEnd())
    checks.text(at->value, "/spec/description", longest_description, release.description);
  if (!problems.empty())
    return {};
  if (release.name.empty())
    release.name = "build-" + std::to_string(release.build);
  return release;
}

std::optional<Release> patched(const Release& from, const json::Value& patch,
                               std::optional<std::int64_t>& version,
                               std::vector<Problem>& problems) {
  Checks checks(problems);
  Release to = from;
  const auto fixed = [&](const json::Value& of, const char* field, const std::string& at,
                         const std::string& is) {
    auto found = of.FindMember(field);
    if (found == of.MemberEnd())
      return;
    const bool same = found->value.IsString()
                          ? is == found->value.GetString()
                          : found->value.IsInt64() && is == std::to_string(found->value.GetInt64());
    if (!same)
      checks.wrong(at + "/" + field, "can't be changed");
  };
  checks.only(patch, "", {"metadata", "spec", "apiVersion", "kind"});
  if (const json::Value* metadata = checks.object(patch, "metadata", "")) {
    checks.only(*metadata, "/metadata", {"name", "uid", "labels", "resourceVersion"});
    fixed(*metadata, "name", "/metadata", from.name);
    fixed(*metadata, "uid", "/metadata", from.uid);
    if (auto at = metadata->FindMember("resourceVersion"); at != metadata->MemberEnd()) {
      std::string text;
      if (checks.text(at->value, "/metadata/resourceVersion", 20, text)) {
        char* end = nullptr;
        version = std::strtoll(text.c_str(), &end, 10);
        if (text.empty() || *end)
          checks.wrong("/metadata/resourceVersion", "is no version");
      }
    }
    if (auto at = metadata->FindMember("labels"); at != metadata->MemberEnd()) {
      if (at->value.IsNull())
        to.labels.clear();
      else
        checks.labels(at->value, to.labels, true);
    }
  }
  if (const json::Value* spec = checks.object(patch, "spec", "")) {
    checks.only(*spec, "/spec", {"build", "description"});
    fixed(*spec, "build", "/spec", std::to_string(from.build));
    if (auto at = spec->FindMember("description"); at != spec->MemberEnd()) {
      if (at->value.IsNull())
        to.description.clear();
      else
        checks.text(at->value, "/spec/description", longest_description, to.description);
    }
  }
  if (!problems.empty())
    return {};
  to.generation += to.description != from.description;
  return to;
}

std::string encoded_brief(const Release& release) {
  json::Writer out;
  out.begin_object().put("kind", "Release").put("apiVersion", "v1").begin_object("metadata");
  // Without versions: they grow with each change, also with one that this part does not show.
  out.put("name", release.name).put("uid", release.uid).end_object();
  out.begin_object("spec").put("build", release.build).end_object().begin_object("status");
  put_state(out, release.status);
  return out.end_object().end_object().text();
}

std::string encoded(const Release& release) {
  const Status& status = release.status;
  json::Writer out;
  out.begin_object().put("kind", "Release").put("apiVersion", "v1");
  put_metadata(out, release);
  out.begin_object("spec")
      .put("build", release.build)
      .put("description", release.description)
      .end_object();
  out.begin_object("status");
  put_state(out, status);
  out.put("observedGeneration", static_cast<long>(status.observed_generation));
  out.begin_object("machines")
      .put("all", status.machines)
      .put("up", status.machines_up)
      .end_object();
  out.begin_array("waves");
  for (const Stage& stage : status.stages)
    out.begin_object()
        .put("share", stage.share)
        .put("cap", stage.cap)
        .put("state", stage.state)
        .end_object();
  out.end_array().begin_array("umpires");
  for (const ProxyReport& one : status.proxies) {
    out.begin_object().put("name", one.proxy).put("vote", one.vote);
    if (one.cap) {
      out.put("acknowledgedCap", *one.cap).put("stage", one.stage);
      out.put("acknowledgedAt", rfc3339(one.at_ms));
    }
    out.end_object();
  }
  out.end_array().begin_array("steps");
  for (const StepSeen& one : status.steps)
    out.begin_object()
        .put("id", one.id)
        .put("phase", one.phase)
        .put("state", one.state)
        .end_object();
  out.end_array().begin_array("conditions");
  for (const Condition& one : status.conditions)
    out.begin_object()
        .put("type", one.type)
        .put("status", one.status ? "True" : "False")
        .put("reason", one.reason)
        .put("message", one.message)
        .put("lastTransitionTime", rfc3339(one.at_ms))
        .end_object();
  out.end_array().end_object();
  // For the program itself: times as numbers, which the RFC 3339 texts repeat.
  out.begin_object("ms").put("created", static_cast<long>(release.created_ms));
  out.put("deleting", static_cast<long>(release.deleting_ms));
  out.put("since", static_cast<long>(status.since_ms)).begin_array("conditions");
  for (const Condition& one : status.conditions)
    out.begin_object().put("at", static_cast<long>(one.at_ms)).end_object();
  out.end_array().end_object();
  return out.end_object().text();
}

Release decoded(const std::string& text) {
  const auto document = json::parse_object(text);
  Release release;
  const json::Value &metadata = json::nested_object(document, "metadata"),
                    &spec = json::nested_object(document, "spec"),
                    &status = json::nested_object(document, "status"),
                    &ms = json::nested_object(document, "ms");
  release.name = json::text(metadata, "name");
  release.uid = json::text(metadata, "uid");
  release.generation = ms_of(metadata, "generation");
  release.version = std::strtoll(json::text(metadata, "resourceVersion").c_str(), nullptr, 10);
  for (auto& label : json::nested_object(metadata, "labels").GetObject())
    release.labels[label.name.GetString()] = label.value.GetString();
  for (auto& one : json::array(metadata, "finalizers").GetArray())
    release.finalizers.push_back(one.GetString());
  release.created_ms = ms_of(ms, "created");
  release.deleting_ms = ms_of(ms, "deleting");
  release.build = json::integer(spec, "build");
  release.description = json::text(spec, "description");
  Status& to = release.status;
  to.phase = json::text(status, "phase");
  to.stage = json::integer(status, "stage");
  to.cap = json::number(status, "cap");
  to.since_ms = ms_of(ms, "since");
  to.held = json::boolean(status, "held");
  to.why = json::text(status, "why");
  to.observed_generation = ms_of(status, "observedGeneration");
  const json::Value& turned = json::array(ms, "conditions");
  for (auto& one : json::array(status, "conditions").GetArray()) {
    const rapidjson::SizeType at = static_cast<rapidjson::SizeType>(to.conditions.size());
    if (at >= turned.Size())
      throw json::DecodeError("field ms.conditions is too short");
    to.conditions.push_back({json::text(one, "type"), json::text(one, "reason"),
                             json::text(one, "message"), json::text(one, "status") == "True",
                             ms_of(turned[at], "at")});
  }
  return release;
}

objects::SnapshotPtr snapshot(const Release& release) {
  auto made = std::make_shared<objects::Snapshot>();
  made->name = release.name;
  made->version = release.version;
  made->labels = release.labels;
  made->fields = {{"metadata.name", release.name},
                  {"spec.build", std::to_string(release.build)},
                  {"status.phase", release.status.phase}};
  made->full = encoded(release);
  made->brief = encoded_brief(release);
  made->since_ms = release.status.since_ms;
  return made;
}

}  // namespace robinhoist::releases
