#include "emulator/fault_injector.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>
#include <vector>

#include "time/units.h"

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;
using day::Fault;
using day::FaultKind;

constexpr Duration min_neighbour_interval = 10ms;

int rounded(double value) {
  return static_cast<int>(std::floor(value + 0.5));
}

}  // namespace

void FaultInjector::begin(const Fault& fault) {
  if (!begin_server_fault(fault) && !begin_client_fault(fault))
    begin_other_fault(fault);
}

void FaultInjector::at_end(const Fault& fault, std::function<void()> undo) {
  simulation_.engine.in(fault.duration, std::move(undo));
}

void FaultInjector::draw_delays() {
  draw_registry_delay();
  draw_publish_delay();
}

void FaultInjector::draw_registry_delay() {
  const day::Scenario& day = simulation_.day;
  targets_.registry.set_delay(
      simulation_.sample_between(day.min_registry_delay, day.max_registry_delay));
}

void FaultInjector::draw_publish_delay() {
  const day::Scenario& day = simulation_.day;
  targets_.controller.set_publish_delay(
      simulation_.sample_between(day.min_publish_delay, day.max_publish_delay));
}

// Returns false if it is not a fault of servers.
bool FaultInjector::begin_server_fault(const Fault& fault) {
  Fleet& fleet = targets_.fleet;
  const double size = fault.magnitude;
  switch (fault.kind) {
    case FaultKind::crash:
    case FaultKind::vanish:
      crash_servers(fault);
      return true;
    case FaultKind::slow:
      on_servers(
          fault, [&fleet, size](int server) { fleet.set_slowdown(server, size); },
          [&fleet](int server) { fleet.set_slowdown(server, 1); });
      return true;
    case FaultKind::fast_errors:
      on_servers(
          fault, [&fleet, size](int server) { fleet.set_failure_share(server, size); },
          [&fleet](int server) { fleet.set_failure_share(server, 0); });
      return true;
    case FaultKind::neighbour:
      take_cores(fault);
      return true;
    case FaultKind::connection_squeeze: {
      const day::Scenario& day = simulation_.day;
      const int max_connections =
          static_cast<int>(size * day.deployment.proxies / day.server_slots) + 1;
      on_servers(
          fault,
          [&fleet, max_connections](int server) {
            fleet.limit_connections(server, max_connections);
          },
          [&fleet](int server) { fleet.limit_connections(server, 0); });
      return true;
    }
    case FaultKind::slow_handshakes:
      on_servers(
          fault,
          [&fleet, size](int server) { fleet.set_handshake_delay(server, from_seconds(size)); },
          [&fleet](int server) { fleet.set_handshake_delay(server, 0ms); });
      return true;
    default:
      return false;
  }
}

// Returns false if it is not a fault of clients.
bool FaultInjector::begin_client_fault(const Fault& fault) {
  load::LoadGenerator& load = targets_.clients.load();
  const auto& deployment = simulation_.day.deployment;
  switch (fault.kind) {
    case FaultKind::burst:
      load.set_rate_factor(fault.magnitude);
      at_end(fault, [&load] { load.set_rate_factor(1); });
      return true;
    case FaultKind::hot_caller:
      concentrate_load(fault);
      return true;
    case FaultKind::bad_requests:
      load.set_poison_share(fault.tenant.empty() ? -1 : deployment.tenant_index(fault.tenant),
                            fault.magnitude);
      at_end(fault, [&load] { load.set_poison_share(-1, 0); });
      return true;
    case FaultKind::retry_abuse:
      load.set_retry_abuse(deployment.tenant_index(fault.tenant), static_cast<int>(fault.magnitude),
                           fault.extra);
      at_end(fault, [&load] { load.set_retry_abuse(-1, 0, 1); });
      return true;
    default:
      return false;
  }
}

void FaultInjector::begin_other_fault(const Fault& fault) {
  LinkFaults& links = simulation_.link_faults;
  switch (fault.kind) {
    case FaultKind::slow_link:
      slow_links(fault);
      break;
    case FaultKind::zone_cut:
      links.cut_zone = fault.zone;
      at_end(fault, [&links] { links.cut_zone.clear(); });
      break;
    case FaultKind::stale_list:
      targets_.registry.set_delay(simulation_.day.max_registry_delay +
                                  from_seconds(fault.magnitude));
      at_end(fault, [this] { draw_registry_delay(); });
      break;
    case FaultKind::controller_crash:
      targets_.controller.crash();
      at_end(fault, [this] { targets_.controller.start(); });
      break;
    case FaultKind::controller_down:
      disturb_controller(fault);
      break;
    case FaultKind::proxy_crash:
    case FaultKind::proxy_roll:
      restart_proxies(fault);
      break;
    case FaultKind::probe_fail:    // the decision module requests no health checks
    case FaultKind::watch_breaks:  // no effect: a broken watch is resumed without losing events
    default:
      break;
  }
}

