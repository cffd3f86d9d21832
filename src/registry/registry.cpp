#include "registry/registry.h"

namespace robinhoist::registry {

void EndpointRegistry::record_change(const Endpoint& entry) {
  changes_.push_back({.version = ++version_, .entry = entry});
  if (changes_.size() > max_changes_)
    changes_.pop_front();
}

bool EndpointRegistry::put(const Endpoint& entry) {
  const auto [known, inserted] = entries_.try_emplace(entry.name, entry);
  if (!inserted && known->second == entry)
    return false;
  known->second = entry;
  record_change(entry);
  return true;
}

bool EndpointRegistry::set_phase(const std::string& name, EndpointPhase phase) {
  const auto known = entries_.find(name);
  if (known == entries_.end() || known->second.phase == phase)
    return false;
  known->second.phase = phase;
  record_change(known->second);
  return true;
}

bool EndpointRegistry::remove(const std::string& name) {
  const auto known = entries_.find(name);
  if (known == entries_.end())
    return false;
  Endpoint removed = known->second;
  removed.phase = EndpointPhase::removed;
  entries_.erase(known);
  record_change(removed);
  return true;
}

bool EndpointRegistry::can_resume(const std::string& series, std::int64_t version) const {
  const std::int64_t oldest = changes_.empty() ? version_ : changes_.front().version - 1;
  return series == series_ && version <= version_ && version >= oldest;
}

Update EndpointRegistry::changes_since(const std::string& series, std::int64_t version) const {
  Update update{.series = series_, .version = version_, .complete = false, .entries = {}};
  if (!can_resume(series, version)) {
    update.complete = true;
    for (const auto& [name, entry] : entries_)
      update.entries.push_back(entry);
    return update;
  }
  std::map<std::string, const Endpoint*> last_change;
  for (const Change& change : changes_)
    if (change.version > version)
      last_change[change.entry.name] = &change.entry;
  for (const auto& [name, entry] : last_change)
    update.entries.push_back(*entry);
  return update;
}

}  // namespace robinhoist::registry
