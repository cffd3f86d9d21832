#include "releases/catalog.h"

#include <algorithm>

#include "releases/release_codec.h"

namespace robinhoist::releases {
namespace {

// The description in the spec of the first release. Part of the API and of stored data.
constexpr const char* initial_description = "ran already when the controller first started";

std::string default_name(int build) {
  return "build-" + std::to_string(build);
}

void check_version(const Release& release, ExpectedVersion expected) {
  if (expected && *expected != release.version)
    throw version_conflict(release, *expected);
}

// Sets the fields that the controller assigns to a new release.
void initialize(Release& release, const std::string& uid, std::int64_t version, WallMillis now) {
  release.uid = uid;
  release.created = now;
  release.version = version;
  release.finalizers = {machines_finalizer};
  release.status.since = now;
}

}  // namespace

void Catalog::restore(std::map<std::string, Release> releases, std::int64_t version,
                      std::int64_t oldest, std::deque<objects::Event> events) {
  releases_ = std::move(releases);
  std::map<std::string, objects::SnapshotPtr> objects;
  for (const auto& [name, release] : releases_)
    objects[name] = make_snapshot(release);
  store_.restore(version, oldest, std::move(objects), std::move(events));
}

const Release* Catalog::find(const std::string& name) const {
  const auto found = releases_.find(name);
  return found == releases_.end() ? nullptr : &found->second;
}

const Release* Catalog::find_build(int build) const {
  const auto found = std::find_if(releases_.begin(), releases_.end(),
                                  [&](const auto& each) { return each.second.build == build; });
  return found == releases_.end() ? nullptr : &found->second;
}

const Release& Catalog::get(const std::string& name, ExpectedVersion expected) const {
  const Release* release = find(name);
  if (!release)
    throw release_not_found(name);
  check_version(*release, expected);
  return *release;
}

ChangeResult Catalog::create(const json::Value& body, const std::string& uid, int newest_build,
                             WallMillis now) const {
  Release release = parse_creation(body);
  if (const Release* existing = find(release.name))
    throw name_taken(*existing);
  if (release.build <= newest_build)
    throw build_not_newer(newest_build);
  initialize(release, uid, next_version(), now);
  return {release.name, Completion::created, Draft{objects::Change::added, release}};
}

Draft Catalog::initial_release(int build, const std::string& uid, WallMillis now) const {
  Release release;
  release.name = default_name(build);
  // The name may be in use for another build.
  for (int suffix = 2; find(release.name); ++suffix)
    release.name = default_name(build) + "-" + std::to_string(suffix);
  release.build = build;
  release.description = initial_description;
  initialize(release, uid, next_version(), now);
  return {objects::Change::added, release};
}

ChangeResult Catalog::patch(const std::string& name, const json::Value& body,
                            ExpectedVersion expected) const {
  const Release& release = get(name);
  PatchedRelease patched = apply_patch(release, body);
  check_version(release, expected);
  check_version(release, patched.expected_version);
  ChangeResult result{name};
  if (patched.release.labels == release.labels &&
      patched.release.description == release.description)
    return result;
  patched.release.version = next_version();
  result.draft = Draft{objects::Change::modified, patched.release};
  return result;
}

ChangeResult Catalog::remove(const std::string& name, ExpectedVersion expected,
                             WallMillis now) const {
  Release release = get(name, expected);
  ChangeResult result{name, Completion::accepted};
  if (release.is_deleting())
    return result;
  release.version = next_version();
  release.deletion_requested = now;
  if (release.status.machines == 0 && release.status.phase)
    release.finalizers.clear();
  const bool gone = release.finalizers.empty();
  if (gone)
    result.completion = Completion::done;
  result.draft = Draft{gone ? objects::Change::deleted : objects::Change::modified, release};
  return result;
}

std::optional<Draft> Catalog::update_status(const std::string& name, Status status,
                                            WallMillis now) const {
  const Release* current = find(name);
  if (!current)
    return {};
  // Unchanged conditions and phases keep their times.
  const std::vector<Condition> conditions = std::move(status.conditions);
  status.conditions = current->status.conditions;
  for (const Condition& condition : conditions)
    status.set_condition(condition, now);
  status.observed_generation = current->generation;
  if (status.phase == current->status.phase && status.stage == current->status.stage &&
      current->status.since > WallMillis{})
    status.since = current->status.since;

  const bool gone = current->is_deleting() && status.machines == 0 && status.is_final();
  if (status == current->status && !gone)
    return {};
  Release release = *current;
  release.status = std::move(status);
  release.version = next_version();
  if (gone)
    release.finalizers.clear();
  return Draft{gone ? objects::Change::deleted : objects::Change::modified, release};
}

bool Catalog::affects_routing(const Draft& draft) const {
  const auto current = store_.find(draft.release.name);
  return draft.change != objects::Change::modified || !current ||
         current->brief != encode_brief(draft.release);
}

objects::Event Catalog::commit(const Draft& draft, objects::SnapshotPtr snapshot) {
  objects::Event event{draft.change, std::move(snapshot), store_.find(draft.release.name)};
  if (draft.change == objects::Change::deleted)
    releases_.erase(draft.release.name);
  else
    releases_[draft.release.name] = draft.release;
  store_.append(event);
  return event;
}

}  // namespace robinhoist::releases
