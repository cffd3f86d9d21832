#include "releases/follower.h"

#include <algorithm>

#include "json/reader.h"

namespace robinhoist::releases {
namespace {

std::optional<ReleasePhase> begun(const json::Value& status) {
  return json::enumerator<std::optional<ReleasePhase>>(status, "phase",
                                                       {{"pending", std::nullopt},
                                                        {"trial", ReleasePhase::canary},
                                                        {"going-back", ReleasePhase::rolling_back},
                                                        {"released", ReleasePhase::released},
                                                        {"withdrawn", ReleasePhase::rolled_back}});
}

}  // namespace

void Follower::begins(bool anew) {
  anew_ = anew;
  fresh_.clear();
}

Follower::Line Follower::take(std::string& body, TimePoint now) {
  const std::size_t end = body.find('\n');
  if (end == std::string::npos)
    return Line::none;
  const std::string line = body.substr(0, end);
  body.erase(0, end + 1);
  try {
    return read(line, now);
  } catch (const json::DecodeError&) {
    return Line::senseless;
  }
}

Follower::Line Follower::read(const std::string& line, TimePoint now) {
  const auto event = json::parse_object(line);
  const std::string type = json::text(event, "type");
  if (type == "ERROR")
    return Line::begin_anew;
  const auto version = static_cast<std::int64_t>(json::number(event, "version"));
  if (type == "BOOKMARK") {
    series_ = json::text(event, "series");
    if (anew_) {
      known_ = std::move(fresh_);
      fresh_.clear();
      anew_ = false;
      synced_ = true;
      version_ = version;
    }
    version_ = std::max(version_, version);
    return Line::taken;
  }
  if (!anew_ && version <= version_)
    return Line::taken;  // late, or told twice
  const json::Value& object = json::nested_object(event, "object");
  const std::string name = json::text(json::nested_object(object, "metadata"), "name");
  auto& into = anew_ ? fresh_ : known_;
  if (type == "DELETED") {
    into.erase(name);
  } else {
    const json::Value& status = json::nested_object(object, "status");
    const auto phase = begun(status);
    Known known;
    known.begun = phase.has_value();
    known.release.build = json::integer(json::nested_object(object, "spec"), "build", 0, 65535);
    known.release.stage = json::integer(status, "stage", 0, 1000);
    known.release.phase = phase.value_or(ReleasePhase::canary);
    known.release.cap = json::number(status, "cap");
    if (!(known.release.cap >= 0 && known.release.cap <= 1))
      json::throw_wrong_type("cap", "a share from 0 to 1");
    known.since = now - json::duration(event, "ageMs");
    known.version = version;
    into[name] = known;
  }
  if (!anew_)
    version_ = version;
  return Line::taken;
}

std::optional<Follower::Heard> Follower::news(TimePoint now) {
  if (!synced_)
    return {};
  const std::pair<const std::string, Known>* newest = nullptr;
  for (auto& each : known_)
    if (each.second.begun && (!newest || each.second.release.build > newest->second.release.build))
      newest = &each;
  if (!newest)
    return {};
  const Known& known = newest->second;
  // Builds only grow: that the newest has been deleted is no news of the one before it.
  if (told_ && known.release.build < told_->release.build)
    return {};
  if (told_ && told_name_ == newest->first && told_->release.build == known.release.build &&
      told_->release.stage == known.release.stage && told_->release.phase == known.release.phase &&
      told_->release.cap == known.release.cap)
    return {};
  told_ = known;
  told_name_ = newest->first;
  ReleaseUpdate release = known.release;
  release.since = std::max(Duration{}, now - known.since);
  return Heard{release, known.version, newest->first};
}

}  // namespace robinhoist::releases
