// What an proxy makes of a watch of releases: where the newest release that has begun stands. Free
// of I/O and clocks. Lines may come in pieces, twice or late; a watch that has broken goes on from
// `version`, and one that can't go on begins anew with all that there is.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::releases {

class Follower {
 public:
  enum class Line { none, taken, begin_anew, senseless };

  // A new answer begins: what was half read is dropped. `anew`: it tells all that there is, up to a
  // bookmark.
  void begins(bool anew);
  // Takes whole lines from the front of a body, one a call: none when there is no whole one.
  Line take(std::string& body, TimePoint now);
  // The release to go by, and whether it differs from the last that was asked for.
  struct Heard {
    ReleaseUpdate release;
    std::int64_t version;
    std::string name;
  };
  std::optional<Heard> news(TimePoint now);

  bool synced() const { return synced_; }
  std::int64_t version() const { return version_; }
  const std::string& series() const { return series_; }

 private:
  struct Known {
    ReleaseUpdate release{};
    bool begun = false;
    TimePoint since{};  // when its state began, by our own clock
    std::int64_t version = 0;
  };
  Line read(const std::string& line, TimePoint now);

  std::map<std::string, Known> known_{},
      fresh_{};  // fresh_: as an answer that begins anew fills it
  std::int64_t version_ = 0;
  std::string series_{};
  bool synced_ = false, anew_ = true;
  std::optional<Known> told_{};
  std::string told_name_{};
};

}  // namespace robinhoist::releases
