#include "day/environment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>

#include "record/lines.h"
#include "releases/release_codec.h"
#include "rollout/names.h"
#include "time/units.h"

namespace robinhoist::day {
namespace {
using namespace std::chrono_literals;

// "umpire-3" is proxy 3. -1 for a name without a number.
int number_of(const std::string& proxy) {
  const std::size_t dash = proxy.rfind('-');
  return dash == std::string::npos ? -1 : std::atoi(proxy.c_str() + dash + 1);
}
}  // namespace

std::string zone_of(const Scenario& scenario, int proxy) {
  return scenario.deployment.zones[proxy % scenario.deployment.zones.size()];
}

Environment::Environment(net::Loop& loop, net::Loop& database_loop, const Scenario& scenario,
                         unsigned salt, const log::Logger& log, record::Writer& server_events,
                         record::Writer& proxy_updates, const std::string& folder,
                         record::Writer* database_events)
    : loop_(loop),
      scenario_(scenario),
      log_(log),
      proxy_updates_(proxy_updates),
      random_(salt),
      folder_(folder) {
  standin::PoolSettings pool;
  for (auto& request_class : scenario.deployment.request_classes)
    pool.dedup_window = std::max(pool.dedup_window, request_class.request_class.dedup_window);
  for (auto& request_class : scenario.load.request_classes)
    pool.default_work.push_back(request_class.work);
  pool.cancellation = scenario.cancellation;
  servers_ = std::make_unique<standin::ServerPool>(loop, scenario.deployment, pool, salt + 1,
                                                   &server_events);
  servers_->link_between = [this](const std::string& proxy, const std::string& zone) {
    standin::ServerPool::Link link;
    const int number = number_of(proxy);
    const std::string from = number >= 0 ? zone_of(scenario_, number) : zone;
    if (from == zone)
      return link;
    link.cut = !cut_zone_.empty() && (from == cut_zone_ || zone == cut_zone_);
    if (!slow_zone_.empty() && (from == slow_zone_ || zone == slow_zone_)) {
      link.delay = link_delay_;
      link.loss = link_loss_;
    }
    return link;
  };
  http::ServerSettings server;
  registry_ = std::make_unique<registry::Service>(
      loop, server, "list-1", [this](const std::string& proxy, const registry::Update& update) {
        record_endpoint_update(proxy, update);
      });
  registry_->set_delay(0ms);
  for (int slot = 0; slot < scenario.server_slots; ++slot)
    speeds_[slot] = 1 + scenario.speed_spread * (2 * uniform_sample() - 1);
  if (scenario.database) {
    const std::string file = folder + "/database.sqlite";
    for (const char* suffix : {"", "-wal", "-shm"})
      std::filesystem::remove(file + suffix);
    database_ = std::make_unique<standin::Database>(database_loop, server, file, database_events);
    if (!database_->execute(scenario.database_setup))
      throw std::runtime_error("the setup statements of the database failed");
    database_reader_ = std::make_unique<standin::DatabaseReader>(file);
    servers_->is_schema_ready = [this](const std::string& query) {
      return database_reader_->query(query).value_or(0) != 0;
    };
  }
  start_controller();
}

// After a crash it listens on the same port and resumes from its journal.
void Environment::start_controller() {
  controller::Settings settings;
  settings.server.listen = "127.0.0.1:" + std::to_string(controller_port_);
  settings.rollout = scenario_.deployment.rollout;
  settings.slots = scenario_.server_slots;
  settings.initial_build = scenario_.initial_build.number;
  settings.proxies = scenario_.deployment.proxies;
  settings.journal = folder_ + "/journal";
  settings.steps_lease = 2s;
  settings.throttle_backfills = scenario_.throttle_backfills;
  if (database_)
    settings.steps_target = "127.0.0.1:" + std::to_string(database_->port());
  controller_ = std::make_unique<controller::Controller>(
      loop_, settings, log_,
      controller::ControllerCallbacks{
          .execute = [this](const rollout::Command& command) { execute(command); },
          .notified =
              [this](const std::string& proxy, const objects::Snapshot& snapshot) {
                record_release_update(proxy, snapshot);
              },
          .voted =
              [this](const std::string& proxy, int build, int stage, Verdict verdict,
                     Outcome outcome) {
                record::vote_received(proxy_updates_, loop_.now(), proxy, build, stage,
                                      rollout::api_name(verdict), rollout::api_name(outcome));
              }});
  controller_port_ = controller_->port();
  recorded_changes_ = 0;
  for (auto& [id, machine] : machines_)
    if (machine.registered)
      controller_->rollout().machine_started(id, loop_.now());
}

Environment::~Environment() = default;

Duration Environment::sample_between(Duration min, Duration max) {
  return min + from_seconds(uniform_sample() * (max - min).count() / 1e6);
}

bool Environment::all_servers_registered() const {
  return static_cast<int>(machines_.size()) >= scenario_.server_slots &&
         std::all_of(machines_.begin(), machines_.end(),
                     [](auto& machine) { return machine.second.registered; });
}

const machine::Build& Environment::build(int number) const {
  for (const ScheduledRelease& release : scenario_.releases)
    if (release.build.number == number)
      return release.build;
  return scenario_.initial_build;
}

void Environment::execute(const rollout::Command& command) {
  if (command.kind == rollout::CommandKind::start) {
    machines_[command.machine] = {"node-" + std::to_string(command.machine), command.slot,
                                  command.build};
    const bool from_the_beginning =
        command.build == scenario_.initial_build.number && command.machine < scenario_.server_slots;
    if (from_the_beginning)
      return boot(command.machine, false);
    loop_.in(sample_between(scenario_.min_boot_time, scenario_.max_boot_time),
             [this, id = command.machine] { boot(id, true); });
    return;
  }
  auto machine = machines_.find(command.machine);
  if (machine == machines_.end())
    return;
  machine->second.draining = true;
  if (command.kind == rollout::CommandKind::drain)
    return registry_->set_phase(machine->second.name, EndpointPhase::draining);
  stop(command.machine, false);
  machines_.erase(command.machine);
  if (controller_)
    controller_->rollout().machine_stopped(command.machine, loop_.now());
}

void Environment::register_endpoint(int id) {
  Machine& machine = machines_.at(id);
  registry::Endpoint endpoint;
  endpoint.name = machine.name;
  endpoint.address = "127.0.0.1:" + std::to_string(servers_->port(machine.name));
  endpoint.zone = scenario_.deployment.zones[machine.slot % scenario_.deployment.zones.size()];
  endpoint.cell = machine.slot / scenario_.cell_size;
  endpoint.build = machine.build;
  endpoint.phase = machine.draining ? EndpointPhase::draining : EndpointPhase::ready;
  endpoint.started = servers_->started(machine.name);
  machine.registered = true;
  registry_->put(endpoint);
}

void Environment::boot(int id, bool cold) {
  auto at = machines_.find(id);
  if (at == machines_.end() || servers_->is_running(at->second.name))
    return;
  const Machine& machine = at->second;
  standin::ServerSpec spec;
  spec.name = machine.name;
  spec.zone = scenario_.deployment.zones[machine.slot % scenario_.deployment.zones.size()];
  spec.cell = machine.slot / scenario_.cell_size;
  spec.capacity = scenario_.capacity;
  spec.capacity.speed *= speeds_[machine.slot];
  spec.build = build(machine.build);
  spec.cold = cold;
  for (const ScheduledRelease& release : scenario_.releases)
    if (release.build.number == machine.build)
      spec.schema_query = release.needs;
  servers_->start(spec);
  register_endpoint(id);
  if (!controller_)
    return;
  controller_->rollout().machine_started(id, loop_.now());
  controller_->decide();
}

// The registry removes a server that stopped silently only after silent_removal_delay.
void Environment::stop(int id, bool silently) {
  Machine& machine = machines_.at(id);
  machine.registered = false;
  if (silently) {
    servers_->hang(machine.name);
    loop_.in(scenario_.silent_removal_delay, [this, id, name = machine.name] {
      auto at = machines_.find(id);
      if (at == machines_.end() || !at->second.registered)
        registry_->remove(name);
    });
  } else {
    servers_->kill(machine.name);
    registry_->remove(machine.name);
  }
}

std::vector<int> Environment::pick_running(double share) {
  std::vector<int> running;
  for (auto& [id, machine] : machines_)
    if (servers_->is_running(machine.name) && !machine.draining)
      running.push_back(id);
  std::shuffle(running.begin(), running.end(), random_);
  const std::size_t count =
      std::min(running.size(),
               std::max<std::size_t>(
                   1, static_cast<std::size_t>(share * static_cast<double>(running.size()) + 0.5)));
  running.resize(count);
  return running;
}

void Environment::for_each_name(const std::vector<int>& machines,
                                const std::function<void(const std::string&)>& act) {
  for (int id : machines) {
    auto at = machines_.find(id);
    if (at != machines_.end())
      act(at->second.name);
  }
}

void Environment::begin_fault(const Fault& fault) {
  const TimePoint end = loop_.now() + fault.duration;
  // Acts on some servers now and undoes it at the end.
  auto on_servers = [&](auto act, auto undo) {
    auto chosen = pick_running(fault.target_share);
    for_each_name(chosen, act);
    loop_.at(end, [this, chosen, undo] { for_each_name(chosen, undo); });
  };
  const double magnitude = fault.magnitude;
  switch (fault.kind) {
    case FaultKind::crash:
    case FaultKind::vanish:
      for (int id : pick_running(fault.target_share)) {
        stop(id, fault.kind == FaultKind::vanish);
        if (controller_)
          controller_->rollout().machine_stopped(id, loop_.now());
        loop_.at(end, [this, id] {
          auto at = machines_.find(id);
          if (at == machines_.end())
            return;
          servers_->kill(at->second.name);
          boot(id, true);
        });
      }
      break;
    case FaultKind::slow:
      on_servers([this, magnitude](const std::string& n) { servers_->set_slowdown(n, magnitude); },
                 [this](const std::string& n) { servers_->set_slowdown(n, 1); });
      break;
    case FaultKind::fast_errors:
      on_servers(
          [this, magnitude](const std::string& n) { servers_->set_failure_share(n, magnitude); },
          [this](const std::string& n) { servers_->set_failure_share(n, 0); });
      break;
    case FaultKind::neighbour: {
      auto chosen = pick_running(fault.target_share);
      const Duration interval = std::max<Duration>(10ms, from_seconds(fault.extra));
      for (int turn = 0; interval * turn < fault.duration; ++turn)
        loop_.in(interval * turn, [this, chosen, magnitude, turn] {
          for_each_name(chosen, [&](const std::string& n) {
            servers_->set_stolen_core_share(n, turn % 2 == 0 ? magnitude : 0);
          });
        });
      loop_.at(end, [this, chosen] {
        for_each_name(chosen,
                      [this](const std::string& n) { servers_->set_stolen_core_share(n, 0); });
      });
      break;
    }
    case FaultKind::probe_fail:
      on_servers([this, magnitude](
                     const std::string& n) { servers_->set_probe_failure_share(n, magnitude); },
                 [this](const std::string& n) { servers_->set_probe_failure_share(n, 0); });
      break;
    case FaultKind::connection_squeeze: {
      const auto max_connections =
          static_cast<std::size_t>(magnitude * scenario_.deployment.proxies /
                                   scenario_.server_slots) +
          1;
      on_servers([this, max_connections](
                     const std::string& n) { servers_->limit_connections(n, max_connections); },
                 [this](const std::string& n) { servers_->limit_connections(n, 0); });
      break;
    }
    case FaultKind::slow_handshakes:
      on_servers(
          [this, magnitude](const std::string& n) {
            servers_->set_handshake_delay(n, from_seconds(magnitude));
          },
          [this](const std::string& n) { servers_->set_handshake_delay(n, 0ms); });
      break;
    case FaultKind::slow_link:
      slow_zone_ = fault.zone;
      link_delay_ = from_seconds(magnitude);
      link_loss_ = fault.extra;
      loop_.at(end, [this] { slow_zone_.clear(); });
      break;
    case FaultKind::zone_cut:
      cut_zone_ = fault.zone;
      loop_.at(end, [this] { cut_zone_.clear(); });
      break;
    case FaultKind::stale_list:
      registry_->set_delay(scenario_.max_registry_delay + from_seconds(magnitude));
      loop_.at(end, [this] {
        registry_->set_delay(
            sample_between(scenario_.min_registry_delay, scenario_.max_registry_delay));
      });
      break;
    case FaultKind::controller_crash:
      controller_.reset();
      loop_.at(end, [this] { start_controller(); });
      break;
    case FaultKind::watch_breaks:
      for (Duration at = from_seconds(std::max(0.02, magnitude)); at < fault.duration;
           at += from_seconds(std::max(0.02, magnitude)))
        loop_.in(at, [this] {
          if (controller_)
            controller_->reset_connections();
        });
      break;
    case FaultKind::controller_down:
      if (!controller_)
        return;
      if (fault.mode == "stale")
        controller_->set_publish_delay(scenario_.max_publish_delay + from_seconds(magnitude));
      else
        controller_->inject_fault(
            fault.mode == "silence" ? controller::Fault::unresponsive : controller::Fault::errors,
            magnitude);
      loop_.at(end, [this] {
        if (!controller_)
          return;
        controller_->set_publish_delay(
            sample_between(scenario_.min_publish_delay, scenario_.max_publish_delay));
        controller_->inject_fault(controller::Fault::none, 0);
      });
      break;
    default:
      return;  // a fault of the clients or the proxies
  }
  log_.info("trouble", {{"is", to_string(fault.kind)}});
}

void Environment::start(TimePoint start_time) {
  registry_->set_delay(sample_between(scenario_.min_registry_delay, scenario_.max_registry_delay));
  controller_->set_publish_delay(
      sample_between(scenario_.min_publish_delay, scenario_.max_publish_delay));
  for (const Fault& fault : scenario_.faults)
    loop_.at(start_time + fault.at, [this, &fault] { begin_fault(fault); });
  for (const ScheduledRelease& release : scenario_.releases)
    loop_.at(start_time + release.at, [this, &release] { submit(release); });
  record_rollout_changes();
  update_shared_slowdown();
}

// Retries while the controller is down.
void Environment::submit(const ScheduledRelease& release) {
  if (!controller_) {
    loop_.in(100ms, [this, &release] { submit(release); });
    return;
  }
  if (!release.plan.empty())
    controller_->steps()->accept_plan(release.plan, "plan", "day");
  controller_->create_release(release.build.number, "day");
}

// A build with a shared flaw slows all servers in proportion to its share of the traffic.
void Environment::update_shared_slowdown() {
  double factor = 1;
  for (const ScheduledRelease& release : scenario_.releases)
    if (release.build.flaw == machine::Flaw::shared)
      factor += (release.build.severity - 1) * servers_->share_of_traffic(release.build.number, 1s);
  // While the database runs migration steps all servers wait for it, by the share of the last
  // tenth of a second in which it was busy.
  if (database_) {
    database_busy_.push_back(database_->busy());
    if (database_busy_.size() > 10)
      database_busy_.pop_front();
    const double busy_share = std::min(
        1.0,
        static_cast<double>((database_busy_.back() - database_busy_.front()).count()) /
            (10000.0 * static_cast<double>(std::max<std::size_t>(1, database_busy_.size() - 1))));
    factor *= 1 + (scenario_.batch_slowdown - 1) * busy_share;
  }
  servers_->set_shared_slowdown(factor);
  loop_.in(10ms, [this] { update_shared_slowdown(); });
}

void Environment::record_rollout_changes() {
  loop_.in(50ms, [this] { record_rollout_changes(); });
  if (!controller_)
    return;
  const auto& changes = controller_->rollout().changes();
  for (; recorded_changes_ < changes.size(); ++recorded_changes_) {
    const rollout::Change& change = changes[recorded_changes_];
    record::release_changed(proxy_updates_, change.at, change.build, change.stage,
                            rollout::api_name(change.phase), change.why);
  }
}

void Environment::record_endpoint_update(const std::string& proxy, const registry::Update& update) {
  record::endpoints_notified(proxy_updates_, loop_.now(), proxy, update.entries, update.complete);
}

// A proxy applies the newest release that has begun; updates of older ones have no effect on it.
void Environment::record_release_update(const std::string& proxy,
                                        const objects::Snapshot& snapshot) {
  const releases::Release release = releases::decode(snapshot.full);
  const releases::Status& status = release.status;
  int& newest = newest_known_build_[proxy];
  if (!status.phase || release.build < newest)
    return;
  newest = release.build;
  record::release_notified(proxy_updates_, loop_.now(), proxy, release.build, status.stage,
                           rollout::api_name(*status.phase), status.cap);
}

}  // namespace robinhoist::day
