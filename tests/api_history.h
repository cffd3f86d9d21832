/// A history of concurrent clients and watches of the API, and a check that the order of versions
/// explains all of it. Every watch must have received exactly that order, every confirmed write
/// must be in it with its content, and operations that did not overlap must be in it in the order
/// in which they were executed. A read must return a version that was current at some time between
/// its begin and its end.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "json/reader.h"

namespace robinhoist::tests {

enum class OperationKind { write, read, other };

/// A request and its result. Times are those of the test's loop.
struct Operation {
  OperationKind kind = OperationKind::other;
  std::string name{};
  /// The unique value of the label `mark` that identifies a write.
  std::string write_id{};
  TimePoint begin{};
  TimePoint end{};
  std::int64_t version = 0;
  bool succeeded = false;
};

/// A change as received by a watch.
struct WatchedChange {
  std::int64_t version = 0;
  std::string type{};
  std::string name{};
  std::string write_id{};
  bool operator==(const WatchedChange&) const = default;
};

struct ApiHistory {
  std::vector<Operation> operations{};
  std::vector<std::vector<WatchedChange>> watches{};
  /// How often the controller was restarted.
  int restarts = 0;
};

/// Decodes a chunked body. The rest of the body after an incomplete chunk is left out.
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

/// Parses the changes in the chunked body of a watch. An incomplete last line is ignored.
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

/// Searches a history for contradictions. Each check returns a description of the first one, or an
/// empty text.
class HistoryChecker {
 public:
  explicit HistoryChecker(const ApiHistory& history) : history_(history) {}

  std::string check() {
    if (history_.watches.empty())
      return "the history has no watches";
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
  // A watch may miss up to this many of the last changes, which were made after it ended.
  static constexpr std::size_t max_missed_at_end = 50;

  // The order of the longest watch is the reference for the others.
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
        return "version " + std::to_string(version) + " at position " + std::to_string(i + 1);
    }
    return "";
  }

  std::string check_watches() const {
    for (const auto& watch : history_.watches)
      for (std::size_t i = 0; i < watch.size(); ++i)
        if (!(watch[i] == (*order_)[i]))
          return "a watch received a different order at position " + std::to_string(i + 1);
    for (const auto& watch : history_.watches)
      if (watch.size() + max_missed_at_end < order_->size())
        return "a watch missed the end";
    return "";
  }

  std::string check_operation(const Operation& operation) const {
    if (!operation.succeeded || operation.version == 0)
      return "";
    const auto found = by_version_.find(operation.version);
    const std::string version = "version " + std::to_string(operation.version);
    if (found == by_version_.end())
      return version + " was returned in a response, but no watch received it";
    if (found->second->name != operation.name)
      return version + " belongs to another release";
    if (operation.kind == OperationKind::write && !is_written(operation))
      return "a confirmed write of " + operation.name + " (" + operation.write_id + ") is missing";
    return "";
  }

  // The response may contain a later version of the object, which includes a later change. The
  // write must therefore be at or before that version.
  bool is_written(const Operation& write) const {
    const auto end = by_version_.upper_bound(write.version);
    return std::any_of(by_version_.begin(), end, [&](const auto& each) {
      return each.second->name == write.name && each.second->write_id == write.write_id;
    });
  }

  std::string check_sequence() const {
    for (const Operation& before : history_.operations)
      for (const Operation& after : history_.operations)
        if (contradict(before, after))
          return "a later " + std::string(after.kind == OperationKind::read ? "read" : "write") +
                 " of " + after.name + " returned version " + std::to_string(after.version) +
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

/// The first contradiction in a history; empty if one order explains all of it.
inline std::string contradiction(const ApiHistory& history) {
  return HistoryChecker(history).check();
}

}  // namespace robinhoist::tests
