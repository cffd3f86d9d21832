/// The machines of a rollout, one or more for each slot of the fleet, and the commands that whoever
/// runs the machines has still to be given. Free of I/O and clocks.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::rollout {

/// `ordered`: commanded to start, and not up yet.
enum class MachinePhase { ordered, up, draining, gone };

/// A machine that runs one build in one slot of the fleet.
struct Machine {
  int slot;
  int build;
  MachinePhase phase;
  /// When the phase began.
  TimePoint since;
};

/// Whether a machine serves, or will once it has started.
bool is_active(const Machine& machine);

enum class CommandKind { start, drain, stop };

/// The name of a kind in the API and in logs.
const char* to_string(CommandKind kind);

/// What whoever runs the machines is to do with one of them.
struct Command {
  CommandKind kind;
  int machine;
  int slot;
  int build;
};

/// Machines by id, and the queue of commands that bring them where they shall be.
class MachineSet {
 public:
  /// Every slot starts with `build`; the ids of these machines are the slots' numbers.
  MachineSet(int slots, int build);
  /// Resumes with machines that were saved. What had been commanded and not confirmed is commanded
  /// again.
  MachineSet(int slots, int next_id, std::map<int, Machine> machines, TimePoint now);

  /// Notes that a machine is up. Ignored unless it was commanded to start.
  void started(int id, TimePoint now);
  /// Notes that a machine has ended. One that was not draining is expected back under its id.
  void stopped(int id, TimePoint now);

  /// Commands a new machine to start.
  void start(int slot, int build, TimePoint now);
  /// Starts machines of `build` until `count` slots have one, spread over the slots so that each
  /// zone gets its part.
  void start_spread(int count, int build, TimePoint now);
  /// Starts a machine of `build` in every slot that has no active one of it.
  void fill_slots(int build, TimePoint now);
  /// Drains all active machines of `build`.
  void drain_build(int build, TimePoint now);
  /// Drains the machines of other builds in slots where one of `build` is up.
  void drain_replaced(int build, TimePoint now);
  /// Stops each machine that has been draining for `drain_time`.
  void stop_drained(Duration drain_time, TimePoint now);

  /// Takes the next command off the queue.
  std::optional<Command> take_command();
  bool has_commands() const { return !commands_.empty(); }

  int slots() const { return slots_; }
  int next_id() const { return next_id_; }
  const std::map<int, Machine>& all() const { return machines_; }
  /// How many machines of a build are up.
  int count_up(int build) const;
  /// Whether there is any machine of a build, in whatever phase.
  bool has_build(int build) const;
  bool any_draining() const;
  /// When the phase of one of this build's machines changed last; the zero point when it has none.
  TimePoint last_change(int build) const;

 private:
  std::vector<bool> slots_with_active(int build) const;
  void drain(int id, Machine& machine, TimePoint now);
  void command(CommandKind kind, int id, const Machine& machine);

  int slots_;
  int next_id_;
  std::map<int, Machine> machines_{};
  std::deque<Command> commands_{};
};

}  // namespace robinhoist::rollout
