#include "json/reader.h"
#include "json/writer.h"
#include "registry/registry.h"

namespace robinhoist::registry {
namespace {

// Names in the JSON format that differ from the terms used in the code.
constexpr const char* complete_field = "whole";
constexpr const char* endpoints_field = "nodes";
constexpr const char* ready_name = "in";
constexpr const char* draining_name = "lame";
constexpr const char* removed_name = "out";

constexpr int max_build = 65535;

const char* wire_name(EndpointPhase phase) {
  switch (phase) {
    case EndpointPhase::ready:
      return ready_name;
    case EndpointPhase::draining:
      return draining_name;
    case EndpointPhase::removed:
      break;
  }
  return removed_name;
}

void put_endpoint(json::Writer& out, const Endpoint& entry) {
  out.begin_object();
  out.put("name", entry.name);
  out.put("address", entry.address);
  out.put("zone", entry.zone);
  out.put("cell", entry.cell);
  out.put("build", entry.build);
  out.put("size", entry.size);
  out.put("phase", wire_name(entry.phase));
  out.put_ms("started_ms", entry.started.time_since_epoch());
  out.end_object();
}

Endpoint read_endpoint(const json::Value& object) {
  Endpoint entry;
  entry.name = json::text(object, "name");
  entry.address = json::text(object, "address");
  entry.zone = json::text(object, "zone");
  entry.cell = json::integer(object, "cell");
  entry.build = json::integer(object, "build", 0, max_build);
  entry.size = json::number(object, "size");
  if (!(entry.size > 0))
    json::throw_wrong_type("size", "above 0");
  entry.phase = json::enumerator<EndpointPhase>(object, "phase",
                                                {{ready_name, EndpointPhase::ready},
                                                 {draining_name, EndpointPhase::draining},
                                                 {removed_name, EndpointPhase::removed}});
  entry.started = WallTime(json::duration(object, "started_ms"));
  return entry;
}

}  // namespace

std::string encode(const Update& update) {
  json::Writer out;
  out.begin_object();
  out.put("series", update.series);
  out.put("version", static_cast<long>(update.version));
  out.put(complete_field, update.complete);
  out.begin_array(endpoints_field);
  for (const Endpoint& entry : update.entries)
    put_endpoint(out, entry);
  out.end_array();
  out.end_object();
  return out.text();
}

Update decode(const std::string& text) {
  const auto document = json::parse_object(text);
  Update update;
  update.series = json::text(document, "series");
  update.version = static_cast<std::int64_t>(json::number(document, "version"));
  update.complete = json::boolean(document, complete_field);
  for (const json::Value& endpoint : json::array(document, endpoints_field).GetArray()) {
    if (!endpoint.IsObject())
      json::throw_wrong_type(endpoints_field, "an array of objects");
    update.entries.push_back(read_endpoint(endpoint));
  }
  return update;
}

std::vector<Endpoint> decode_endpoints(const std::string& text) {
  return decode(R"({"series":"","version":0,"whole":false,"nodes":[)" + text + "]}").entries;
}

}  // namespace robinhoist::registry
