// Objects of one kind as they are told to others: each change has a version that only grows, and
// the last changes are kept for those that watch. Free of I/O and clocks. What is taken here is
// final: whoever calls has written it down before.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "objects/selector.h"

namespace robinhoist::objects {

enum class Change { added, modified, deleted };

// An object as it stood at a version. The texts are JSON; `brief` is the part that a watcher of
// `brief` sees.
struct Snapshot {
  std::string name{};
  std::int64_t version = 0;
  Fields labels{}, fields{};  // for selectors
  std::string full{}, brief{};
  std::int64_t since_ms = 0;  // wall clock: when its state began, as far as ages are told
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

struct Event {
  Change change;
  SnapshotPtr now;     // of a deleted one: as it last was, with the version of its end
  SnapshotPtr before;  // null for an added one
};

enum class Since { held, compacted, ahead };

class Store {
 public:
  // Keeps so many changes.
  explicit Store(std::size_t window) : window_(window) {}
  // As it stood when the process last ended; `oldest` is the version before the first event given.
  void restore(std::int64_t version, std::int64_t oldest,
               std::map<std::string, SnapshotPtr> objects, std::deque<Event> events);

  // In the order of versions.
  void take(Event event);

  std::int64_t version() const { return version_; }
  const std::map<std::string, SnapshotPtr>& objects() const { return objects_; }
  SnapshotPtr find(const std::string& name) const;
  // Whether all that came after a version can be told.
  Since since(std::int64_t version) const;
  // The first change after a version; null when there is none.
  const Event* after(std::int64_t version) const;

 private:
  std::size_t window_;
  std::int64_t version_ = 0, oldest_ = 0;  // oldest_: what came up to it has been let go
  std::map<std::string, SnapshotPtr> objects_{};
  std::deque<Event> events_{};
};

// What a watcher with a selector is told of an event; nothing when it is none of its own. One that
// comes into the selection is added to it, one that leaves is deleted from it. With `brief` what
// changes elsewhere is passed over.
std::optional<Change> seen(const Event& event, const Selector& selector, bool brief);
const char* to_string(Change change);

}  // namespace robinhoist::objects
