/// The state machine of the release controller. One release at a time advances through its stages
/// over the slots of the fleet, either on a timer or by the proxies' votes, and is rolled back when
/// enough proxies vote for a rollback. Performs no I/O and reads no clock: input functions record
/// events, and next_command() makes the decisions and returns one command at a time until none is
/// left. Not thread safe.
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

/// A change of a release's phase or stage, or an operator's hold or resume, with its reason.
struct Change {
  TimePoint at;
  int build;
  int stage;
  ReleasePhase phase;
  std::string why;
};

/// Whether the migration steps required by a stage allow it to begin.
enum class Gate { closed, open };

/// The numbers of proxies that vote thresholds are computed from.
struct Electorate {
  /// For votes to promote.
  int promote;
  /// For votes to hold or to roll back.
  int roll_back;
};

/// The rollout of releases over one fleet. All times come from one monotonic clock of the host.
class Rollout {
 public:
  /// A fleet that runs `build` in all its slots; the ids of the first machines are the slot
  /// numbers.
  Rollout(const Settings& settings, int slots, int build, int proxies);
  /// Resumes from a snapshot. Commands that were not confirmed are issued again.
  Rollout(const Settings& settings, int slots, int proxies, const RolloutState& state,
          TimePoint now);
  /// A snapshot from which a later process can resume.
  RolloutState state(TimePoint now) const;

  /// Queues a build; a canary in progress is rolled back first. Returns the reason for rejection if
  /// the build is not newer than all earlier ones.
  std::optional<std::string> submit(int build, TimePoint now);
  /// Records that a machine that was commanded to start is up.
  void machine_started(int id, TimePoint now) { machines_.mark_started(id, now); }
  /// Records that a machine has stopped, on command or on its own. A machine that stopped on its
  /// own is expected to restart with the same id.
  void machine_stopped(int id, TimePoint now) { machines_.mark_stopped(id, now); }
  /// Records a vote. `ok`: the vote counts. `obsolete`: it is not for the current build or stage,
  /// or does not apply in this phase or promotion mode. `rejected`: the vote rate limit is
  /// exceeded.
  Outcome vote(const std::string& proxy, int build, int stage, Verdict verdict, TimePoint now);
  void set_electorate(Electorate electorate) { electorate_ = electorate; }
  /// An operator's hold, which votes can't lift. hold() and resume() return false if they change
  /// nothing.
  bool hold(const std::string& why, TimePoint now) { return set_hold(true, "held: " + why, now); }
  bool resume(const std::string& why, TimePoint now) {
    return set_hold(false, "resumed: " + why, now);
  }
  /// An operator's rollback. Returns false if the release can't, or can no longer, be rolled back.
  bool roll_back(const std::string& why, TimePoint now);
  /// Opens or closes the gate of a stage. A stage does not begin while its gate is closed.
  void set_gate(int build, int stage, Gate gate) { gates_[{build, stage}] = gate; }

  /// The next command for the orchestrator, if there is one now.
  std::optional<Command> next_command(TimePoint now);
  /// The latest time at which to call next_command() again; no value if only an input can change
  /// the state.
  std::optional<TimePoint> next_check_at(TimePoint now) const;

  /// The state of the current release to publish to the proxies.
  ReleaseUpdate release_update(TimePoint now) const;
  /// Increases with every change of release_update().
  int version() const { return version_; }
  const std::map<int, Machine>& machines() const { return machines_.all(); }
  /// The most recent changes, oldest first.
  const std::vector<Change>& changes() const { return changes_; }
  /// The unexpired votes on the current release, by proxy.
  std::map<std::string, Vote> standing_votes(TimePoint now) const {
    return votes_.standing(build_, now);
  }
  /// Whether the canary is held by an operator or by votes.
  bool on_hold(TimePoint now) const;
  int newest_build() const { return newest_build_; }
  std::optional<int> queued_build() const { return queued_build_; }
  /// The build that was released before the current one.
  int baseline() const { return baseline_; }
  /// The stage that receives traffic; -1 if none does yet.
  int active_stage() const;
  /// Whether the current release is a canary, or is within its rollback window, so that votes or an
  /// operator can still roll it back.
  bool can_roll_back(TimePoint now) const;
  /// How long the most recently begun stage waited for its gate.
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
  void enter_phase(ReleasePhase phase, int stage, const std::string& why, TimePoint now);
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
  bool stage_started_ = false;  // start commands for its machines were issued
  TimePoint stage_started_at_{};
  std::optional<TimePoint> stage_clock_start_{};
  Duration hold_time_{};  // total time on hold since the stage clock started
  bool held_by_operator_ = false;
  TimePoint decided_at_{};

  std::map<StageId, Gate> gates_{};
  std::optional<TimePoint> gate_wait_since_{};
  Duration gate_wait_{};

  std::vector<Change> changes_{};
  int version_ = 1;
};

}  // namespace robinhoist::rollout
