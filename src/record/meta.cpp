#include "record/meta.h"

#include <fstream>
#include <sstream>

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::record {
namespace {
const std::pair<const char*, Idempotency> idempotency_names[] = {
    {"inquiry", Idempotency::idempotent},
    {"referenced", Idempotency::idempotent_with_key},
    {"once-only", Idempotency::non_idempotent}};
const std::pair<const char*, DedupScope> dedup_scope_names[] = {
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};
}  // namespace

void write(const std::string& file, const Meta& meta) {
  json::Writer out;
  out.begin_object()
      .put("version", 1)
      .put("seed", meta.seed)
      .put("umpires", meta.proxies)
      .put("nodes", meta.endpoints);
  for (auto& [name, duration] : std::initializer_list<std::pair<const char*, Duration>>{
           {"length_ms", meta.length},
           {"drain_grace_ms", meta.drain_grace},
           {"window_ms", meta.quota_window},
           {"fall_window_ms", meta.collapse_window},
           {"cold_for_ms", meta.warm_up_time},
           {"answer_slack_ms", meta.answer_slack}})
    out.put_ms(name, duration);
  out.put("free", meta.uncapped_attempts)
      .put("fall_multiple", meta.collapse_multiple)
      .put("cold_from", meta.initial_warm_up_factor);
  out.put("by_product", meta.by_request_class)
      .put("safe_only_stages", meta.idempotent_only_stages)
      .begin_array("caps");
  for (double cap : meta.caps)
    out.put(nullptr, cap);
  out.end_array().begin_array("steps");
  for (auto& step : meta.steps)
    out.put(nullptr, step);
  out.end_array().begin_array("tenants");
  for (auto& tenant : meta.tenants)
    out.put(nullptr, tenant);
  out.end_array().begin_array("products");
  for (auto& request_class : meta.request_classes)
    out.begin_object()
        .put("name", request_class.name)
        .put_ms("sla_ms", request_class.latency_objective)
        .put_ms("expiry_ms", request_class.deadline)
        .put_ms("memory_ms", request_class.dedup_window)
        .put("effect", idempotency_names[static_cast<int>(request_class.idempotency)].first)
        .put("group", dedup_scope_names[static_cast<int>(request_class.dedup_scope)].first)
        .put("revenue", request_class.priority_weight)
        .end_object();
  out.end_array().end_object();
  std::ofstream to(file);
  if (!(to << out.text() << "\n"))
    throw std::runtime_error("can't write " + file);
}

Meta read_meta(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw json::DecodeError(file + ": can't be read");
  try {
    auto document = json::parse_object(text.str());
    if (json::integer(document, "version") != 1)
      throw json::DecodeError("unsupported version");
    Meta meta;
    meta.seed = static_cast<long>(json::number(document, "seed"));
    meta.proxies = json::integer(document, "umpires");
    meta.endpoints = json::integer(document, "nodes");
    meta.length = json::duration(document, "length_ms");
    meta.drain_grace = json::duration(document, "drain_grace_ms");
    meta.quota_window = json::duration(document, "window_ms");
    meta.collapse_window = json::duration(document, "fall_window_ms");
    meta.warm_up_time = json::duration(document, "cold_for_ms");
    meta.answer_slack = json::duration(document, "answer_slack_ms");
    meta.uncapped_attempts = json::number(document, "free");
    meta.collapse_multiple = json::number(document, "fall_multiple");
    meta.initial_warm_up_factor = json::number(document, "cold_from");
    meta.by_request_class = json::boolean(document, "by_product");
    meta.idempotent_only_stages = json::integer(document, "safe_only_stages");
    for (auto& cap : json::array(document, "caps").GetArray())
      meta.caps.push_back(cap.GetDouble());
    for (auto& step : json::array(document, "steps").GetArray())
      meta.steps.emplace_back(step.GetString());
    for (auto& tenant : json::array(document, "tenants").GetArray())
      meta.tenants.emplace_back(tenant.GetString());
    for (auto& each : json::array(document, "products").GetArray()) {
      Meta::RequestClass request_class;
      request_class.name = json::text(each, "name");
      request_class.latency_objective = json::duration(each, "sla_ms");
      request_class.deadline = json::duration(each, "expiry_ms");
      request_class.dedup_window = json::duration(each, "memory_ms");
      request_class.idempotency = json::enumerator<Idempotency>(
          each, "effect", {idempotency_names[0], idempotency_names[1], idempotency_names[2]});
      request_class.dedup_scope = json::enumerator<DedupScope>(
          each, "group", {dedup_scope_names[0], dedup_scope_names[1], dedup_scope_names[2]});
      request_class.priority_weight = json::number(each, "revenue");
      meta.request_classes.push_back(request_class);
    }
    return meta;
  } catch (const json::DecodeError& error) {
    throw json::DecodeError(file + ": " + error.what());
  }
}

}  // namespace robinhoist::record
