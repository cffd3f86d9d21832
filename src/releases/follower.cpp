#include "releases/follower.h"

#include <algorithm>

#include "releases/release_codec.h"

namespace robinhoist::releases {
namespace {

constexpr int max_build = 65535;
constexpr int max_stage = 1000;

std::int64_t version_of(const json::Value& event) {
  return static_cast<std::int64_t>(json::number(event, "version"));
}

bool same_state(const ReleaseUpdate& a, const ReleaseUpdate& b) {
  return a.build == b.build && a.stage == b.stage && a.phase == b.phase && a.cap == b.cap;
}

}  // namespace

void Follower::begin(bool lists_all) {
  listing_ = lists_all;
  incoming_.clear();
}

Follower::Line Follower::consume_line(std::string& body, TimePoint now) {
  const std::size_t end = body.find('\n');
  if (end == std::string::npos)
    return Line::none;
  const std::string line = body.substr(0, end);
  body.erase(0, end + 1);
  try {
    return read_line(line, now);
  } catch (const json::DecodeError&) {
    return Line::malformed;
  }
}

Follower::Line Follower::read_line(const std::string& line, TimePoint now) {
  const auto event = json::parse_object(line);
  const std::string type = json::text(event, "type");
  if (type == "ERROR")
    return Line::expired;
  if (type == "BOOKMARK") {
    read_bookmark(event);
    return Line::accepted;
  }
  const std::int64_t version = version_of(event);
  const bool stale_or_duplicate = !listing_ && version <= version_;
  if (!stale_or_duplicate)
    read_event(event, now);
  return Line::accepted;
}

void Follower::read_bookmark(const json::Value& event) {
  const std::int64_t version = version_of(event);
  series_ = json::text(event, "series");
  if (listing_) {
    known_ = std::move(incoming_);
    incoming_.clear();
    listing_ = false;
    synced_ = true;
    version_ = version;
  }
  version_ = std::max(version_, version);
}

void Follower::read_event(const json::Value& event, TimePoint now) {
  const json::Value& object = json::nested_object(event, "object");
  const std::string name = json::text(json::nested_object(object, "metadata"), "name");
  auto& releases = listing_ ? incoming_ : known_;
  if (json::text(event, "type") == objects::to_string(objects::Change::deleted))
    releases.erase(name);
  else
    releases[name] = read_release(event, now);
  if (!listing_)
    version_ = version_of(event);
}

Follower::KnownRelease Follower::read_release(const json::Value& event, TimePoint now) {
  const json::Value& object = json::nested_object(event, "object");
  const json::Value& status = json::nested_object(object, "status");
  const auto phase = decode_phase(status);
  KnownRelease known;
  known.begun = phase.has_value();
  known.release.build = json::integer(json::nested_object(object, "spec"), "build", 0, max_build);
  known.release.stage = json::integer(status, "stage", 0, max_stage);
  known.release.phase = phase.value_or(ReleasePhase::canary);
  known.release.cap = json::number(status, "cap");
  if (!(known.release.cap >= 0 && known.release.cap <= 1))
    json::throw_wrong_type("cap", "a share from 0 to 1");
  known.since = now - json::duration(event, "ageMs");
  known.version = version_of(event);
  return known;
}

std::optional<Follower::Update> Follower::next_update(TimePoint now) {
  if (!synced_)
    return {};
  const std::pair<const std::string, KnownRelease>* newest = nullptr;
  for (const auto& each : known_)
    if (each.second.begun && (!newest || each.second.release.build > newest->second.release.build))
      newest = &each;
  if (!newest)
    return {};
  const auto& [name, known] = *newest;
  if (current_) {
    // Builds only increase: deleting the newest release does not reactivate the one before it.
    if (known.release.build < current_->release.build)
      return {};
    if (current_name_ == name && same_state(current_->release, known.release))
      return {};
  }
  current_ = known;
  current_name_ = name;
  ReleaseUpdate release = known.release;
  release.since = std::max(Duration{}, now - known.since);
  return Update{release, known.version, name};
}

}  // namespace robinhoist::releases
