/// Tracks the proxies and computes the numbers that vote thresholds are based on. Performs no I/O,
/// reads no clock and is not thread safe.
///
/// A proxy sends a heartbeat every third of its lease. A proxy is known if its last heartbeat is
/// not older than the retention time; the number of known proxies is at least the expected number
/// from the settings. A proxy is live while its lease has not expired.
///
/// Votes to promote are counted against all known proxies: a proxy that can't reach the controller
/// continues to route by the last cap it received, and its absence must not give more weight to the
/// votes of the others. Votes to hold or to roll back are counted against the live proxies, but
/// against no fewer than half of the known ones: a partition that cuts off half of the proxies must
/// not prevent the rest from rolling back, and after all proxies restart, the first one to come up
/// must not be able to roll back alone.
///
/// Each name counts once. A process that uses a name with a new incarnation id replaces the
/// previous process, which then receives `superseded`. A restarted proxy therefore does not have to
/// wait for its old lease to expire, and two processes with the same name have only one vote.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::membership {

/// The expected number of proxies, and how long a proxy counts without heartbeats.
struct Settings {
  /// The minimum number of proxies to assume.
  int expected = 1;
  /// A proxy without a heartbeat for this long is not live.
  Duration lease{};
  /// A proxy without a heartbeat for this long is removed, but not while a canary runs.
  Duration retention{};
};

/// The state of a release that a proxy has acknowledged and routes by.
struct Acknowledgement {
  int build = -1;
  int stage = 0;
  double cap = 0;
  std::int64_t version = 0;
  TimePoint at{};
};

/// The state of one proxy.
struct Member {
  /// The incarnation id that the current process has chosen.
  std::string incarnation{};
  /// The time of the first heartbeat of that process.
  TimePoint since{};
  TimePoint last_heartbeat{};
  bool live = true;
  int restarts = 0;
  std::optional<Acknowledgement> acknowledged{};
};

/// `joined`: the name was unknown. `superseded`: another process has replaced the sender.
enum class HeartbeatResult { joined, renewed, restarted, superseded };

const char* to_string(HeartbeatResult result);

/// The proxies and their leases.
class Membership {
 public:
  explicit Membership(const Settings& settings) : settings_(settings) {}

  /// Records a heartbeat and renews the lease. A heartbeat of a superseded incarnation has no
  /// effect.
  HeartbeatResult heartbeat(const std::string& name, const std::string& incarnation, TimePoint now);
  /// Records the release state that a proxy acknowledges; a stale or duplicate acknowledgement has
  /// no effect. Returns false unless the incarnation currently holds the name.
  bool acknowledge(const std::string& name, const std::string& incarnation,
                   const Acknowledgement& acknowledgement);
  /// Removes a proxy that shuts down. Returns false unless the incarnation currently holds the
  /// name.
  bool leave(const std::string& name, const std::string& incarnation);
  void set_canary_running(bool running) { canary_running_ = running; }

  /// Expires leases and removes proxies that are due; returns true if the number of live or known
  /// proxies has changed.
  bool expire(TimePoint now);
  /// When to call expire() next; no value if no proxy can expire.
  std::optional<TimePoint> next_check_at() const;

  int known() const;
  int live() const;
  /// The number of proxies against which votes to promote are counted.
  int promotion_electorate() const { return known(); }
  /// The number of proxies against which votes to hold and to roll back are counted.
  int rollback_electorate() const;
  /// Whether a vote with this name and incarnation counts.
  bool may_vote(const std::string& name, const std::string& incarnation) const;

  /// The proxies by name.
  const std::map<std::string, Member>& all() const { return members_; }

 private:
  Member* find(const std::string& name, const std::string& incarnation);

  Settings settings_;
  std::map<std::string, Member> members_{};
  std::map<std::string, std::string> superseded_{};  // by name: the last replaced incarnation
  bool canary_running_ = false;
};

}  // namespace robinhoist::membership
