/// The state machine of the release controller. One release at a time advances through its stages
/// over the slots of the fleet, by a clock or by the proxies' votes, and is rolled back when enough
/// of them vote for that. Free of I/O and clocks: the inputs note what has happened, next_command()
/// decides and hands out one command at a time until there is none. Not thread safe.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "policy/release.h"
#include "policy/request.h"
#include "rollout/machine_set.h"
#include "rollout/rollout_state.h"
#include "rollout/settings.h"
#include "rollout/vote_tally.h"
#include "time/time_types.h"

namespace robinhoist::rollout {

/// A change of a release's phase or stage, or a hold by an operator, and the reason for it.
struct Change {
  TimePoint at;
  int build;
  int stage;
  ReleasePhase phase;
  std::string why;
};

/// Whether a stage may begin as far as its migration steps go.
enum class Gate { closed, open };

/// Of how many proxies the shares of votes are taken.
struct Electorate {
  int promote;
  /// Also for votes to hold.
  int roll_back;
};

/// The rollout of releases over one fleet. All times are of the host's run clock and never go back.
class Rollout {
 public:
  /// A fleet that runs `build` in all its slots; the first machines' ids are the slots' numbers.
  Rollout(const Settings& settings, int slots, int build, int proxies);
  /// Resumes from a snapshot. What had been commanded and not confirmed is commanded again.
  Rollout(const Settings& settings, int slots, int proxies, const RolloutState& state,
          TimePoint now);
  /// The snapshot from which a later process can resume.
  RolloutState state(TimePoint now) const;

  /// Queues a build; a canary that is under way is rolled back first. Returns why not, when the
  /// build is not newer than all before it.
  std::optional<std::string> submit(int build, TimePoint now);
  /// A machine that was commanded to start is up.
  void machine_started(int id, TimePoint now) { machines_.started(id, now); }
  /// A machine has ended, as commanded or by itself. One that ended by itself is expected back
  /// under its id.
  void machine_stopped(int id, TimePoint now) { machines_.stopped(id, now); }
  /// `ok`: the vote stands. `obsolete`: not on the present build or stage, or without a meaning in
  /// this phase or mode. `rejected`: too many votes.
  Outcome vote(const std::string& proxy, int build, int stage, Verdict verdict, TimePoint now);
  void set_electorate(Electorate electorate) { electorate_ = electorate; }
  /// An operator's hold, which no vote lifts. False when there is nothing to change.
  bool hold(const std::string& why, TimePoint now) { return set_hold(true, "held: " + why, now); }
  bool resume(const std::string& why, TimePoint now) {
    return set_hold(false, "resumed: " + why, now);
  }
  /// An operator's rollback. False when the release can't be rolled back (any more).
  bool roll_back(const std::string& why, TimePoint now);
  /// A stage does not begin while its gate is closed.
  void set_gate(int build, int stage, Gate gate) { gates_[{build, stage}] = gate; }

  /// The next command for the machines; nothing when there is none to give now.
  std::optional<Command> next_command(TimePoint now);
  /// When next_command() should be asked again at the latest; nothing while only an input can
  /// change anything.
  std::optional<TimePoint> next_check_at(TimePoint now) const;

  /// The present release as the proxies shall know it.
  ReleaseUpdate release_update(TimePoint now) const;
  /// Grows with each change of release_update().
  int version() const { return version_; }
  const std::map<int, Machine>& machines() const { return machines_.all(); }
  /// The last changes, oldest first.
  const std::vector<Change>& changes() const { return changes_; }
  /// The votes on the present release that have not expired, by proxy.
  std::map<std::string, Vote> standing_votes(TimePoint now) const {
    return votes_.standing(build_, now);
  }
  /// Whether the canary is on hold, by an operator or by votes.
  bool on_hold(TimePoint now) const;
  int newest_build() const { return newest_build_; }
  std::optional<int> queued_build() const { return queued_build_; }
  /// The build that was released before the present one.
  int baseline() const { return baseline_; }
  /// The stage that takes traffic; -1 when none does yet.
  int active_stage() const;
  /// Whether the present release is a canary, or released so recently that votes or an operator
  /// may still roll it back.
  bool can_roll_back(TimePoint now) const;
  /// How long the stage that began last had waited for its gate.
  Duration gate_wait() const { return gate_wait_; }
  /// The final phases of earlier builds.
  const std::map<int, ReleasePhase>& past_outcomes() const { return past_outcomes_; }

 private:
  struct StageId {
    int build;
    int stage;
    friend bool operator<(const StageId& a, const StageId& b) {
      return std::tie(a.build, a.stage) < std::tie(b.build, b.stage);
    }
  };

  bool set_hold(bool held, const std::string& change, TimePoint now);
  bool accepts(int stage, Verdict verdict, TimePoint now) const;
  void decide(TimePoint now);
  void decide_canary(TimePoint now);
  void begin_stage(TimePoint now);
  void start_stage_clock_when_ready(TimePoint now);
  void advance_stage(TimePoint now);
  bool stage_is_over(TimePoint now) const;
  void begin_rollback(const std::string& why, TimePoint now);
  bool roll_back_by_votes(const std::string& reason_suffix, TimePoint now);
  void continue_rollback(TimePoint now);
  void drain_replaced_machines(TimePoint now);
  void start_queued_release(TimePoint now);
  void enter(ReleasePhase phase, int stage, const std::string& why, TimePoint now);
  void add_hold_time(TimePoint now);
  int count_votes(Verdict verdict, TimePoint now) const;
  int stage_machines(int stage) const;
  bool gate_is_open(int stage) const;
  bool passes_gate(int stage, TimePoint now);

  Settings settings_;
  Electorate electorate_;
  MachineSet machines_;
  VoteTally votes_;

  int baseline_;
  int build_;
  int newest_build_;
  std::optional<int> queued_build_{};
  std::map<int, ReleasePhase> past_outcomes_{};

  ReleasePhase phase_ = ReleasePhase::released;
  TimePoint phase_since_{};
  int stage_ = 0;
  bool stage_started_ = false;  // its machines were commanded to start
  TimePoint stage_started_at_{};
  std::optional<TimePoint> stage_clock_start_{};
  Duration hold_time_{};  // since the stage's clock started
  bool held_by_operator_ = false;
  TimePoint decided_at_{};

  std::map<StageId, Gate> gates_{};
  std::optional<TimePoint> gate_wait_since_{};
  Duration gate_wait_{};

  std::vector<Change> changes_{};
  int version_ = 1;
};

}  // namespace robinhoist::rollout