void FaultInjector::on_servers(const Fault& fault, const ServerAction& begin,
                               const ServerAction& end) {
  const SimulatedServers& servers = targets_.servers;
  const auto chosen =
      std::make_shared<const std::vector<int>>(targets_.servers.pick(fault.target_share));
  servers.for_each_running(*chosen, begin);
  at_end(fault, [&servers, chosen, end] { servers.for_each_running(*chosen, end); });
}

void FaultInjector::crash_servers(const Fault& fault) {
  SimulatedServers& servers = targets_.servers;
  for (const int machine : servers.pick(fault.target_share)) {
    servers.crash(machine, fault.kind == FaultKind::vanish);
    at_end(fault, [&servers, machine] { servers.recover(machine); });
  }
}

// Another program uses a share of the cores, on and off.
void FaultInjector::take_cores(const Fault& fault) {
  const auto chosen =
      std::make_shared<const std::vector<int>>(targets_.servers.pick(fault.target_share));
  const auto take = [this, chosen](double share) {
    targets_.servers.for_each(*chosen, [this, share](int server) {
      targets_.fleet.set_stolen_core_share(server, share);
    });
  };
  const Duration interval = std::max<Duration>(min_neighbour_interval, from_seconds(fault.extra));
  for (int turn = 0; interval * turn < fault.duration; ++turn) {
    const double share = turn % 2 == 0 ? fault.magnitude : 0;
    simulation_.engine.in(interval * turn, [take, share] { take(share); });
  }
  at_end(fault, [take] { take(0); });
}

void FaultInjector::slow_links(const Fault& fault) {
  LinkFaults& links = simulation_.link_faults;
  links.slow_zone = fault.zone;
  links.delay = from_seconds(fault.magnitude);
  links.loss = fault.extra;
  at_end(fault, [&links] { links.slow_zone.clear(); });
}

void FaultInjector::disturb_controller(const Fault& fault) {
  SimulatedController& controller = targets_.controller;
  if (fault.mode == "stale")
    controller.set_publish_delay(simulation_.day.max_publish_delay + from_seconds(fault.magnitude));
  else if (fault.mode == "silence")
    controller.stop_answering_votes(fault.magnitude);
  else
    controller.answer_votes_with_errors();
  at_end(fault, [this] {
    draw_publish_delay();
    targets_.controller.recover();
  });
}

// Sends a share of all traffic to a few proxies.
void FaultInjector::concentrate_load(const Fault& fault) {
  const int proxies = simulation_.day.deployment.proxies;
  const int count = std::max(1, rounded(fault.target_share * proxies));
  std::vector<int> chosen;
  chosen.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    chosen.push_back((i * 7 + 1) % proxies);  // spread over the zones
  load::LoadGenerator& load = targets_.clients.load();
  load.concentrate_on_proxies(chosen, fault.magnitude);
  at_end(fault, [&load] { load.concentrate_on_proxies({}, 0); });
}

void FaultInjector::restart_proxies(const Fault& fault) {
  const int proxies = static_cast<int>(simulation_.proxies.size());
  std::vector<int> chosen(simulation_.proxies.size());
  for (int proxy = 0; proxy < proxies; ++proxy)
    chosen[proxy] = proxy;
  std::shuffle(chosen.begin(), chosen.end(), simulation_.random);
  const int count = std::clamp(rounded(fault.target_share * proxies), 1, proxies);
  const bool rolling = fault.kind == FaultKind::proxy_roll;
  const int batch = rolling ? std::max(1, static_cast<int>(fault.magnitude * proxies)) : proxies;
  const int batches = (count + batch - 1) / batch;
  const Duration down = rolling ? from_seconds(fault.extra) : fault.duration;
  for (int i = 0; i < count; ++i) {
    const Duration begins = rolling ? fault.duration * (i / batch) / batches : Duration{};
    const int proxy = chosen[i];
    simulation_.engine.in(begins, [this, proxy] { targets_.processes.kill(proxy); });
    simulation_.engine.in(begins + down, [this, proxy] { targets_.processes.start(proxy); });
  }
}

}  // namespace robinhoist::emulator
