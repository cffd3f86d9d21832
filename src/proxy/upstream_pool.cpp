#include "proxy/upstream_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "registry/endpoint_info.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

// Late results may still refer to a slot for some time after its endpoint was removed.
constexpr Duration slot_reuse_delay = 60s;

std::string key_of(const registry::Endpoint& entry) {
  return entry.name + "@" + entry.address;
}

}  // namespace

UpstreamPool::UpstreamPool(net::Loop& loop, http::ConnectionPoolSettings connection_settings,
                           const module_settings::ModuleSettings& module_settings,
                           const log::Logger& log, WallClock wall_clock, std::size_t max_endpoints)
    : loop_(loop),
      connection_settings_(std::move(connection_settings)),
      module_settings_(module_settings),
      log_(log),
      wall_clock_(std::move(wall_clock)),
      max_endpoints_(max_endpoints) {}

std::vector<EndpointInfo> UpstreamPool::apply(const registry::Update& update) {
  if (update.complete)
    remove_unlisted(update);
  std::vector<EndpointInfo> changes;
  for (const registry::Endpoint& entry : update.entries) {
    if (auto removed = remove_moved(entry))
      changes.push_back(*removed);
    list(entry);
    const std::optional<int> index = index_of(entry);
    if (!index)
      continue;
    Upstream& upstream = at(*index);
    changes.push_back(info_of(*index, entry));
    if (upstream.build != entry.build)
      upstream.build_started = changes.back().started;
    upstream.build = entry.build;
    upstream.phase = entry.phase;
  }
  refresh_connections();
  if (const std::size_t ignored = std::exchange(above_maximum_, 0); ignored > 0)
    log_.warn("endpoints ignored", {{"count", log::text(ignored)},
                                    {"reason", "more than " + log::text(max_endpoints_)}});
  return changes;
}

void UpstreamPool::list(const registry::Endpoint& entry) {
  if (entry.phase == EndpointPhase::removed)
    listed_.erase(entry.name);
  else if (listed_.size() < max_endpoints_ || listed_.contains(entry.name))
    listed_[entry.name] = entry;
}

// A name that is listed with another address is a different upstream. The registry does not report
// the old one as removed.
std::optional<EndpointInfo> UpstreamPool::remove_moved(const registry::Endpoint& entry) {
  const auto before = listed_.find(entry.name);
  if (before == listed_.end() || before->second.address == entry.address)
    return {};
  const std::optional<int> index = index_of(before->second);
  if (!index || at(*index).phase == EndpointPhase::removed)
    return {};
  Upstream& upstream = at(*index);
  upstream.phase = EndpointPhase::removed;
  EndpointInfo removed{};
  removed.endpoint = *index;
  removed.build = upstream.build;
  removed.phase = EndpointPhase::removed;
  removed.size = 1;
  return removed;
}

EndpointInfo UpstreamPool::info_of(int index, const registry::Endpoint& entry) {
  Upstream& upstream = at(index);
  set_start(upstream, entry.started);
  const std::uint64_t order = XXH64(entry.name.data(), entry.name.size(), 0);
  EndpointInfo info = registry::endpoint_info(entry, index, module_settings_.zone_index(entry.zone),
                                              order, WallTime{});
  info.started = upstream.started;
  return info;
}

// A start that is listed again is the same instant, whatever the wall clock shows by now.
void UpstreamPool::set_start(Upstream& upstream, WallTime listed_start) {
  if (upstream.listed_start == listed_start)
    return;
  upstream.listed_start = listed_start;
  if (listed_start == WallTime{})
    upstream.started = TimePoint{};
  else
    upstream.started = wall_clock_offset_.to_run_time(listed_start, loop_.now(), wall_clock_());
  // Zero stands for a start long ago.
  if (listed_start != WallTime{} && upstream.started == TimePoint{})
    upstream.started = TimePoint(Duration(1));
}

