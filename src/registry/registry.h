// The list of endpoints: who there is, where, and in what phase; versions, and changes since a
// version. Free of I/O. An endpoint that has left stays among the changes until the window of
// changes has moved on.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::registry {

struct Endpoint {
  std::string name{}, address{};  // address: host:port
  std::string zone{};
  int cell = 0, build = 0;
  EndpointPhase phase = EndpointPhase::ready;
  double size = 1;
  WallTime started{};  // since 1970; 0: long ago
  bool operator==(const Endpoint&) const = default;
};

struct Update {
  std::string series{};  // of versions; another series has nothing to do with this one
  std::int64_t version = 0;
  bool whole = false;
  std::vector<Endpoint> entries{};
};

class EndpointRegistry {
 public:
  explicit EndpointRegistry(std::string series, std::size_t changes_kept = 10000)
      : series_(std::move(series)), kept_(changes_kept) {}
  // Returns whether anything changed.
  bool put(const Endpoint& entry);
  bool phase(const std::string& name, EndpointPhase phase);
  bool remove(const std::string& name);
  std::int64_t version() const { return version_; }
  // What changed since; the whole list where that is no longer known, or the series is another.
  Update since(const std::string& series, std::int64_t version) const;
  std::size_t size() const { return entries_.size(); }

 private:
  void changed(const Endpoint& entry);
  std::string series_;
  std::size_t kept_;
  std::int64_t version_ = 0;
  std::map<std::string, Endpoint> entries_{};
  std::deque<std::pair<std::int64_t, Endpoint>> changes_{};
};

// As JSON, for the wire and for the saved file.
std::string encoded(const Update& news);
Update decoded(const std::string& text);  // throws json::DecodeError

}  // namespace robinhoist::registry
