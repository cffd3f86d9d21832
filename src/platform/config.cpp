#include "platform/config.h"

#include <Poco/Net/SocketAddress.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace robinhoist::platform {
namespace {

using namespace json;

std::string address(const Value& object, const char* field) {
  const std::string given = text(object, field);
  try {
    if (given.rfind(':') != std::string::npos && given.rfind(':') > 0) {
      Poco::Net::SocketAddress checked(given);
      return given;
    }
  } catch (const Poco::Exception&) {
    // Told below, like one without a port.
  }
  throw DecodeError(std::string("field ") + field + " holds '" + given +
                    "', which is not a host:port");
}

unsigned salt_of(const Value& object) {
  const std::string digits = text(object, "seed");
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
  if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
    throw DecodeError("field seed holds '" + digits +
                      "', which is not a hexadecimal number of 64 bits");
  return static_cast<unsigned>(seed ^ (seed >> 32));
}

template <class F>
auto within(const char* field, F read) {
  try {
    return read();
  } catch (const DecodeError& bad) {
    throw DecodeError(std::string(field) + ": " + bad.what());
  }
}

}  // namespace

registry::Update endpoints_of(const Value& object) {
  registry::Update news;
  const double revision = number(object, "revision");
  if (!(revision >= 0) || revision > 9e15 || revision != std::floor(revision))
    throw_wrong_type("revision", "a whole number from 0");
  news.version = static_cast<std::int64_t>(revision);
  news.whole = boolean(object, "complete");
  for (const Value& member : array(object, "members").GetArray()) {
    if (!member.IsObject())
      throw_wrong_type("members", "an array of objects");
    registry::Endpoint entry;
    entry.name = text(member, "id");
    entry.address = text(member, "host_port");
    entry.zone = text_or(member, "locality", "");
    entry.cell = static_cast<int>(number_or(member, "cell", 0));
    entry.build = integer(member, "build", 0, 65535);
    entry.phase = enumerator<EndpointPhase>(member, "phase",
                                            {{"ready", EndpointPhase::ready},
                                             {"draining", EndpointPhase::draining},
                                             {"gone", EndpointPhase::removed}});
    entry.size = number_or(member, "size", 1);
    entry.started = WallTime(duration_from_ms(number_or(member, "up_since_ms", 0)));
    news.entries.push_back(std::move(entry));
  }
  return news;
}

ReleaseUpdate release_update_of(const Value& object) {
  ReleaseUpdate release{};
  release.build = integer(object, "Revision", 0, 65535);
  release.stage = integer(object, "Wave");
  release.phase = enumerator<ReleasePhase>(object, "State",
                                           {{"IN_PROGRESS", ReleasePhase::canary},
                                            {"ROLLING_BACK", ReleasePhase::rolling_back},
                                            {"COMPLETE", ReleasePhase::released},
                                            {"ROLLED_BACK", ReleasePhase::rolled_back}});
  release.cap = number(object, "MaxShare");
  if (!(release.cap >= 0))
    throw_wrong_type("MaxShare", "a number from 0");
  release.since = duration(object, "AgeMs");
  return release;
}

Config decoded(std::string_view text_of_file) {
  const rapidjson::Document object = parse_object(text_of_file);
  Config to;
  to.name = text(object, "name");
  to.listen = address(object, "listen");
  to.discovery = address(object, "discovery");
  to.salt = salt_of(object);
  within("limits", [&] {
    const Value& limits = nested_object(object, "limits");
    to.limits.cores = number(limits, "cores");
    to.limits.memory_mb = number(limits, "memory_mb");
    to.limits.sockets = integer(limits, "sockets", 64);
    if (!(to.limits.cores > 0))
      throw_wrong_type("cores", "a number above 0");
    if (!(to.limits.memory_mb > 0))
      throw_wrong_type("memory_mb", "a number above 0");
  });
  within("release_api", [&] {
    const Value& api = nested_object(object, "release_api");
    to.release_api = address(api, "address");
    to.news = release_update_of(nested_object(api, "news"));
  });
  within("known", [&] { to.known = endpoints_of(nested_object(object, "known")); });
  within("settings",
         [&] { to.module_settings = module_settings::decode(nested_object(object, "settings")); });
  return to;
}

Config of_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream content;
  if (!in || !(content << in.rdbuf()))
    throw DecodeError(file + ": can't be read, or is empty");
  try {
    return decoded(content.str());
  } catch (const DecodeError& bad) {
    throw DecodeError(file + ": " + bad.what());
  }
}

}  // namespace robinhoist::platform
