// The list of nodes: who there is, where, and in what phase; versions, and changes since a version. Free of
// I/O. A node that has left stays among the changes until the window of changes has moved on.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state.h"

namespace robinhoist::list {

struct Entry {
  std::string name{}, address{};  // address: host:port
  std::string zone{};
  int cell = 0, build = 0;
  NodePhase phase = NodePhase::in;
  double size = 1;
  Span started{};  // since 1970; 0: long ago
  bool operator==(const Entry&) const = default;
};

struct News {
  std::string series{};  // of versions; another series has nothing to do with this one
  std::int64_t version = 0;
  bool whole = false;
  std::vector<Entry> entries{};
};

class Registry {
 public:
  explicit Registry(std::string series, std::size_t changes_kept = 10000)
      : series_(std::move(series)), kept_(changes_kept) {}
  // Returns whether anything changed.
  bool put(const Entry& entry);
  bool phase(const std::string& name, NodePhase phase);
  bool remove(const std::string& name);
  std::int64_t version() const { return version_; }
  // What changed since; the whole list where that is no longer known, or the series is another.
  News since(const std::string& series, std::int64_t version) const;
  std::size_t size() const { return entries_.size(); }

 private:
  void changed(const Entry& entry);
  std::string series_;
  std::size_t kept_;
  std::int64_t version_ = 0;
  std::map<std::string, Entry> entries_{};
  std::deque<std::pair<std::int64_t, Entry>> changes_{};
};

// As JSON, for the wire and for the saved file.
std::string encoded(const News& news);
News decoded(const std::string& text);  // throws json::BadInput

}  // namespace robinhoist::list
