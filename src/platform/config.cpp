#include "platform/config.h"

#include <Poco/Net/SocketAddress.h>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <utility>

#include "platform/wire_names.h"

namespace robinhoist::platform {
namespace {

using json::DecodeError;
using json::Value;

constexpr int max_build = 65535;
constexpr int min_sockets = 64;
constexpr std::size_t max_name_bytes = 256;
constexpr double max_version = 9e15;  // a double represents every integer up to this value exactly

bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  try {
    const Poco::Net::SocketAddress checked(text);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

std::string address(const Value& object, const char* field) {
  std::string text = json::text(object, field);
  if (!is_address(text))
    throw DecodeError(std::string("field ") + field + " holds '" + text +
                      "', which is not a host:port");
  return text;
}

unsigned decode_seed(const Value& object) {
  const std::string digits = json::text(object, "seed");
  const char* digits_end = digits.data() + digits.size();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits_end, seed, 16);
  if (digits.empty() || error != std::errc{} || end != digits_end)
    throw DecodeError("field seed holds '" + digits +
                      "', which is not a hexadecimal number of 64 bits");
  return static_cast<unsigned>(seed ^ (seed >> 32));
}

// Decodes a nested object and prefixes its errors with the name of the field.
template <class Decode>
auto decode_inner(const Value& object, const char* field, Decode decode) {
  try {
    return decode(json::nested_object(object, field));
  } catch (const DecodeError& error) {
    throw DecodeError(std::string(field) + ": " + error.what());
  }
}

Limits decode_limits(const Value& object) {
  Limits limits;
  limits.cores = json::number(object, "cores");
  limits.memory_mb = json::number(object, "memory_mb");
  limits.sockets = json::integer(object, "sockets", min_sockets);
  if (!(limits.cores > 0))
    json::throw_wrong_type("cores", "a number above 0");
  if (!(limits.memory_mb > 0))
    json::throw_wrong_type("memory_mb", "a number above 0");
  return limits;
}

std::int64_t decode_version(const Value& object) {
  const double version = json::number(object, wire_names::list_version);
  if (!(version >= 0) || version > max_version || version != std::floor(version))
    json::throw_wrong_type(wire_names::list_version, "a whole number from 0");
  return static_cast<std::int64_t>(version);
}

// Names are kept for as long as their endpoint is listed.
std::string checked_name(const char* field, std::string name) {
  if (name.size() > max_name_bytes)
    json::throw_wrong_type(field, "a name of at most 256 bytes");
  return name;
}

registry::Endpoint decode_endpoint(const Value& object) {
  registry::Endpoint endpoint;
  endpoint.name =
      checked_name(wire_names::endpoint_name, json::text(object, wire_names::endpoint_name));
  endpoint.address =
      checked_name(wire_names::endpoint_address, json::text(object, wire_names::endpoint_address));
  endpoint.zone =
      checked_name(wire_names::endpoint_zone, json::text_or(object, wire_names::endpoint_zone, ""));
  endpoint.cell = static_cast<int>(json::number_or(object, wire_names::endpoint_cell, 0));
  endpoint.build = json::integer(object, wire_names::endpoint_build, 0, max_build);
  endpoint.phase = json::enumerator<EndpointPhase>(object, wire_names::endpoint_phase,
                                                   wire_names::endpoint_phases);
  endpoint.size = json::number_or(object, wire_names::endpoint_size, 1);
  const double started_ms = json::number_or(object, wire_names::endpoint_started_ms, 0);
  endpoint.started = WallTime(json::duration_from_ms(started_ms));
  return endpoint;
}

}  // namespace

registry::Update decode_endpoints(const Value& object) {
  registry::Update update;
  update.version = decode_version(object);
  update.complete = json::boolean(object, wire_names::list_complete);
  for (const Value& entry : json::array(object, wire_names::list_entries).GetArray()) {
    if (!entry.IsObject())
      json::throw_wrong_type(wire_names::list_entries, "an array of objects");
    update.entries.push_back(decode_endpoint(entry));
  }
  return update;
}

ReleaseUpdate decode_release(const Value& object) {
  ReleaseUpdate release{};
  release.build = json::integer(object, wire_names::release_build, 0, max_build);
  release.stage = json::integer(object, wire_names::release_stage);
  release.phase =
      json::enumerator<ReleasePhase>(object, wire_names::release_phase, wire_names::release_phases);
  release.cap = json::number(object, wire_names::release_cap);
  if (!(release.cap >= 0))
    json::throw_wrong_type(wire_names::release_cap, "a number from 0");
  release.since = json::duration(object, wire_names::age_ms);
  return release;
}

Config decode_config(std::string_view text) {
  const rapidjson::Document object = json::parse_object(text);
  Config config;
  config.name = json::text(object, "name");
  config.listen = address(object, "listen");
  config.discovery = address(object, "discovery");
  config.seed = decode_seed(object);
  config.limits = decode_inner(object, "limits", decode_limits);
  decode_inner(object, "release_api", [&config](const Value& api) {
    config.release_api = address(api, "address");
    config.known_release = decode_release(json::nested_object(api, "news"));
  });
  config.known_endpoints = decode_inner(object, "known", decode_endpoints);
  config.module_settings = decode_inner(object, "settings", module_settings::decode);
  return config;
}

Config read_config(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  std::ostringstream content;
  if (!input || !(content << input.rdbuf()))
    throw DecodeError(file + ": cannot be read, or is empty");
  try {
    return decode_config(content.str());
  } catch (const DecodeError& error) {
    throw DecodeError(file + ": " + error.what());
  }
}

}  // namespace robinhoist::platform
