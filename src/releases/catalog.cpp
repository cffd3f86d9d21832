#include "releases/catalog.h"

#include <algorithm>

namespace robinhoist::releases {

void Catalog::restore(std::map<std::string, Release> releases, std::int64_t version,
                      std::int64_t oldest, std::deque<objects::Event> events) {
  releases_ = std::move(releases);
  std::map<std::string, objects::SnapshotPtr> objects;
  for (auto& [name, release] : releases_)
    objects[name] = snapshot(release);
  store_.restore(version, oldest, std::move(objects), std::move(events));
}

const Release* Catalog::find(const std::string& name) const {
  auto at = releases_.find(name);
  return at == releases_.end() ? nullptr : &at->second;
}

const Release* Catalog::of_build(int build) const {
  auto at = std::find_if(releases_.begin(), releases_.end(),
                         [&](auto& r) { return r.second.build == build; });
  return at == releases_.end() ? nullptr : &at->second;
}

Reply Catalog::missing(const std::string& name) const {
  return {.status = 404,
          .title = "no such release",
          .detail = "there is no release " + name,
          .name = name};
}

std::optional<Reply> Catalog::refused(const Release& release, Believed believed) const {
  if (!believed || *believed == release.version)
    return {};
  return Reply{.status = 409,
               .title = "the release has changed",
               .detail = "it is of version " + std::to_string(release.version) + ", not " +
                         std::to_string(*believed),
               .name = release.name,
               .present_version = release.version};
}

Reply Catalog::create(const json::Value& body, const std::string& uid, int newest_build,
                      std::int64_t now_ms) const {
  Reply reply{.status = 201};
  auto release = created(body, reply.problems);
  if (!release)
    return {.status = 422,
            .title = "the release makes no sense",
            .detail = "see errors",
            .problems = reply.problems};
  reply.name = release->name;
  if (const Release* same = find(release->name))
    return {.status = 409,
            .title = "the name is taken",
            .detail = "there is a release " + release->name + " already",
            .name = release->name,
            .present_version = same->version};
  if (release->build <= newest_build)
    return {.status = 422,
            .title = "the release makes no sense",
            .detail = "builds only grow",
            .problems = {{"/spec/build", "is not newer than " + std::to_string(newest_build)}},
            .name = release->name};
  release->uid = uid;
  release->created_ms = now_ms;
  release->version = next_version();
  release->finalizers = {machines_run};
  release->status.since_ms = now_ms;
  reply.draft = Draft{objects::Change::added, *release};
  return reply;
}

Draft Catalog::found(int build, const std::string& uid, std::int64_t now_ms) const {
  Release release;
  release.name = "build-" + std::to_string(build);
  // Somebody may have taken that name for another build.
  for (int n = 2; find(release.name); ++n)
    release.name = "build-" + std::to_string(build) + "-" + std::to_string(n);
  release.uid = uid;
  release.created_ms = now_ms;
  release.version = next_version();
  release.build = build;
  release.description = "ran already when the controller first started";
  release.finalizers = {machines_run};
  release.status.since_ms = now_ms;
  return {objects::Change::added, release};
}

Reply Catalog::patch(const std::string& name, const json::Value& body, Believed believed) const {
  const Release* release = find(name);
  if (!release)
    return missing(name);
  Reply reply{.name = name};
  std::optional<std::int64_t> named;
  auto to = patched(*release, body, named, reply.problems);
  if (!to)
    return {.status = 422,
            .title = "the patch makes no sense",
            .detail = "see errors",
            .problems = reply.problems,
            .name = name};
  for (Believed one : {believed, named})
    if (auto no = refused(*release, one))
      return *no;
  if (to->labels == release->labels && to->description == release->description)
    return reply;
  to->version = next_version();
  reply.draft = Draft{objects::Change::modified, *to};
  return reply;
}

Reply Catalog::act(const std::string& name, Believed believed) const {
  const Release* release = find(name);
  if (!release)
    return missing(name);
  if (auto no = refused(*release, believed))
    return *no;
  return {.name = name};
}

Reply Catalog::remove(const std::string& name, Believed believed, std::int64_t now_ms) const {
  Reply reply = act(name, believed);
  if (reply.status != 200)
    return reply;
  Release release = *find(name);
  reply.status = 202;
  if (release.deleting_ms > 0)
    return reply;
  release.version = next_version();
  release.deleting_ms = now_ms;
  if (release.status.machines == 0 && release.status.phase != "pending")
    release.finalizers.clear();
  const bool gone = release.finalizers.empty();
  if (gone)
    reply.status = 200;
  reply.draft = Draft{gone ? objects::Change::deleted : objects::Change::modified, release};
  return reply;
}

std::optional<Draft> Catalog::observe(const std::string& name, Status status,
                                      std::int64_t now_ms) const {
  const Release* held = find(name);
  if (!held)
    return {};
  // What does not turn keeps its time.
  Release release = *held;
  const std::vector<Condition> fresh = std::move(status.conditions);
  status.conditions = held->status.conditions;
  for (const Condition& one : fresh)
    status.condition(one.type, one.status, one.reason, one.message, now_ms);
  status.observed_generation = release.generation;
  if (status.phase == held->status.phase && status.stage == held->status.stage &&
      held->status.since_ms > 0)
    status.since_ms = held->status.since_ms;
  const bool leaves = release.deleting_ms > 0 && status.machines == 0 &&
                      (status.phase == "withdrawn" || status.phase == "released");
  if (status == held->status && !leaves)
    return {};
  release.status = std::move(status);
  release.version = next_version();
  if (leaves)
    release.finalizers.clear();
  return Draft{leaves ? objects::Change::deleted : objects::Change::modified, release};
}

bool Catalog::urgent(const Draft& draft) const {
  const auto held = store_.find(draft.release.name);
  return draft.change != objects::Change::modified || !held ||
         held->brief != encoded_brief(draft.release);
}

objects::Event Catalog::committed(const Draft& draft, objects::SnapshotPtr as) {
  objects::Event event{draft.change, std::move(as), store_.find(draft.release.name)};
  if (draft.change == objects::Change::deleted)
    releases_.erase(draft.release.name);
  else
    releases_[draft.release.name] = draft.release;
  store_.take(event);
  return event;
}

}  // namespace robinhoist::releases