// Done before new endpoints are added, so that they can use the slots.
void UpstreamPool::remove_unlisted(const registry::Update& complete) {
  listed_.clear();
  std::set<std::string> keys;
  for (const registry::Endpoint& entry : complete.entries)
    keys.insert(key_of(entry));
  for (Upstream& upstream : upstreams_)
    if (!keys.contains(upstream.key))
      upstream.phase = EndpointPhase::removed;
}

void UpstreamPool::refresh_connections() {
  const TimePoint now = loop_.now();
  for (Upstream& upstream : upstreams_) {
    if (upstream.phase != EndpointPhase::removed)
      upstream.last_listed = now;
    else if (upstream.connections)
      upstream.connections->close_idle();
  }
}

std::optional<int> UpstreamPool::index_of(const registry::Endpoint& entry) {
  const std::string key = key_of(entry);
  const auto known = index_by_key_.find(key);
  if (known != index_by_key_.end())
    return known->second;
  if (entry.phase == EndpointPhase::removed)
    return {};
  return add(entry, key);
}

std::optional<int> UpstreamPool::add(const registry::Endpoint& entry, const std::string& key) {
  Poco::Net::SocketAddress address;
  try {
    address = Poco::Net::SocketAddress(entry.address);
  } catch (const Poco::Exception&) {
    log_.warn("endpoint ignored",
              {{"endpoint", entry.name}, {"reason", "invalid address: " + entry.address}});
    return {};
  }
  const std::optional<std::size_t> slot = free_slot();
  if (!slot) {
    ++above_maximum_;
    return {};
  }
  Upstream& upstream = upstreams_[*slot];
  upstream = Upstream{.key = key, .name = entry.name};
  upstream.connections =
      std::make_unique<http::ConnectionPool>(loop_, address, connection_settings_);
  const int index = static_cast<int>(*slot);
  index_by_key_[key] = index;
  return index;
}

// Empty if all slots are in use and there are as many as allowed. At the maximum, the slot of a
// removed endpoint is reused without delay.
std::optional<std::size_t> UpstreamPool::free_slot() {
  const bool at_maximum = upstreams_.size() >= max_endpoints_;
  const TimePoint now = loop_.now();
  const auto reusable = reusable_slot(at_maximum ? now : now - slot_reuse_delay);
  if (reusable) {
    index_by_key_.erase(upstreams_[*reusable].key);
    return reusable;
  }
  if (at_maximum)
    return {};
  upstreams_.emplace_back();
  return upstreams_.size() - 1;
}

std::optional<std::size_t> UpstreamPool::reusable_slot(TimePoint removed_before) const {
  const auto reusable =
      std::find_if(upstreams_.begin(), upstreams_.end(), [&](const Upstream& upstream) {
        return upstream.phase == EndpointPhase::removed && upstream.in_flight == 0 &&
               upstream.last_listed < removed_before;
      });
  if (reusable == upstreams_.end())
    return {};
  return static_cast<std::size_t>(reusable - upstreams_.begin());
}

std::optional<int> UpstreamPool::find(const std::string& name) const {
  const bool is_listed = listed_.contains(name);
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const Upstream& upstream = upstreams_[i];
    const bool is_current = upstream.phase != EndpointPhase::removed || !is_listed;
    if (upstream.name == name && is_current)
      return static_cast<int>(i);
  }
  return {};
}

int UpstreamPool::lowest_listed_build() const {
  const auto lowest = std::min_element(
      listed_.begin(), listed_.end(),
      [](const auto& a, const auto& b) { return a.second.build < b.second.build; });
  return lowest->second.build;
}

registry::Update UpstreamPool::snapshot(const registry::Update& as_of) const {
  registry::Update all{
      .series = as_of.series, .version = as_of.version, .complete = true, .entries = {}};
  for (const auto& [name, entry] : listed_)
    all.entries.push_back(entry);
  return all;
}

}  // namespace robinhoist::proxy
