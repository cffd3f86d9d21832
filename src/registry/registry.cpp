#include "registry/registry.h"

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::registry {
namespace {
const char* const phases[] = {"in", "lame", "out"};
}

void EndpointRegistry::changed(const Endpoint& entry) {
  changes_.emplace_back(++version_, entry);
  if (changes_.size() > kept_)
    changes_.pop_front();
}

bool EndpointRegistry::put(const Endpoint& entry) {
  auto [at, fresh] = entries_.try_emplace(entry.name, entry);
  if (!fresh && at->second == entry)
    return false;
  at->second = entry;
  changed(entry);
  return true;
}

bool EndpointRegistry::phase(const std::string& name, EndpointPhase phase) {
  auto at = entries_.find(name);
  if (at == entries_.end() || at->second.phase == phase)
    return false;
  at->second.phase = phase;
  changed(at->second);
  return true;
}

bool EndpointRegistry::remove(const std::string& name) {
  auto at = entries_.find(name);
  if (at == entries_.end())
    return false;
  Endpoint gone = at->second;
  gone.phase = EndpointPhase::removed;
  entries_.erase(at);
  changed(gone);
  return true;
}

Update EndpointRegistry::since(const std::string& series, std::int64_t version) const {
  Update news{series_, version_, false, {}};
  const std::int64_t oldest = changes_.empty() ? version_ : changes_.front().first - 1;
  if (series != series_ || version > version_ || version < oldest) {
    news.whole = true;
    for (auto& [name, entry] : entries_)
      news.entries.push_back(entry);
    return news;
  }
  // Only the last of several changes of an endpoint.
  std::map<std::string, const Endpoint*> last;
  for (auto& [at, entry] : changes_)
    if (at > version)
      last[entry.name] = &entry;
  for (auto& [name, entry] : last)
    news.entries.push_back(*entry);
  return news;
}

std::string encoded(const Update& news) {
  json::Writer out;
  out.begin_object()
      .put("series", news.series)
      .put("version", static_cast<long>(news.version))
      .put("whole", news.whole);
  out.begin_array("nodes");
  for (const Endpoint& entry : news.entries) {
    out.begin_object()
        .put("name", entry.name)
        .put("address", entry.address)
        .put("zone", entry.zone);
    out.put("cell", entry.cell).put("build", entry.build).put("size", entry.size);
    out.put("phase", phases[static_cast<int>(entry.phase)])
        .put_ms("started_ms", entry.started.time_since_epoch())
        .end_object();
  }
  return out.end_array().end_object().text();
}

Update decoded(const std::string& text) {
  auto document = json::parse_object(text);
  Update news;
  news.series = json::text(document, "series");
  news.version = static_cast<std::int64_t>(json::number(document, "version"));
  news.whole = json::boolean(document, "whole");
  for (const json::Value& endpoint : json::array(document, "nodes").GetArray()) {
    if (!endpoint.IsObject())
      json::throw_wrong_type("nodes", "an array of objects");
    Endpoint entry;
    entry.name = json::text(endpoint, "name");
    entry.address = json::text(endpoint, "address");
    entry.zone = json::text(endpoint, "zone");
    entry.cell = json::integer(endpoint, "cell");
    entry.build = json::integer(endpoint, "build", 0, 65535);
    entry.size = json::number(endpoint, "size");
    if (!(entry.size > 0))
      json::throw_wrong_type("size", "above 0");
    entry.phase = json::enumerator<EndpointPhase>(endpoint, "phase",
                                                  {{"in", EndpointPhase::ready},
                                                   {"lame", EndpointPhase::draining},
                                                   {"out", EndpointPhase::removed}});
    entry.started = WallTime(json::duration(endpoint, "started_ms"));
    news.entries.push_back(std::move(entry));
  }
  return news;
}

}  // namespace robinhoist::registry
