#include "json/fields.h"
#include "registry/registry.h"

namespace robinhoist::registry {
namespace {

// Names on the wire that differ from the terms used here.
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

void put_endpoint(json::Out& out, const Endpoint& entry) {
  out.open();
  out.put("name", entry.name);
  out.put("address", entry.address);
  out.put("zone", entry.zone);
  out.put("cell", entry.cell);
  out.put("build", entry.build);
  out.put("size", entry.size);
  out.put("phase", wire_name(entry.phase));
  out.put_ms("started_ms", entry.started.time_since_epoch());
  out.close();
}

Endpoint read_endpoint(const json::Json& object) {
  Endpoint entry;
  entry.name = json::text(object, "name");
  entry.address = json::text(object, "address");
  entry.zone = json::text(object, "zone");
  entry.cell = json::whole(object, "cell");
  entry.build = json::whole(object, "build", 0, max_build);
  entry.size = json::number(object, "size");
  if (!(entry.size > 0))
    json::mistyped("size", "above 0");
  entry.phase = json::enumerator<EndpointPhase>(object, "phase",
                                                {{ready_name, EndpointPhase::ready},
                                                 {draining_name, EndpointPhase::draining},
                                                 {removed_name, EndpointPhase::removed}});
  entry.started = WallTime(json::duration_of(object, "started_ms"));
  return entry;
}

}  // namespace

std::string encode(const Update& update) {
  json::Out out;
  out.open();
  out.put("series", update.series);
  out.put("version", static_cast<long>(update.version));
  out.put(complete_field, update.complete);
  out.open_list(endpoints_field);
  for (const Endpoint& entry : update.entries)
    put_endpoint(out, entry);
  out.close_list();
  out.close();
  return out.text();
}

Update decode(const std::string& text) {
  const auto document = json::object_of(text);
  Update update;
  update.series = json::text(document, "series");
  update.version = static_cast<std::int64_t>(json::number(document, "version"));
  update.complete = json::truth(document, complete_field);
  for (const json::Json& endpoint : json::array(document, endpoints_field).GetArray()) {
    if (!endpoint.IsObject())
      json::mistyped(endpoints_field, "an array of objects");
    update.entries.push_back(read_endpoint(endpoint));
  }
  return update;
}

std::vector<Endpoint> decode_endpoints(const std::string& text) {
  return decode(R"({"series":"","version":0,"whole":false,"nodes":[)" + text + "]}").entries;
}

}  // namespace robinhoist::registry
