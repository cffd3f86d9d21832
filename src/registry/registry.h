/// The endpoint registry's state: the endpoints with their addresses and phases, and a version that
/// increases with each change.
///
/// Readers request the changes since a version. A bounded number of changes is kept; a reader that
/// is further behind gets the complete list. This module does no I/O.
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
  WallTime started{};  ///< the epoch means long ago
  bool operator==(const Endpoint&) const = default;
};

/// The changes up to a version, or the complete list at that version.
struct Update {
  std::string series{};  ///< only versions of the same series can be compared
  std::int64_t version = 0;
  bool complete = false;  ///< whether endpoints that are not in `entries` do not exist
  std::vector<Endpoint> entries{};
};

class EndpointRegistry {
 public:
  /// `max_changes` is the number of changes that are kept for readers.
  explicit EndpointRegistry(std::string series, std::size_t max_changes = 10000)
      : series_(std::move(series)), max_changes_(max_changes) {}

  /// Adds or replaces an endpoint. This and the next two functions return whether anything changed.
  bool put(const Endpoint& entry);
  bool set_phase(const std::string& name, EndpointPhase phase);
  /// Removes an endpoint. Readers get it as a change with phase `removed`.
  bool remove(const std::string& name);

  std::int64_t version() const { return version_; }
  std::size_t size() const { return entries_.size(); }
  /// The last change of each endpoint since a version, or the complete list if the kept changes do
  /// not go back that far or the series differs.
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

/// Encodes an update as JSON, the format on the wire and in the endpoint cache.
std::string encode(const Update& update);
/// Decodes an update. Throws json::DecodeError with the name of the field.
Update decode(const std::string& text);
/// Decodes endpoints in the format of encode(), separated by commas. Throws json::DecodeError with
/// the name of the field.
std::vector<Endpoint> decode_endpoints(const std::string& text);

}  // namespace robinhoist::registry
