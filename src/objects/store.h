/// A versioned store of the API's objects of one kind: each change has a version that only grows,
/// and the last changes are kept for watches that resume. Free of I/O and clocks; not thread safe.
/// The store does not persist: a change is appended only after it has been written to disk.
#pragma once
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "objects/selector.h"

namespace robinhoist::objects {

/// Wall-clock time at the resolution that objects have. The epoch stands for "none".
using WallMillis = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// In the order in which the journal numbers them.
enum class Change { added, modified, deleted };

/// The name of a kind of change in a watch event.
const char* to_string(Change change);

/// An object as it stood at a version, ready to be sent.
struct Snapshot {
  std::string name{};
  std::int64_t version = 0;
  /// What selectors are matched against.
  Fields labels{};
  Fields fields{};
  /// The object as JSON, and the part of it that a brief view shows.
  std::string full{};
  std::string brief{};
  /// When the state that the object shows began.
  WallMillis since{};
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// A change of one object.
struct Event {
  Change change;
  /// Of a deleted object: its last state, with the version of the deletion.
  SnapshotPtr now;
  /// Null for an added object.
  SnapshotPtr before;
};

/// Whether the events after a version are all there: `compacted` when some were let go, `ahead`
/// when the version has not been reached.
enum class History { available, compacted, ahead };

/// The objects by name, and the last events by version.
class Store {
 public:
  /// Keeps the last `max_events` events.
  explicit Store(std::size_t max_events) : max_events_(max_events) {}
  /// Takes over the state that was persisted. `oldest` is the version before the first event.
  void restore(std::int64_t version, std::int64_t oldest,
               std::map<std::string, SnapshotPtr> objects, std::deque<Event> events);

  /// Applies an event; its version is the next after version().
  void append(Event event);

  std::int64_t version() const { return version_; }
  const std::map<std::string, SnapshotPtr>& objects() const { return objects_; }
  /// Null when there is none of that name.
  SnapshotPtr find(const std::string& name) const;
  History history_after(std::int64_t version) const;
  /// The first event after a version; null when there is none.
  const Event* first_event_after(std::int64_t version) const;

 private:
  std::size_t max_events_;
  std::int64_t version_ = 0;
  std::int64_t oldest_ = 0;  // events up to this version were let go
  std::map<std::string, SnapshotPtr> objects_{};
  std::deque<Event> events_{};
};

/// What an event is to a watch with a selector; nothing when it does not concern it. An object that
/// comes to match is added, one that no longer does is deleted. With `brief`, a change that the
/// brief view does not show is passed over.
std::optional<Change> change_for(const Event& event, const Selector& selector, bool brief);

}  // namespace robinhoist::objects
