/// How a proxy follows the controller's releases by a watch: it keeps the state of each release and
/// says which one to go by. Free of I/O and clocks. Lines may come in pieces, twice or late; a
/// watch that broke resumes from version(), and one that can't begins anew with all releases.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "json/reader.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist::releases {

/// Reads the lines of a watch, one answer after the other.
class Follower {
 public:
  /// `expired`: the controller can't resume this watch, so begin anew. `malformed`: not understood.
  enum class Line { none, accepted, expired, malformed };

  /// Starts to read a new answer; what was half read is dropped. `anew`: the answer lists all
  /// releases first, up to a bookmark.
  void begin(bool anew);
  /// Removes one line from the front of a body and reads it; `none` when no whole line is there.
  Line consume_line(std::string& body, TimePoint now);

  /// The release to go by.
  struct Update {
    ReleaseUpdate release;
    std::int64_t version;
    std::string name;
  };
  /// The newest release that has begun, when it differs from the one returned last.
  std::optional<Update> next_update(TimePoint now);

  /// Whether all releases have been listed once.
  bool synced() const { return synced_; }
  std::int64_t version() const { return version_; }
  /// Identifies the sequence that the versions belong to.
  const std::string& series() const { return series_; }

 private:
  struct KnownRelease {
    ReleaseUpdate release{};
    bool begun = false;
    TimePoint since{};  // when its state began, by this process's clock
    std::int64_t version = 0;
  };
  Line read_line(const std::string& line, TimePoint now);
  void read_bookmark(const json::Value& event);
  void read_event(const json::Value& event, TimePoint now);
  static KnownRelease read_release(const json::Value& event, TimePoint now);

  std::map<std::string, KnownRelease> known_{};     // by name
  std::map<std::string, KnownRelease> incoming_{};  // what an answer that begins anew has listed
  std::int64_t version_ = 0;
  std::string series_{};
  bool synced_ = false;
  bool listing_ = true;  // the answer has not come to its first bookmark
  std::optional<KnownRelease> current_{};
  std::string current_name_{};
};

}  // namespace robinhoist::releases
