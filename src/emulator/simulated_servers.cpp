#include "emulator/simulated_servers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace robinhoist::emulator {
namespace {

constexpr Duration shared_slowdown_interval = std::chrono::milliseconds(10);
constexpr Duration shared_slowdown_window = std::chrono::seconds(1);

}  // namespace

SimulatedServers::SimulatedServers(Simulation& simulation, Fleet& fleet,
                                   SimulatedRegistry& registry)
    : simulation_(simulation), fleet_(fleet), registry_(registry) {
  for (int slot = 0; slot < simulation.day.server_slots; ++slot)
    speeds_.push_back(1 + simulation.day.speed_spread * (2 * simulation.uniform_sample() - 1));
}

const machine::Build& SimulatedServers::build(int number) const {
  for (const day::ScheduledRelease& release : simulation_.day.releases)
    if (release.build.number == number)
      return release.build;
  return simulation_.day.initial_build;
}

bool SimulatedServers::is_running(const Machine& machine) const {
  return machine.server >= 0 && fleet_.is_running(machine.server);
}

void SimulatedServers::execute(const rollout::Command& command) {
  if (command.kind == rollout::CommandKind::start) {
    start(command);
    return;
  }
  const auto found = machines_.find(command.machine);
  if (found == machines_.end())
    return;
  found->second.draining = true;
  if (command.kind == rollout::CommandKind::drain) {
    if (found->second.listed)
      list(command.machine);
    return;
  }
  stop(command.machine, false);
  machines_.erase(command.machine);
  on_stopped(command.machine);
}

void SimulatedServers::start(const rollout::Command& command) {
  const day::Scenario& day = simulation_.day;
  machines_[command.machine] = {.name = "node-" + std::to_string(command.machine),
                                .slot = command.slot,
                                .build = command.build};
  const bool is_initial =
      command.build == day.initial_build.number && command.machine < day.server_slots;
  if (is_initial) {
    boot(command.machine, false);
    return;
  }
  simulation_.engine.in(simulation_.sample_between(day.min_boot_time, day.max_boot_time),
                        [this, machine = command.machine] { boot(machine, true); });
}

void SimulatedServers::boot(int machine, bool cold) {
  const auto found = machines_.find(machine);
  if (found == machines_.end() || is_running(found->second))
    return;
  const day::Scenario& day = simulation_.day;
  Machine& booting = found->second;
  ServerSpec spec;
  spec.name = booting.name;
  spec.zone = static_cast<int>(booting.slot % day.deployment.zones.size());
  spec.cell = booting.slot / day.cell_size;
  spec.capacity = day.capacity;
  spec.capacity.speed *= speeds_[booting.slot];
  spec.build = build(booting.build);
  spec.cold = cold;
  booting.server = fleet_.start(spec);
  server_of_[booting.name] = booting.server;
  list(machine);
  on_started(machine);
}

void SimulatedServers::list(int machine) {
  const day::Scenario& day = simulation_.day;
  Machine& listed = machines_.at(machine);
  registry::Endpoint endpoint;
  endpoint.name = listed.name;
  endpoint.address = std::to_string(listed.server);
  endpoint.zone = day.deployment.zones[listed.slot % day.deployment.zones.size()];
  endpoint.cell = listed.slot / day.cell_size;
  endpoint.build = listed.build;
  endpoint.phase = listed.draining ? EndpointPhase::draining : EndpointPhase::ready;
  endpoint.started = fleet_.started(listed.server);
  listed.listed = true;
  registry_.put(endpoint);
}

void SimulatedServers::stop(int machine, bool silently) {
  Machine& stopping = machines_.at(machine);
  stopping.listed = false;
  if (!silently) {
    if (stopping.server >= 0)
      fleet_.kill(stopping.server);
    registry_.remove(stopping.name);
    return;
  }
  fleet_.hang(stopping.server);
  simulation_.engine.in(simulation_.day.silent_removal_delay,
                        [this, machine, name = stopping.name] {
                          const auto found = machines_.find(machine);
                          if (found == machines_.end() || !found->second.listed)
                            registry_.remove(name);
                        });
}

void SimulatedServers::crash(int machine, bool silently) {
  stop(machine, silently);
  on_stopped(machine);
}

void SimulatedServers::recover(int machine) {
  const auto found = machines_.find(machine);
  if (found == machines_.end())
    return;
  if (found->second.server >= 0)
    fleet_.kill(found->second.server);
  boot(machine, true);
}

std::vector<int> SimulatedServers::pick(double share) {
  std::vector<int> running;
  for (const auto& [id, machine] : machines_)
    if (is_running(machine) && !machine.draining)
      running.push_back(id);
  std::shuffle(running.begin(), running.end(), simulation_.random);
  const auto wanted =
      static_cast<std::size_t>(std::floor(share * static_cast<double>(running.size()) + 0.5));
  running.resize(std::min(running.size(), std::max<std::size_t>(1, wanted)));
  return running;
}

void SimulatedServers::for_each_running(const std::vector<int>& machines,
                                        const std::function<void(int)>& function) const {
  for (const int id : machines) {
    const auto found = machines_.find(id);
    if (found != machines_.end() && is_running(found->second))
      function(found->second.server);
  }
}

void SimulatedServers::for_each(const std::vector<int>& machines,
                                const std::function<void(int)>& function) const {
  for (const int id : machines) {
    const auto found = machines_.find(id);
    if (found != machines_.end() && found->second.server >= 0)
      function(found->second.server);
  }
}

std::vector<int> SimulatedServers::listed() const {
  std::vector<int> ids;
  for (const auto& [id, machine] : machines_)
    if (machine.listed)
      ids.push_back(id);
  return ids;
}

int SimulatedServers::server_of(const std::string& name) const {
  const auto found = server_of_.find(name);
  return found == server_of_.end() ? -1 : found->second;
}

void SimulatedServers::start_shared_slowdown() {
  double factor = 1;
  for (const day::ScheduledRelease& release : simulation_.day.releases)
    if (release.build.flaw == machine::Flaw::shared)
      factor += (release.build.severity - 1) *
                fleet_.share_of_traffic(release.build.number, shared_slowdown_window);
  fleet_.set_shared_slowdown(factor);
  simulation_.engine.in(shared_slowdown_interval, [this] { start_shared_slowdown(); });
}

}  // namespace robinhoist::emulator
