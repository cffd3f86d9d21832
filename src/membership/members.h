// Which proxies there are, and against how many of them votes are counted. Free of I/O and clocks.
//
// An proxy says every third of its lease that it is there. `known` are all that were heard within
// the memory, and at least as many as the settings expect; `live` those whose lease runs. What lets
// traffic on counts against all known: an proxy that can't be heard goes on routing by the cap that
// it was last told, and its silence must not make the others' word weigh more. What holds or sends
// back counts against the live, but never fewer than half of the known: a partition that hides half
// must not keep the rest from sending a release back, and a single proxy that is up first after all
// restarted must not do so alone where several are known.
//
// A name counts once. A process that says that name with another session takes its place, and the
// former one is told that it is not it any more: a restart needs no waiting, and two under one name
// gain nothing.
#pragma once
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::membership {

struct Settings {
  int expected = 1;
  Duration lease{};  // without a word for so long it is not live
  Duration
      memory{};  // and after so long not known; none is forgotten while a release is as a canary
};

// The state of a release as an proxy has acknowledged it.
struct Acknowledged {
  int build = -1, stage = 0;
  double cap = 0;
  std::int64_t version = 0;
  TimePoint at{};
  bool operator==(const Acknowledged& other) const {
    return build == other.build && stage == other.stage && cap == other.cap &&
           version == other.version;
  }
};

struct Member {
  std::string session{};
  TimePoint since{}, heard{};
  bool live = true;
  int restarts = 0;
  std::optional<Acknowledged> acknowledged{};
};

enum class Heard { fresh, renewed, restarted, superseded };

class Members {
 public:
  explicit Members(const Settings& settings) : settings_(settings) {}

  // Inputs. A heartbeat of a session that has been taken over says `superseded` and changes
  // nothing.
  Heard heard(const std::string& name, const std::string& session, TimePoint now);
  // False unless that session is the one that holds the name.
  bool acknowledges(const std::string& name, const std::string& session, const Acknowledged& what);
  // It has said that it leaves.
  bool leaves(const std::string& name, const std::string& session);
  void canary_running(bool on) { canary_running_ = on; }

  // Decisions. Notes whose lease has ended and who is forgotten; true when a count has changed.
  bool tick(TimePoint now);
  std::optional<TimePoint> next_look() const;
  int known() const;
  int live() const;
  // Against how many a share is counted.
  int to_go_on() const { return known(); }
  int to_go_back() const;
  // Whether a vote by that name stands: one that can't say which session it is has no voice.
  bool votes(const std::string& name, const std::string& session) const;

  const std::map<std::string, Member>& all() const { return members_; }

 private:
  Settings settings_;
  std::map<std::string, Member> members_{};
  std::map<std::string, std::string>
      former_{};  // sessions that were taken over, by name: the last one
  bool canary_running_ = false;
};

const char* to_string(Heard heard);

}  // namespace robinhoist::membership
