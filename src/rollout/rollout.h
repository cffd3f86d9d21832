// The core of the release controller: one release at a time goes through its stages over the
// fleet's places, moved by a clock or by proxies' votes, and back when enough of them say so. Free
// of I/O and clocks: inputs note what is known, next(now) hands out one order at a time until there
// is none.
#pragma once
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

// What moves a stage on, and how much of the fleet each holds. Shares are of the fleet's places or
// of all proxies; a threshold is one proxy at least.
struct Settings {
  std::vector<double> stages{};  // share of the places that run the release
  std::vector<double>
      caps{};  // for each stage: the share of an proxy's requests that may go to the release
  PromotionMode promotion_mode = PromotionMode::clock;
  Duration bake{};         // a stage lasts so long at least, from its clock's start
  Duration step{};         // under the clock: a stage's time, holds apart
  Duration settle{};       // the clock starts so long after the stage's machines all run,
  Duration launch_most{};  // and so long after they were ordered at the latest
  Duration drain{};        // a machine that drains is stopped after this
  Duration vote_lifetime{};
  double votes_to_promote = 0, votes_to_hold = 0, votes_to_roll_back = 0;  // shares of all proxies
  double votes_per_s = 0;  // votes taken from all; twice as many in a burst
  Duration back_for{};     // a release can be rolled back for so long after it is out; 0: until the
                           // next is offered
  bool gated = false;  // a stage waits until its gate has been opened; else until it has been shut
  bool in_place =
      false;  // each earlier machine drains once its successor runs; else all at the release
};

enum class MachinePhase { ordered, up, draining, gone };

struct Machine {
  int place, build;
  MachinePhase phase;
  TimePoint since;
};

enum class OrderKind { start, drain, stop };
struct Order {
  OrderKind kind;
  int machine;
  int place, build;
};

struct Vote {
  int build, stage;
  Verdict verdict;
  TimePoint until;
};

// What became of a release and why, for whoever asks; one line for each change.
struct Change {
  TimePoint at;
  int build, stage;
  ReleasePhase phase;
  std::string why;
};

// What must outlive the controller's process. Clocks of a stage and votes do not: a stage that goes
// on after a restart lasts its whole time again, and proxies renew their votes.
struct Kept {
  int build = -1, stage = 0, baseline = -1, newest_offered = 0, next_machine = 0, version = 1;
  ReleasePhase phase = ReleasePhase::released;
  Duration since{};  // in this phase, when it was kept
  bool begun = false, operator_holds = false;
  std::optional<int> queued{};
  std::map<int, Machine> machines{};
  std::map<int, ReleasePhase> fates{};
};
std::string encoded(const Kept& kept);       // JSON
Kept decoded_kept(const std::string& text);  // throws json::DecodeError

class Rollout {
 public:
  // The fleet starts with all places on `build`, machine ids being the places' numbers.
  Rollout(const Settings& settings, int places, int build, int proxies);

  // Goes on from what was kept: what was ordered and not confirmed is ordered again.
  Rollout(const Settings& settings, int places, int proxies, const Kept& kept, TimePoint now);
  Kept kept(TimePoint now) const;

  // Inputs.
  // Refused, with the reason, unless the build is newer than any offered so far.
  std::optional<std::string> offer(int build, TimePoint now);
  void machine_up(int machine, TimePoint now);
  // It has ended: as ordered, or by itself. One that ended by itself is expected back under the
  // same id.
  void machine_gone(int machine, TimePoint now);
  // ok: it stands; moot: not the present build or stage, or no such verdict here; full: too many
  // calls.
  Outcome vote(const std::string& proxy, int build, int stage, Verdict verdict, TimePoint now);
  // Against how many shares are counted: of those that move a stage on, and of those that hold or
  // send back.
  void proxies(int to_go_on, int to_go_back) {
    proxies_ = to_go_on, rollback_proxies_ = to_go_back;
  }
  // An operator's word stands above votes: held until resumed.
  bool hold(bool on, const std::string& why, TimePoint now);
  bool back(const std::string& why, TimePoint now);
  // While a stage's gate is shut it does not start: what must be done first is not done.
  void gate_open(int build, int stage, bool open) { gates_[{build, stage}] = open; }

  // Decisions.
  std::optional<Order> next(TimePoint now);
  std::optional<TimePoint> next_look(TimePoint now) const;

  // What is known.
  ReleaseUpdate news(TimePoint now) const;
  int version() const { return version_; }  // grows with each change of news
  const std::map<int, Machine>& machines() const { return machines_; }
  const std::vector<Change>& changes() const { return changes_; }
  std::map<std::string, Vote> votes(TimePoint now) const;
  bool held(TimePoint now) const;
  int newest_offered() const { return newest_offered_; }
  std::optional<int> queued() const { return queued_; }
  bool clock_runs() const { return clock_at_ != long_ago; }
  int baseline() const { return baseline_; }
  // The stage that takes traffic; -1: none yet.
  int running_stage() const {
    return begun_ || phase_ != ReleasePhase::canary ? stage_ : stage_ - 1;
  }
  bool can_go_back(TimePoint now) const;
  // How long the stage that started last had been due, for its gate was shut.
  Duration gate_waited() const { return gate_waited_; }
  // What became of builds offered before the present one.
  const std::map<int, ReleasePhase>& fates() const { return fates_; }
  int needed(double share) const { return needed(share, proxies_); }
  static int needed(double share, int proxies);  // votes, one at least

 private:
  int standing(Verdict verdict, TimePoint now) const;
  void enter(ReleasePhase phase, int stage, const std::string& why, TimePoint now);
  void want(int place, int build, TimePoint now);
  void tick(TimePoint now);
  void begin_stage(TimePoint now);
  void go_back(const std::string& why, TimePoint now);
  int running(int build, bool up_only) const;
  int target(int stage) const;
  bool gate(int stage) const;
  bool passes(int stage, TimePoint now);

  Settings settings_;
  int places_, baseline_, proxies_, rollback_proxies_;
  int build_ = -1, stage_ = 0;  // the release last offered; -1: none yet
  ReleasePhase phase_ = ReleasePhase::released;
  Duration held_for_{};
  TimePoint phase_at_{}, clock_at_ = long_ago, ordered_at_{}, ticked_at_{};
  bool operator_holds_ = false, begun_ = false;
  std::optional<int> queued_{};
  int newest_offered_, next_machine_;
  std::map<int, Machine> machines_{};
  std::deque<Order> orders_{};
  std::map<std::string, Vote> votes_{};
  std::map<std::pair<int, int>, bool> gates_{};
  std::optional<TimePoint> due_since_{};
  Duration gate_waited_{};
  std::vector<Change> changes_{};
  std::map<int, ReleasePhase> fates_{};
  double tokens_ = 0;
  TimePoint tokens_at_{};
  int version_ = 1;
};

}  // namespace robinhoist::rollout
