/// The releases of a controller as API objects: what a request may change and how the rollout shows
/// in them. Free of I/O and clocks; not thread safe.
///
/// Nothing changes by itself: each change comes out as a draft, which the host writes to disk and
/// then hands to commit(). Drafts of one transaction are made and committed in order.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "objects/store.h"
#include "releases/release.h"
#include "releases/release_input.h"
#include "releases/request_error.h"

namespace robinhoist::releases {

/// A change that has not been committed.
struct Draft {
  objects::Change change;
  Release release;
};

/// `accepted`: it is begun, and completes later.
enum class Completion { done, created, accepted };

/// What a request that was not rejected comes to. There is no draft when it changes nothing.
struct ChangeResult {
  std::string name;
  Completion completion = Completion::done;
  std::optional<Draft> draft{};
};

/// The version that the client believes an object to have, from If-Match or the body.
using ExpectedVersion = std::optional<std::int64_t>;

/// Owns the releases and their store of snapshots.
class Catalog {
 public:
  /// Keeps the last `max_events` changes for watches.
  explicit Catalog(std::size_t max_events) : store_(max_events) {}
  /// Takes over what was persisted: releases by name, and the last changes.
  void restore(std::map<std::string, Release> releases, std::int64_t version, std::int64_t oldest,
               std::deque<objects::Event> events);

  /// These throw RequestError. `newest_build` is the newest that was ever submitted.
  ChangeResult create(const json::Value& body, const std::string& uid, int newest_build,
                      WallMillis now) const;
  ChangeResult patch(const std::string& name, const json::Value& body,
                     ExpectedVersion expected) const;
  ChangeResult remove(const std::string& name, ExpectedVersion expected, WallMillis now) const;
  /// The release of that name and version.
  const Release& get(const std::string& name, ExpectedVersion expected = {}) const;

  /// The release of a build that ran before any was created.
  Draft initial_release(int build, const std::string& uid, WallMillis now) const;
  /// Updates a release's status; nothing when it shows that already.
  std::optional<Draft> update_status(const std::string& name, Status status, WallMillis now) const;
  /// Whether a draft changes what proxies go by; others may be written later, together.
  bool is_urgent(const Draft& draft) const;

  /// Applies a draft that has been written to disk, with the snapshot made from it.
  objects::Event commit(const Draft& draft, objects::SnapshotPtr snapshot);

  const std::map<std::string, Release>& all() const { return releases_; }
  /// Null when there is none.
  const Release* find(const std::string& name) const;
  const Release* find_build(int build) const;
  const objects::Store& store() const { return store_; }

 private:
  std::int64_t next_version() const { return store_.version() + 1; }

  std::map<std::string, Release> releases_{};
  objects::Store store_;
};

}  // namespace robinhoist::releases
