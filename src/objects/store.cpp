#include "objects/store.h"

#include <algorithm>

namespace robinhoist::objects {

void Store::restore(std::int64_t version, std::int64_t oldest,
                    std::map<std::string, SnapshotPtr> objects, std::deque<Event> events) {
  version_ = version;
  oldest_ = oldest;
  objects_ = std::move(objects);
  events_ = std::move(events);
}

void Store::take(Event event) {
  version_ = event.now->version;
  if (event.change == Change::deleted)
    objects_.erase(event.now->name);
  else
    objects_[event.now->name] = event.now;
  events_.push_back(std::move(event));
  if (events_.size() <= window_)
    return;
  oldest_ = events_.front().now->version;
  events_.pop_front();
}

SnapshotPtr Store::find(const std::string& name) const {
  auto at = objects_.find(name);
  return at == objects_.end() ? nullptr : at->second;
}

Since Store::since(std::int64_t version) const {
  return version > version_ ? Since::ahead : version < oldest_ ? Since::compacted : Since::held;
}

const Event* Store::after(std::int64_t version) const {
  auto at =
      std::upper_bound(events_.begin(), events_.end(), version,
                       [](std::int64_t v, const Event& event) { return v < event.now->version; });
  return at == events_.end() ? nullptr : &*at;
}

std::optional<Change> seen(const Event& event, const Selector& selector, bool brief) {
  const bool was = event.before && selector.takes(event.before->labels, event.before->fields);
  const bool is =
      event.change != Change::deleted && selector.takes(event.now->labels, event.now->fields);
  if (!was && !is)
    return {};
  if (!was)
    return Change::added;
  if (!is)
    return Change::deleted;
  if (brief && event.before->brief == event.now->brief)
    return {};
  return Change::modified;
}

const char* to_string(Change change) {
  static const char* const words[] = {"ADDED", "MODIFIED", "DELETED"};
  return words[static_cast<int>(change)];
}

}  // namespace robinhoist::objects
