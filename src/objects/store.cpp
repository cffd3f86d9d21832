#include "objects/store.h"

#include <algorithm>

namespace robinhoist::objects {

const char* to_string(Change change) {
  static const char* const names[] = {"ADDED", "MODIFIED", "DELETED"};
  return names[static_cast<int>(change)];
}

void Store::restore(std::int64_t version, std::int64_t oldest,
                    std::map<std::string, SnapshotPtr> objects, std::deque<Event> events) {
  version_ = version;
  oldest_ = oldest;
  objects_ = std::move(objects);
  events_ = std::move(events);
}

void Store::append(Event event) {
  version_ = event.now->version;
  if (event.change == Change::deleted)
    objects_.erase(event.now->name);
  else
    objects_[event.now->name] = event.now;
  events_.push_back(std::move(event));
  if (events_.size() <= max_events_)
    return;
  oldest_ = events_.front().now->version;
  events_.pop_front();
}

SnapshotPtr Store::find(const std::string& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : found->second;
}

History Store::history_after(std::int64_t version) const {
  if (version > version_)
    return History::ahead;
  return version < oldest_ ? History::compacted : History::available;
}

const Event* Store::first_event_after(std::int64_t version) const {
  const auto found = std::upper_bound(
      events_.begin(), events_.end(), version,
      [](std::int64_t wanted, const Event& event) { return wanted < event.now->version; });
  return found == events_.end() ? nullptr : &*found;
}

std::optional<Change> change_for_watch(const Event& event, const Selector& selector, bool brief) {
  const bool matched = event.before && selector.matches(event.before->labels, event.before->fields);
  const bool matches =
      event.change != Change::deleted && selector.matches(event.now->labels, event.now->fields);
  if (!matched && !matches)
    return {};
  if (!matched)
    return Change::added;
  if (!matches)
    return Change::deleted;
  if (brief && event.before->brief == event.now->brief)
    return {};
  return Change::modified;
}

}  // namespace robinhoist::objects
