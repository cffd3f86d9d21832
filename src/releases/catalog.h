/// The releases of a controller as API objects. Decides which changes requests may make and
/// reflects the state of the rollout in the objects. Performs no I/O, reads no clock and is not
/// thread safe.
///
/// Only restore() and commit() modify the catalog. The other operations return a draft of the
/// change, which the host writes to disk and then passes to commit(). Drafts of one transaction are
/// created and committed in order.
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

/// An uncommitted change of a release.
struct Draft {
  objects::Change change;
  Release release;
};

/// `accepted`: the change has begun and completes later.
enum class Completion { done, created, accepted };

/// The result of a request that was not rejected. It has no draft if the request changes nothing.
struct ChangeResult {
  std::string name;
  Completion completion = Completion::done;
  std::optional<Draft> draft{};
};

/// The version that a client expects an object to have, from If-Match or the body.
using ExpectedVersion = std::optional<std::int64_t>;

/// Owns the releases and their store of snapshots.
class Catalog {
 public:
  /// Keeps the most recent `max_events` changes for watches.
  explicit Catalog(std::size_t max_events) : store_(max_events) {}
  /// Restores the persisted state: releases by name and the most recent changes.
  void restore(std::map<std::string, Release> releases, std::int64_t version, std::int64_t oldest,
               std::deque<objects::Event> events);

  /// create(), patch(), remove() and get() throw RequestError. `newest_build` is the newest build
  /// that was ever submitted.
  ChangeResult create(const json::Value& body, const std::string& uid, int newest_build,
                      WallMillis now) const;
  ChangeResult patch(const std::string& name, const json::Value& body,
                     ExpectedVersion expected) const;
  ChangeResult remove(const std::string& name, ExpectedVersion expected, WallMillis now) const;
  /// The release with a name; throws if it is not at the expected version.
  const Release& get(const std::string& name, ExpectedVersion expected = {}) const;

  /// A release object for a build that was running before any release was created.
  Draft initial_release(int build, const std::string& uid, WallMillis now) const;
  /// Updates the status of a release; returns no value if nothing changes.
  std::optional<Draft> update_status(const std::string& name, Status status, WallMillis now) const;
  /// Whether a draft changes the state that proxies route by. Other drafts may be batched and
  /// written later.
  bool affects_routing(const Draft& draft) const;

  /// Applies a draft that was written to disk, with the snapshot that was created from it.
  objects::Event commit(const Draft& draft, objects::SnapshotPtr snapshot);

  const std::map<std::string, Release>& all() const { return releases_; }
  /// Null if there is no such release.
  const Release* find(const std::string& name) const;
  const Release* find_build(int build) const;
  const objects::Store& store() const { return store_; }

 private:
  std::int64_t next_version() const { return store_.version() + 1; }

  std::map<std::string, Release> releases_{};
  objects::Store store_;
};

}  // namespace robinhoist::releases
