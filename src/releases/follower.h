/// The proxy's side of a watch on the controller's releases: it tracks the state of each release
/// and selects the one to route by. Performs no I/O and reads no clock. Lines may arrive in pieces,
/// late or more than once. An interrupted watch is resumed from version(); if that is not possible,
/// a new watch starts with a list of all releases.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "json/reader.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::releases {

/// Processes the lines of a sequence of watch responses.
class Follower {
 public:
  /// The result of consume_line(). `none`: no complete line is available. `expired`: the controller
  /// can't resume the watch, so a new one must be started. `malformed`: the line can't be decoded.
  enum class Line { none, accepted, expired, malformed };

  /// Starts to process a new response; a partial list from the previous one is discarded.
  /// `lists_all`: the response begins with all releases, followed by a bookmark.
  void begin(bool lists_all);
  /// Removes the first line from a response body and processes it.
  Line consume_line(std::string& body, TimePoint now);

  /// The release to route by.
  struct Update {
    ReleaseUpdate release;
    std::int64_t version;
    std::string name;
  };
  /// The newest release that has begun, if its state differs from the one returned last.
  std::optional<Update> next_update(TimePoint now);

  /// Whether a complete list of the releases was received.
  bool synced() const { return synced_; }
  std::int64_t version() const { return version_; }
  /// Identifies the sequence that the versions belong to.
  const std::string& series() const { return series_; }

 private:
  struct KnownRelease {
    ReleaseUpdate release{};
    bool begun = false;
    TimePoint since{};  // when its state began, on this process's clock
    std::int64_t version = 0;
  };
  Line read_line(const std::string& line, TimePoint now);
  void read_bookmark(const json::Value& event);
  void read_event(const json::Value& event, TimePoint now);
  static KnownRelease read_release(const json::Value& event, TimePoint now);

  std::map<std::string, KnownRelease> known_{};     // by name
  std::map<std::string, KnownRelease> incoming_{};  // the initial list, while it is received
  std::int64_t version_ = 0;
  std::string series_{};
  bool synced_ = false;
  bool listing_ = true;  // the bookmark after the initial list was not received yet
  std::optional<KnownRelease> current_{};
  std::string current_name_{};
};

}  // namespace robinhoist::releases
