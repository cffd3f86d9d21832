/// The machines of a rollout, one or more per slot of the fleet, and the queue of commands for the
/// orchestrator that starts and stops them. Performs no I/O and reads no clock.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::rollout {

/// `starting`: commanded to start, not up yet. The journal stores the numeric values.
enum class MachinePhase { starting, up, draining, gone };

/// A machine that runs one build in one slot of the fleet.
struct Machine {
  int slot;
  int build;
  MachinePhase phase;
  /// Start of the current phase.
  TimePoint since;
};

/// Whether a machine is starting or up.
bool is_active(const Machine& machine);

enum class CommandKind { start, drain, stop };

/// The name of a command kind in the API and in logs.
const char* to_string(CommandKind kind);

/// An instruction to the orchestrator concerning one machine.
struct Command {
  CommandKind kind;
  int machine;
  int slot;
  int build;
};

/// The machines by id, and the commands that bring them to their target state.
class MachineSet {
 public:
  /// Starts one machine of `build` in every slot; the ids of these machines are the slot numbers.
  MachineSet(int slots, int build);
  /// Restores saved machines. Start and drain commands that were not confirmed are issued again.
  MachineSet(int slots, int next_id, std::map<int, Machine> machines, TimePoint now);

  /// Records that a machine is up. Ignored unless the machine is starting.
  void mark_started(int id, TimePoint now);
  /// Records that a machine has stopped. A machine that was not draining is expected to restart
  /// with the same id.
  void mark_stopped(int id, TimePoint now);

  /// Commands a new machine to start.
  void start(int slot, int build, TimePoint now);
  /// Starts machines of `build` until `count` slots have one. The machines are spread over the
  /// slots so that every zone receives its share.
  void start_spread(int count, int build, TimePoint now);
  /// Starts a machine of `build` in every slot without an active machine of that build.
  void fill_slots(int build, TimePoint now);
  /// Drains all active machines of `build`.
  void drain_build(int build, TimePoint now);
  /// Drains the machines of other builds in slots where a machine of `build` is up.
  void drain_replaced(int build, TimePoint now);
  /// Stops each machine that has been draining for `drain_time`.
  void stop_drained(Duration drain_time, TimePoint now);

  /// Removes the next command from the queue and returns it.
  std::optional<Command> take_command();
  bool has_commands() const { return !commands_.empty(); }

  int slots() const { return slots_; }
  int next_id() const { return next_id_; }
  const std::map<int, Machine>& all() const { return machines_; }
  /// The number of machines of a build that are up.
  int count_up(int build) const;
  /// Whether any machine of a build exists, in any phase.
  bool has_build(int build) const;
  bool any_draining() const;
  /// The latest phase change of this build's machines; the zero time point if it has none.
  TimePoint last_change(int build) const;

 private:
  std::vector<bool> slots_with_active(int build) const;
  void drain(int id, Machine& machine, TimePoint now);
  void enqueue_command(CommandKind kind, int id, const Machine& machine);

  int slots_;
  int next_id_;
  std::map<int, Machine> machines_{};
  std::deque<Command> commands_{};
};

}  // namespace robinhoist::rollout
