/// A history of concurrent clients and watches of the API, and the check whether one order explains
/// all of it: the order of versions. Every watch must have seen exactly that order, every write
/// that was confirmed must be in it with its content, operations that did not overlap must be in it
/// as they followed each other, and a read must give a version that was the present one at some
/// time between its begin and its end.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "json/reader.h"

namespace robinhoist::tests {

enum class OperationKind { write, read, other };

/// A request and what was answered. Times are of the test's loop.
struct Operation {
  OperationKind kind = OperationKind::other;
  std::string name{};
  /// The label by which a write is told from all others.
  std::string mark{};
  TimePoint begin{};
  TimePoint end{};
  std::int64_t version = 0;
  bool succeeded = false;
};

/// A change as a watch has seen it.
struct WatchedChange {
  std::int64_t version = 0;
  std::string type{};
  std::string name{};
  std::string mark{};
  bool operator==(const WatchedChange&) const = default;
};

struct ApiHistory {
  std::vector<Operation> operations{};
  std::vector<std::vector<WatchedChange>> watches{};
  /// How often the controller ended and was started again.
  int restarts = 0;
};

/// A chunked body as it was before; what follows a chunk that is not whole is left out.
inline std::string dechunked(const std::string& chunked) {
  std::string body;
  for (std::size_t at = 0; at < chunked.size();) {
    const std::size_t line_end = chunked.find("\r\n", at);
    if (line_end == std::string::npos)
      break;
    const std::size_t size = std::stoul("0" + chunked.substr(at, line_end - at), nullptr, 16);
    if (size == 0)
      break;
    body += chunked.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
  }
  return body;
}

/// The changes in the chunked body of a watch; half a line at the end is none.
inline std::vector<WatchedChange> read_changes(const std::string& chunked) {
  const std::string body = dechunked(chunked);
  std::vector<WatchedChange> changes;
  std::size_t begin = 0;
  for (std::size_t end; (end = body.find('\n', begin)) != std::string::npos; begin = end + 1) {
    const auto line = json::parse_object(body.substr(begin, end - begin));
    const std::string type = json::text(line, "type");
    if (type == "BOOKMARK" || type == "ERROR")
      continue;
    const json::Value& metadata =
        json::nested_object(json::nested_object(line, "object"), "metadata");
    const auto version = static_cast<std::int64_t>(json::number(line, "version"));
    changes.push_back({version, type, json::text(metadata, "name"),
                       json::text_or(json::nested_object(metadata, "labels"), "mark", "")});
  }
  return changes;
}

/// Looks for contradictions in a history. Each check returns what is wrong, or an empty text.
class HistoryChecker {
 public:
  explicit HistoryChecker(const ApiHistory& history) : history_(history) {}

  std::string check() {
    if (history_.watches.empty())
      return "nobody watched";
    choose_order();
    for (const auto& problem : {check_versions(), check_watches()})
      if (!problem.empty())
        return problem;
    for (const Operation& operation : history_.operations)
      if (std::string problem = check_operation(operation); !problem.empty())
        return problem;
    return check_sequence();
  }

 private:
  // A watch may miss so many of the last changes, for it was ended before them.
  static constexpr std::size_t max_missed_at_end = 50;

  // The longest watch has the order that the others must have too.
  void choose_order() {
    order_ = &history_.watches[0];
    for (const auto& watch : history_.watches)
      if (watch.size() > order_->size())
        order_ = &watch;
    for (const WatchedChange& change : *order_)
      by_version_[change.version] = &change;
  }

  std::string check_versions() const {
    for (std::size_t i = 0; i < order_->size(); ++i) {
      const std::int64_t version = (*order_)[i].version;
      if (version != static_cast<std::int64_t>(i) + 1)
        return "version " + std::to_string(version) + " in place " + std::to_string(i + 1);
    }
    return "";
  }

  std::string check_watches() const {
    for (const auto& watch : history_.watches)
      for (std::size_t i = 0; i < watch.size(); ++i)
        if (!(watch[i] == (*order_)[i]))
          return "a watcher saw another order at " + std::to_string(i + 1);
    for (const auto& watch : history_.watches)
      if (watch.size() + max_missed_at_end < order_->size())
        return "a watcher missed the end";
    return "";
  }

  std::string check_operation(const Operation& operation) const {
    if (!operation.succeeded || operation.version == 0)
      return "";
    const auto found = by_version_.find(operation.version);
    const std::string version = "version " + std::to_string(operation.version);
    if (found == by_version_.end())
      return version + " was answered and never told";
    if (found->second->name != operation.name)
      return version + " is of another release";
    if (operation.kind == OperationKind::write && !is_written(operation))
      return "a confirmed write of " + operation.name + " (" + operation.mark + ") stands nowhere";
    return "";
  }

  // The answer may give a later version of the object, with a later change in it: the write is in
  // the order at or before that version.
  bool is_written(const Operation& write) const {
    const auto end = by_version_.upper_bound(write.version);
    return std::any_of(by_version_.begin(), end, [&](const auto& each) {
      return each.second->name == write.name && each.second->mark == write.mark;
    });
  }

  std::string check_sequence() const {
    for (const Operation& before : history_.operations)
      for (const Operation& after : history_.operations)
        if (contradict(before, after))
          return "a later " + std::string(after.kind == OperationKind::read ? "read" : "write") +
                 " of " + after.name + " gave version " + std::to_string(after.version) +
                 " after " + std::to_string(before.version);
    return "";
  }

  static bool contradict(const Operation& before, const Operation& after) {
    return before.succeeded && after.succeeded && before.version > 0 && after.version > 0 &&
           before.end < after.begin && before.name == after.name && before.version > after.version;
  }

  const ApiHistory& history_;
  const std::vector<WatchedChange>* order_ = nullptr;
  std::map<std::int64_t, const WatchedChange*> by_version_{};
};

/// What contradicts that one order explains the history; empty when nothing does.
inline std::string contradiction(const ApiHistory& history) {
  return HistoryChecker(history).check();
}

}  // namespace robinhoist::tests
