/// The endpoint registry's state: which endpoints there are, where, and in which phase, with a
/// version that grows with each change.
///
/// Readers ask for the changes since a version. Changes are kept for a bounded window; whoever is
/// further behind gets the complete list. Free of I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/endpoint.h"
#include "time/time_types.h"

namespace robinhoist::registry {

/// One endpoint as the registry lists it.
struct Endpoint {
  std::string name{};
  std::string address{};  ///< host:port
  std::string zone{};
  int cell = 0;
  int build = 0;
  EndpointPhase phase = EndpointPhase::ready;
  double size = 1;     ///< capacity relative to other endpoints
  WallTime started{};  ///< the epoch: long ago
  bool operator==(const Endpoint&) const = default;
};

/// The changes up to a version, or the complete list as of it.
struct Update {
  std::string series{};  ///< versions of different series can't be compared
  std::int64_t version = 0;
  bool complete = false;  ///< endpoints that are not mentioned do not exist
  std::vector<Endpoint> entries{};
};

class EndpointRegistry {
 public:
  /// `max_changes` is how many changes are kept for readers.
  explicit EndpointRegistry(std::string series, std::size_t max_changes = 10000)
      : series_(std::move(series)), max_changes_(max_changes) {}

  /// Adds or replaces an endpoint. This and the next two return whether anything changed.
  bool put(const Endpoint& entry);
  bool set_phase(const std::string& name, EndpointPhase phase);
  /// A removed endpoint is among the changes with phase removed.
  bool remove(const std::string& name);

  std::int64_t version() const { return version_; }
  std::size_t size() const { return entries_.size(); }
  /// The last change of each endpoint since a version; the complete list if the window of changes
  /// does not reach back so far or the series is another one.
  Update changes_since(const std::string& series, std::int64_t version) const;

 private:
  struct Change {
    std::int64_t version;
    Endpoint entry;
  };
  void record_change(const Endpoint& entry);
  bool can_resume(const std::string& series, std::int64_t version) const;

  std::string series_;
  std::size_t max_changes_;
  std::int64_t version_ = 0;
  std::map<std::string, Endpoint> entries_{};
  std::deque<Change> changes_{};
};

/// JSON, as on the wire and in the endpoint cache.
std::string encode(const Update& update);
/// Throws json::DecodeError naming the field.
Update decode(const std::string& text);
/// Endpoints as encode() writes them, separated by commas. Throws json::DecodeError naming the
/// field.
std::vector<Endpoint> decode_endpoints(const std::string& text);

}  // namespace robinhoist::registry
