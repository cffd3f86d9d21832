/// A versioned in-memory store of the API objects of one kind. Each change has a higher version
/// than the one before, and the most recent changes are kept for watches that resume. The store
/// performs no I/O, reads no clock and is not thread safe. A change is appended only after the
/// caller has written it to disk.
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

/// Wall-clock time at the resolution used by objects. The epoch stands for "none".
using WallMillis = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The kind of a change. The journal stores the numeric values.
enum class Change { added, modified, deleted };

/// The name of a change kind in a watch event.
const char* to_string(Change change);

/// The encoded state of an object at one version.
struct Snapshot {
  std::string name{};
  std::int64_t version = 0;
  /// The labels and fields that selectors are matched against.
  Fields labels{};
  Fields fields{};
  /// The complete object as JSON, and the part that the brief view shows.
  std::string full{};
  std::string brief{};
  /// When the current state of the object began.
  WallMillis since{};
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// A change of one object.
struct Event {
  Change change;
  /// The state after the change; for a deleted object, its last state with the version of the
  /// deletion.
  SnapshotPtr now;
  /// The state before the change; null for an added object.
  SnapshotPtr before;
};

/// Whether all events after a version are available. `compacted`: some were discarded. `ahead`: the
/// version is newer than the store's.
enum class History { available, compacted, ahead };

/// The objects by name and the most recent events by version.
class Store {
 public:
  /// Keeps the most recent `max_events` events.
  explicit Store(std::size_t max_events) : max_events_(max_events) {}
  /// Restores persisted state. `oldest` is the version before the first event.
  void restore(std::int64_t version, std::int64_t oldest,
               std::map<std::string, SnapshotPtr> objects, std::deque<Event> events);

  /// Applies an event, whose version must be version() + 1.
  void append(Event event);

  std::int64_t version() const { return version_; }
  const std::map<std::string, SnapshotPtr>& objects() const { return objects_; }
  /// Null if there is no object with that name.
  SnapshotPtr find(const std::string& name) const;
  History history_after(std::int64_t version) const;
  /// The first event after a version; null if there is none.
  const Event* first_event_after(std::int64_t version) const;

 private:
  std::size_t max_events_;
  std::int64_t version_ = 0;
  std::int64_t oldest_ = 0;  // events up to this version were discarded
  std::map<std::string, SnapshotPtr> objects_{};
  std::deque<Event> events_{};
};

/// The kind of change that an event represents for a watch with a selector; no value if the event
/// is not relevant to it. An object that starts to match is added, one that no longer matches is
/// deleted. With `brief`, changes that the brief view does not show are skipped.
std::optional<Change> change_for_watch(const Event& event, const Selector& selector, bool brief);

}  // namespace robinhoist::objects
