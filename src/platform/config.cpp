#include "platform/config.h"

#include <Poco/Net/SocketAddress.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace robinhoist::platform {
namespace {

using namespace json;

std::string address(const Json& object, const char* field) {
  const std::string given = text(object, field);
  try {
    if (given.rfind(':') != std::string::npos && given.rfind(':') > 0) {
      Poco::Net::SocketAddress checked(given);
      return given;
    }
  } catch (const Poco::Exception&) {
    // Told below, like one without a port.
  }
  throw BadInput(std::string("field ") + field + " holds '" + given +
                 "', which is not a host:port");
}

unsigned salt_of(const Json& object) {
  const std::string digits = text(object, "seed");
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
  if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
    throw BadInput("field seed holds '" + digits +
                   "', which is not a hexadecimal number of 64 bits");
  return static_cast<unsigned>(seed ^ (seed >> 32));
}

template <class F>
auto within(const char* field, F read) {
  try {
    return read();
  } catch (const BadInput& bad) {
    throw BadInput(std::string(field) + ": " + bad.what());
  }
}

}  // namespace

registry::Update endpoints_of(const Json& object) {
  registry::Update news;
  const double revision = number(object, "revision");
  if (!(revision >= 0) || revision > 9e15 || revision != std::floor(revision))
    mistyped("revision", "a whole number from 0");
  news.version = static_cast<std::int64_t>(revision);
  news.whole = truth(object, "complete");
  for (const Json& member : array(object, "members").GetArray()) {
    if (!member.IsObject())
      mistyped("members", "an array of objects");
    registry::Endpoint entry;
    entry.name = text(member, "id");
    entry.address = text(member, "host_port");
    entry.zone = text_or(member, "locality", "");
    entry.cell = static_cast<int>(number_or(member, "cell", 0));
    entry.build = whole(member, "build", 0, 65535);
    entry.phase = enumerator<EndpointPhase>(member, "phase",
                                            {{"ready", EndpointPhase::ready},
                                             {"draining", EndpointPhase::draining},
                                             {"gone", EndpointPhase::removed}});
    entry.size = number_or(member, "size", 1);
    entry.started = WallTime(span(number_or(member, "up_since_ms", 0)));
    news.entries.push_back(std::move(entry));
  }
  return news;
}

ReleaseUpdate release_update_of(const Json& object) {
  ReleaseUpdate release{};
  release.build = whole(object, "Revision", 0, 65535);
  release.stage = whole(object, "Wave");
  release.phase = enumerator<ReleasePhase>(object, "State",
                                           {{"IN_PROGRESS", ReleasePhase::canary},
                                            {"ROLLING_BACK", ReleasePhase::rolling_back},
                                            {"COMPLETE", ReleasePhase::released},
                                            {"ROLLED_BACK", ReleasePhase::rolled_back}});
  release.cap = number(object, "MaxShare");
  if (!(release.cap >= 0))
    mistyped("MaxShare", "a number from 0");
  release.since = duration_of(object, "AgeMs");
  return release;
}

Config decoded(std::string_view text_of_file) {
  const rapidjson::Document object = object_of(text_of_file);
  Config to;
  to.name = text(object, "name");
  to.listen = address(object, "listen");
  to.discovery = address(object, "discovery");
  to.salt = salt_of(object);
  within("limits", [&] {
    const Json& limits = inner(object, "limits");
    to.limits.cores = number(limits, "cores");
    to.limits.memory_mb = number(limits, "memory_mb");
    to.limits.sockets = whole(limits, "sockets", 64);
    if (!(to.limits.cores > 0))
      mistyped("cores", "a number above 0");
    if (!(to.limits.memory_mb > 0))
      mistyped("memory_mb", "a number above 0");
  });
  within("release_api", [&] {
    const Json& api = inner(object, "release_api");
    to.release_api = address(api, "address");
    to.news = release_update_of(inner(api, "news"));
  });
  within("known", [&] { to.known = endpoints_of(inner(object, "known")); });
  within("settings",
         [&] { to.module_settings = module_settings::decode(inner(object, "settings")); });
  return to;
}

Config of_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream content;
  if (!in || !(content << in.rdbuf()))
    throw BadInput(file + ": can't be read, or is empty");
  try {
    return decoded(content.str());
  } catch (const BadInput& bad) {
    throw BadInput(file + ": " + bad.what());
  }
}

}  // namespace robinhoist::platform
