// The releases of a controller as objects: what a request may change, what the rollout shows, and
// in which order. Free of I/O and clocks. Whatever changes comes out as a draft; the host writes it
// down and then says committed(), and only then is it so. Drafts of one commit are made and
// committed in order.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "objects/store.h"
#include "releases/release.h"

namespace robinhoist::releases {

struct Draft {
  objects::Change change;
  Release release;
};

// A request's fate. With a draft it has a status once that is committed.
struct Reply {
  int status = 200;
  std::string title{}, detail{};
  std::vector<Problem> problems{};
  std::optional<Draft> draft{};
  std::string name{};                // of the object that it is about
  std::int64_t present_version = 0;  // told with a 409
};

// If-Match and metadata.resourceVersion: what the client believes to change.
using Believed = std::optional<std::int64_t>;

class Catalog {
 public:
  explicit Catalog(std::size_t window) : store_(window) {}
  // As written down: bodies by name, and the changes kept.
  void restore(std::map<std::string, Release> releases, std::int64_t version, std::int64_t oldest,
               std::deque<objects::Event> events);

  // `newest_build` is the newest that was ever offered: builds only grow.
  Reply create(const json::Value& body, const std::string& uid, int newest_build,
               std::int64_t now_ms) const;
  Reply patch(const std::string& name, const json::Value& body, Believed believed) const;
  Reply remove(const std::string& name, Believed believed, std::int64_t now_ms) const;
  // Whether an action may be taken on it: 404, 409 for another version, else 200.
  Reply act(const std::string& name, Believed believed) const;
  // A build that runs without anybody having created its release: the first.
  Draft found(int build, const std::string& uid, std::int64_t now_ms) const;
  // As the rollout stands: nothing when the object shows it already. Conditions keep their times.
  std::optional<Draft> observe(const std::string& name, Status status, std::int64_t now_ms) const;
  // Whether a draft changes what proxies go by; the rest may wait for more to come.
  bool urgent(const Draft& draft) const;

  // The version follows the last committed one; `as` is the draft's own snapshot.
  objects::Event committed(const Draft& draft, objects::SnapshotPtr as);

  const std::map<std::string, Release>& all() const { return releases_; }
  const Release* find(const std::string& name) const;
  const Release* of_build(int build) const;
  const objects::Store& store() const { return store_; }

 private:
  Reply missing(const std::string& name) const;
  std::optional<Reply> refused(const Release& release, Believed believed) const;
  std::int64_t next_version() const { return store_.version() + 1; }
  std::map<std::string, Release> releases_{};
  objects::Store store_;
};

}  // namespace robinhoist::releases
