/// Which proxies there are, and of how many of them the shares of votes are taken. Free of I/O and
/// clocks; not thread safe.
///
/// A proxy sends a heartbeat every third of its lease. Known are all whose last heartbeat is not
/// older than the retention time, and at least as many as the settings expect; live are those whose
/// lease runs. Votes to promote are counted against all known proxies: one that can't reach the
/// controller goes on routing by the cap it was last notified of, and its silence must not make the
/// others' votes weigh more. Votes to hold or to roll back are counted against the live ones, but
/// never fewer than half of the known: a partition that hides half must not keep the rest from
/// rolling back, and after a restart of all, the first proxy that is up must not do so alone.
///
/// A name counts once. A process that uses the name with another incarnation id replaces the one
/// before, which is told so by `superseded`: a restart needs no waiting, and two processes under
/// one name gain nothing.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::membership {

/// How long a silent proxy counts.
struct Settings {
  /// How many proxies there are at least.
  int expected = 1;
  /// A proxy without a heartbeat for this long is not live.
  Duration lease{};
  /// A proxy without a heartbeat for this long is forgotten; none is while a canary runs.
  Duration retention{};
};

/// The state of a release that a proxy has acknowledged to go by.
struct Acknowledgement {
  int build = -1;
  int stage = 0;
  double cap = 0;
  std::int64_t version = 0;
  TimePoint at{};
};

/// What is known of one proxy.
struct Member {
  /// The id that the present process has given itself.
  std::string incarnation{};
  /// When that process was first heard from.
  TimePoint since{};
  TimePoint last_heartbeat{};
  bool live = true;
  int restarts = 0;
  std::optional<Acknowledgement> acknowledged{};
};

/// `joined`: the name was not known. `superseded`: another process has replaced the sender.
enum class HeartbeatResult { joined, renewed, restarted, superseded };

const char* to_string(HeartbeatResult result);

/// The proxies and their leases.
class Membership {
 public:
  explicit Membership(const Settings& settings) : settings_(settings) {}

  /// Notes a sign of life. One of a superseded incarnation changes nothing.
  HeartbeatResult heartbeat(const std::string& name, const std::string& incarnation, TimePoint now);
  /// Notes what a proxy has acknowledged; one that is late or repeated changes nothing. False
  /// unless the incarnation is the one that holds the name.
  bool acknowledge(const std::string& name, const std::string& incarnation,
                   const Acknowledgement& acknowledgement);
  /// Forgets a proxy that shuts down. False unless the incarnation is the one that holds the name.
  bool leave(const std::string& name, const std::string& incarnation);
  void set_canary_running(bool running) { canary_running_ = running; }

  /// Ends leases and forgets proxies that are due; true when the count of either has changed.
  bool expire(TimePoint now);
  /// When expire() is due next; nothing when no lease runs.
  std::optional<TimePoint> next_check_at() const;

  int known() const;
  int live() const;
  /// Of how many proxies the share of votes to promote is taken.
  int promotion_electorate() const { return known(); }
  /// The same for votes to hold and to roll back.
  int rollback_electorate() const;
  /// Whether a vote by that name and incarnation counts.
  bool may_vote(const std::string& name, const std::string& incarnation) const;

  /// The proxies by name.
  const std::map<std::string, Member>& all() const { return members_; }

 private:
  Member* find(const std::string& name, const std::string& incarnation);

  Settings settings_;
  std::map<std::string, Member> members_{};
  std::map<std::string, std::string> superseded_{};  // by name: the last incarnation replaced
  bool canary_running_ = false;
};

}  // namespace robinhoist::membership
