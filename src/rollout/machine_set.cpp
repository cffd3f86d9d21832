#include "rollout/machine_set.h"

#include <algorithm>
#include <chrono>

namespace robinhoist::rollout {
namespace {

// A stop command is not repeated before this interval has passed.
constexpr auto stop_repeat_interval = std::chrono::hours(1000);

// Slots are visited with a prime stride, so that machines are not started only in neighbouring
// slots, which share a zone.
constexpr long slot_stride = 7;
constexpr long first_slot = 3;

}  // namespace

bool is_active(const Machine& machine) {
  return machine.phase == MachinePhase::starting || machine.phase == MachinePhase::up;
}

const char* to_string(CommandKind kind) {
  static const char* const names[] = {"start", "drain", "stop"};
  return names[static_cast<int>(kind)];
}

MachineSet::MachineSet(int slots, int build) : slots_(slots), next_id_(0) {
  for (int slot = 0; slot < slots; ++slot)
    start(slot, build, TimePoint{});
}

MachineSet::MachineSet(int slots, int next_id, std::map<int, Machine> machines, TimePoint now)
    : slots_(slots), next_id_(next_id), machines_(std::move(machines)) {
  // Machines in slots that the fleet no longer has are left to the next release.
  for (auto& [id, machine] : machines_) {
    machine.since = now;
    if (machine.phase == MachinePhase::starting)
      enqueue_command(CommandKind::start, id, machine);
    if (machine.phase == MachinePhase::draining)
      enqueue_command(CommandKind::drain, id, machine);
  }
}

void MachineSet::enqueue_command(CommandKind kind, int id, const Machine& machine) {
  commands_.push_back({kind, id, machine.slot, machine.build});
}

std::optional<Command> MachineSet::take_command() {
  if (commands_.empty())
    return {};
  const Command command = commands_.front();
  commands_.pop_front();
  return command;
}

void MachineSet::mark_started(int id, TimePoint now) {
  const auto found = machines_.find(id);
  if (found == machines_.end() || found->second.phase != MachinePhase::starting)
    return;
  found->second.phase = MachinePhase::up;
  found->second.since = now;
}

void MachineSet::mark_stopped(int id, TimePoint now) {
  const auto found = machines_.find(id);
  if (found == machines_.end())
    return;
  Machine& machine = found->second;
  if (machine.phase == MachinePhase::draining || machine.phase == MachinePhase::gone) {
    machines_.erase(found);
    return;
  }
  machine.phase = MachinePhase::starting;
  machine.since = now;
}

void MachineSet::start(int slot, int build, TimePoint now) {
  const int id = next_id_++;
  const Machine machine{slot, build, MachinePhase::starting, now};
  machines_[id] = machine;
  enqueue_command(CommandKind::start, id, machine);
}

void MachineSet::start_spread(int count, int build, TimePoint now) {
  std::vector<bool> taken = slots_with_active(build);
  int running =
      static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& each) {
        return each.second.build == build && is_active(each.second);
      }));
  for (int i = 0; running < count && i < slots_; ++i) {
    int slot = static_cast<int>((i * slot_stride + first_slot) % slots_);
    for (int tries = 0; taken[slot] && tries < slots_; ++tries)
      slot = (slot + 1) % slots_;
    if (taken[slot])
      break;
    taken[slot] = true;
    ++running;
    start(slot, build, now);
  }
}

void MachineSet::fill_slots(int build, TimePoint now) {
  const std::vector<bool> taken = slots_with_active(build);
  for (int slot = 0; slot < slots_; ++slot)
    if (!taken[slot])
      start(slot, build, now);
}

void MachineSet::drain(int id, Machine& machine, TimePoint now) {
  machine.phase = MachinePhase::draining;
  machine.since = now;
  enqueue_command(CommandKind::drain, id, machine);
}

void MachineSet::drain_build(int build, TimePoint now) {
  for (auto& [id, machine] : machines_)
    if (machine.build == build && is_active(machine))
      drain(id, machine, now);
}

bool MachineSet::has_build(int build) const {
  return std::any_of(machines_.begin(), machines_.end(),
                     [&](const auto& each) { return each.second.build == build; });
}

void MachineSet::drain_replaced(int build, TimePoint now) {
  std::vector<bool> replaced(static_cast<std::size_t>(slots_), false);
  for (const auto& [id, machine] : machines_)
    if (machine.build == build && machine.phase == MachinePhase::up)
      replaced[machine.slot] = true;
  for (auto& [id, machine] : machines_)
    if (machine.build != build && is_active(machine) && replaced[machine.slot])
      drain(id, machine, now);
}

void MachineSet::stop_drained(Duration drain_time, TimePoint now) {
  for (auto& [id, machine] : machines_) {
    if (machine.phase != MachinePhase::draining || now < machine.since + drain_time)
      continue;
    machine.since = now + stop_repeat_interval;
    enqueue_command(CommandKind::stop, id, machine);
  }
}

int MachineSet::count_up(int build) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& each) {
    return each.second.build == build && each.second.phase == MachinePhase::up;
  }));
}

bool MachineSet::any_draining() const {
  return std::any_of(machines_.begin(), machines_.end(),
                     [](const auto& each) { return each.second.phase == MachinePhase::draining; });
}

TimePoint MachineSet::last_change(int build) const {
  TimePoint latest{};
  for (const auto& [id, machine] : machines_)
    if (machine.build == build)
      latest = std::max(latest, machine.since);
  return latest;
}

std::vector<bool> MachineSet::slots_with_active(int build) const {
  std::vector<bool> taken(static_cast<std::size_t>(slots_), false);
  for (const auto& [id, machine] : machines_)
    if (machine.build == build && is_active(machine))
      taken[machine.slot] = true;
  return taken;
}

}  // namespace robinhoist::rollout
