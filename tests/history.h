// A history of concurrent clients and watchers against the API, and whether one order explains all
// of it: the order of versions. Every watcher must have seen exactly that order, every write that
// was confirmed must stand in it with its content, operations that did not overlap must stand in it
// as they followed each other, and a read must give a version that was the present one at some time
// between its begin and its end.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::history {

enum class Kind { write, read, other };

struct Op {
  Kind kind = Kind::other;
  std::string name{}, mark{};
  std::int64_t from = 0, to = 0, version = 0;
  bool done = false, missing = false;
};

struct Seen {
  std::int64_t version = 0;
  std::string type{}, name{}, mark{};
  bool operator==(const Seen&) const = default;
};

struct History {
  std::vector<Op> ops{};
  std::vector<std::vector<Seen>> watchers{};
  int restarts = 0;
};

// The events in the body of a watch, dechunked here; a half line at the end is none.
inline std::vector<Seen> seen_in(const std::string& chunked) {
  std::string body;
  for (std::size_t at = 0; at < chunked.size();) {
    const std::size_t end = chunked.find("\r\n", at);
    if (end == std::string::npos)
      break;
    const std::size_t size = std::stoul("0" + chunked.substr(at, end - at), nullptr, 16);
    if (size == 0)
      break;
    body += chunked.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
  std::vector<Seen> seen;
  for (std::size_t at = 0, end; (end = body.find('\n', at)) != std::string::npos; at = end + 1) {
    const auto line = json::parse_object(body.substr(at, end - at));
    const std::string type = json::text(line, "type");
    if (type == "BOOKMARK" || type == "ERROR")
      continue;
    const json::Value& metadata =
        json::nested_object(json::nested_object(line, "object"), "metadata");
    seen.push_back({static_cast<std::int64_t>(json::number(line, "version")), type,
                    json::text(metadata, "name"),
                    json::text_or(json::nested_object(metadata, "labels"), "mark", "")});
  }
  return seen;
}

inline std::string wrong_with(const History& all) {
  if (all.watchers.empty())
    return "nobody watched";
  const std::vector<Seen>* order = &all.watchers[0];
  for (auto& watcher : all.watchers)
    if (watcher.size() > order->size())
      order = &watcher;
  std::map<std::int64_t, const Seen*> at;
  for (std::size_t i = 0; i < order->size(); ++i) {
    const Seen& one = (*order)[i];
    if (one.version != static_cast<std::int64_t>(i) + 1)
      return "version " + std::to_string(one.version) + " in place " + std::to_string(i + 1);
    at[one.version] = &one;
  }
  for (auto& watcher : all.watchers)
    for (std::size_t i = 0; i < watcher.size(); ++i)
      if (!(watcher[i] == (*order)[i]))
        return "a watcher saw another order at " + std::to_string(i + 1);
  // The longest may be ahead of the others by what came last, not by more.
  for (auto& watcher : all.watchers)
    if (watcher.size() + 50 < order->size())
      return "a watcher missed the end";
  for (const Op& op : all.ops) {
    if (!op.done || op.version == 0)
      continue;
    auto found = at.find(op.version);
    if (found == at.end())
      return "version " + std::to_string(op.version) + " was answered and never told";
    if (found->second->name != op.name)
      return "version " + std::to_string(op.version) + " is of another release";
    if (op.kind != Kind::write)
      continue;
    // The answer may give a later version of the same object, with a later change in it: the write
    // stands before.
    bool stands = false;
    for (auto one = found;; --one) {
      stands = one->second->name == op.name && one->second->mark == op.mark;
      if (stands || one == at.begin())
        break;
    }
    if (!stands)
      return "a confirmed write of " + op.name + " (" + op.mark + ") stands nowhere";
  }
  for (const Op& before : all.ops)
    for (const Op& after : all.ops)
      if (before.done && after.done && before.version > 0 && after.version > 0 &&
          before.to < after.from && before.name == after.name && before.version > after.version)
        return "a later " + std::string(after.kind == Kind::read ? "read" : "write") + " of " +
               after.name + " gave version " + std::to_string(after.version) + " after " +
               std::to_string(before.version);
  return "";
}

}  // namespace robinhoist::history
