#include "day/world.h"

#include <algorithm>
#include <filesystem>

#include "record/lines.h"
#include "releases/release_codec.h"
#include "rollout/names.h"
#include "time/units.h"

namespace robinhoist::day {
namespace {
using namespace std::chrono_literals;

int number_of(const std::string& proxy) {
  const std::size_t dash = proxy.rfind('-');
  return dash == std::string::npos ? -1 : std::atoi(proxy.c_str() + dash + 1);
}
}  // namespace

std::string zone_of(const Scenario& day, int proxy) {
  return day.deployment.zones[proxy % day.deployment.zones.size()];
}

World::World(net::Loop& loop, net::Loop& database_loop, const Scenario& day, unsigned salt,
             const log::Logger& log, record::Writer& nodes, record::Writer& told,
             const std::string& folder, record::Writer* database)
    : loop_(loop), day_(day), log_(log), told_(told), random_(salt), folder_(folder) {
  standin::Shared shared;
  for (auto& request_class : day.deployment.request_classes)
    shared.memory = std::max(shared.memory, request_class.request_class.dedup_window);
  for (auto& request_class : day.load.request_classes)
    shared.work.push_back(request_class.work);
  shared.cancelled = day.cancellation;
  nodes_ = std::make_unique<standin::Nodes>(loop, day.deployment, shared, salt + 1, &nodes);
  nodes_->way = [this](const std::string& proxy, const std::string& zone) {
    standin::Nodes::Way way;
    const int number = number_of(proxy);
    const std::string from = number >= 0 ? zone_of(day_, number) : zone;
    if (from == zone)
      return way;
    way.cut = !cut_zone_.empty() && (from == cut_zone_ || zone == cut_zone_);
    if (!slow_zone_.empty() && (from == slow_zone_ || zone == slow_zone_)) {
      way.by = link_by_;
      way.lost = link_lost_;
    }
    return way;
  };
  http::ServerSettings server;
  list_ = std::make_unique<registry::Service>(
      loop, server, "list-1",
      [this](const std::string& proxy, const registry::Update& news) { told_list(proxy, news); });
  list_->set_delay(0ms);
  for (int place = 0; place < day.server_slots; ++place)
    speeds_[place] = 1 + day.speed_spread * (2 * uniform_sample() - 1);
  if (day.database) {
    const std::string file = folder + "/database.sqlite";
    for (const char* end : {"", "-wal", "-shm"})
      std::filesystem::remove(file + end);
    database_ = std::make_unique<standin::Database>(database_loop, server, file, database);
    if (!database_->execute(day.database_setup))
      throw std::runtime_error("the database's set-up statements fail");
    reader_ = std::make_unique<standin::Reader>(file);
    nodes_->ready = [this](const std::string& needs) {
      return reader_->query(needs).value_or(0) != 0;
    };
  }
  start_controller();
}

// Also after it was killed: on the same port, with what its journal holds.
void World::start_controller() {
  controller::Settings settings;
  settings.server.listen = "127.0.0.1:" + std::to_string(controller_port_);
  settings.rollout = day_.deployment.rollout;
  settings.slots = day_.server_slots;
  settings.initial_build = day_.initial_build.number;
  settings.proxies = day_.deployment.proxies;
  settings.journal = folder_ + "/journal";
  settings.steps_lease = 2s;
  settings.throttle_backfills = day_.throttle_backfills;
  if (database_)
    settings.steps_target = "127.0.0.1:" + std::to_string(database_->port());
  controller_ = std::make_unique<controller::Controller>(
      loop_, settings, log_,
      controller::ControllerCallbacks{
          .execute = [this](const rollout::Command& command) { execute(command); },
          .notified = [this](const std::string& proxy,
                             const objects::Snapshot& what) { told_news(proxy, what); },
          .voted =
              [this](const std::string& proxy, int build, int stage, Verdict verdict,
                     Outcome outcome) {
                record::voted(told_, loop_.now(), proxy, build, stage, rollout::api_name(verdict),
                              rollout::api_name(outcome));
              }});
  controller_port_ = controller_->port();
  changes_ = 0;
  for (auto& [id, place] : places_)
    if (place.listed)
      controller_->rollout().machine_started(id, loop_.now());
}

World::~World() = default;

Duration World::drawn(Duration least, Duration most) {
  return least + from_seconds(uniform_sample() * (most - least).count() / 1e6);
}

bool World::all_up() const {
  return static_cast<int>(places_.size()) >= day_.server_slots &&
         std::all_of(places_.begin(), places_.end(), [](auto& p) { return p.second.listed; });
}

const machine::Build& World::build(int number) const {
  for (const ScheduledRelease& offer : day_.releases)
    if (offer.build.number == number)
      return offer.build;
  return day_.initial_build;
}

void World::execute(const rollout::Command& command) {
  if (command.kind == rollout::CommandKind::start) {
    Place place{"node-" + std::to_string(command.machine), command.slot, command.build};
    places_[command.machine] = place;
    const bool first =
        command.build == day_.initial_build.number && command.machine < day_.server_slots;
    if (first)
      return boot(command.machine, false);
    loop_.in(drawn(day_.min_boot_time, day_.max_boot_time),
             [this, id = command.machine] { boot(id, true); });
    return;
  }
  auto at = places_.find(command.machine);
  if (at == places_.end())
    return;
  at->second.ordered_down = true;
  if (command.kind == rollout::CommandKind::drain)
    return list_->set_phase(at->second.name, EndpointPhase::draining);
  down(command.machine, false);
  places_.erase(command.machine);
  if (controller_)
    controller_->rollout().machine_stopped(command.machine, loop_.now());
}

void World::enlist(int machine) {
  Place& place = places_.at(machine);
  registry::Endpoint entry;
  entry.name = place.name;
  entry.address = "127.0.0.1:" + std::to_string(nodes_->port(place.name));
  entry.zone = day_.deployment.zones[place.place % day_.deployment.zones.size()];
  entry.cell = place.place / day_.cell_size;
  entry.build = place.build;
  entry.phase = place.ordered_down ? EndpointPhase::draining : EndpointPhase::ready;
  entry.started = nodes_->started(place.name);
  place.listed = true;
  list_->put(entry);
}

void World::boot(int machine, bool cold) {
  auto at = places_.find(machine);
  if (at == places_.end() || nodes_->runs(at->second.name))
    return;
  const Place& place = at->second;
  standin::NodeSpec spec;
  spec.name = place.name;
  spec.zone = day_.deployment.zones[place.place % day_.deployment.zones.size()];
  spec.cell = place.place / day_.cell_size;
  spec.capacity = day_.capacity;
  spec.capacity.speed *= speeds_[place.place];
  spec.build = build(place.build);
  spec.cold = cold;
  for (const ScheduledRelease& offer : day_.releases)
    if (offer.build.number == place.build)
      spec.needs = offer.needs;
  nodes_->start(spec);
  enlist(machine);
  if (!controller_)
    return;
  controller_->rollout().machine_started(machine, loop_.now());
  controller_->decide();
}

// The list hears of it after its lag, of a silent one later still.
void World::down(int machine, bool silently) {
  Place& place = places_.at(machine);
  place.listed = false;
  if (silently) {
    nodes_->silence(place.name);
    loop_.in(day_.silent_removal_delay, [this, machine, name = place.name] {
      auto at = places_.find(machine);
      if (at == places_.end() || !at->second.listed)
        list_->remove(name);
    });
  } else {
    nodes_->kill(place.name);
    list_->remove(place.name);
  }
}

std::vector<int> World::pick(double part) {
  std::vector<int> running;
  for (auto& [id, place] : places_)
    if (nodes_->runs(place.name) && !place.ordered_down)
      running.push_back(id);
  std::shuffle(running.begin(), running.end(), random_);
  const std::size_t many =
      std::min(running.size(),
               std::max<std::size_t>(
                   1, static_cast<std::size_t>(part * static_cast<double>(running.size()) + 0.5)));
  running.resize(many);
  return running;
}

void World::each(const std::vector<int>& machines,
                 const std::function<void(const std::string&)>& act) {
  for (int id : machines) {
    auto at = places_.find(id);
    if (at != places_.end())
      act(at->second.name);
  }
}

void World::begin_trouble(const Fault& trouble) {
  const TimePoint end = loop_.now() + trouble.duration;
  // Acts on some endpoints now, and undoes it at the end.
  auto on_nodes = [&](auto act, auto undo) {
    auto chosen = pick(trouble.target_share);
    each(chosen, act);
    loop_.at(end, [this, chosen, undo] { each(chosen, undo); });
  };
  const double size = trouble.magnitude;
  switch (trouble.kind) {
    case FaultKind::crash:
    case FaultKind::vanish:
      for (int id : pick(trouble.target_share)) {
        down(id, trouble.kind == FaultKind::vanish);
        if (controller_)
          controller_->rollout().machine_stopped(id, loop_.now());
        loop_.at(end, [this, id] {
          auto at = places_.find(id);
          if (at == places_.end())
            return;
          nodes_->kill(at->second.name);
          boot(id, true);
        });
      }
      break;
    case FaultKind::slow:
      on_nodes([this, size](const std::string& n) { nodes_->slow(n, size); },
               [this](const std::string& n) { nodes_->slow(n, 1); });
      break;
    case FaultKind::fast_errors:
      on_nodes([this, size](const std::string& n) { nodes_->fail(n, size); },
               [this](const std::string& n) { nodes_->fail(n, 0); });
      break;
    case FaultKind::neighbour: {
      auto chosen = pick(trouble.target_share);
      const Duration every = std::max<Duration>(10ms, from_seconds(trouble.extra));
      for (int k = 0; every * k < trouble.duration; ++k)
        loop_.in(every * k, [this, chosen, size, k] {
          each(chosen, [&](const std::string& n) { nodes_->neighbour(n, k % 2 == 0 ? size : 0); });
        });
      loop_.at(end, [this, chosen] {
        each(chosen, [this](const std::string& n) { nodes_->neighbour(n, 0); });
      });
      break;
    }
    case FaultKind::probe_fail:
      on_nodes([this, size](const std::string& n) { nodes_->fail_probes(n, size); },
               [this](const std::string& n) { nodes_->fail_probes(n, 0); });
      break;
    case FaultKind::connection_squeeze: {
      const auto most =
          static_cast<std::size_t>(size * day_.deployment.proxies / day_.server_slots) + 1;
      on_nodes([this, most](const std::string& n) { nodes_->squeeze(n, most); },
               [this](const std::string& n) { nodes_->squeeze(n, 0); });
      break;
    }
    case FaultKind::slow_handshakes:
      on_nodes(
          [this, size](const std::string& n) { nodes_->slow_handshake(n, from_seconds(size)); },
          [this](const std::string& n) { nodes_->slow_handshake(n, 0ms); });
      break;
    case FaultKind::slow_link:
      slow_zone_ = trouble.zone;
      link_by_ = from_seconds(size);
      link_lost_ = trouble.extra;
      loop_.at(end, [this] { slow_zone_.clear(); });
      break;
    case FaultKind::zone_cut:
      cut_zone_ = trouble.zone;
      loop_.at(end, [this] { cut_zone_.clear(); });
      break;
    case FaultKind::stale_list:
      list_->set_delay(day_.max_registry_delay + from_seconds(size));
      loop_.at(end, [this] {
        list_->set_delay(drawn(day_.min_registry_delay, day_.max_registry_delay));
      });
      break;
    case FaultKind::controller_crash:
      controller_.reset();
      loop_.at(end, [this] { start_controller(); });
      break;
    case FaultKind::watch_breaks:
      for (Duration at = from_seconds(std::max(0.02, size)); at < trouble.duration;
           at += from_seconds(std::max(0.02, size)))
        loop_.in(at, [this] {
          if (controller_)
            controller_->break_connections();
        });
      break;
    case FaultKind::controller_down:
      if (!controller_)
        return;
      if (trouble.mode == "stale")
        controller_->set_publish_delay(day_.max_publish_delay + from_seconds(size));
      else
        controller_->inject_fault(
            trouble.mode == "silence" ? controller::Fault::unresponsive : controller::Fault::errors,
            size);
      loop_.at(end, [this] {
        if (!controller_)
          return;
        controller_->set_publish_delay(drawn(day_.min_publish_delay, day_.max_publish_delay));
        controller_->inject_fault(controller::Fault::none, 0);
      });
      break;
    default:
      return;  // the clients' or the proxies'
  }
  log_.info("trouble", {{"is", to_string(trouble.kind)}});
}

void World::begin(TimePoint from) {
  from_ = from;
  list_->set_delay(drawn(day_.min_registry_delay, day_.max_registry_delay));
  controller_->set_publish_delay(drawn(day_.min_publish_delay, day_.max_publish_delay));
  for (const Fault& trouble : day_.faults)
    loop_.at(from + trouble.at, [this, &trouble] { begin_trouble(trouble); });
  for (const ScheduledRelease& offer : day_.releases)
    loop_.at(from + offer.at, [this, &offer] { this->offer(offer); });
  watch_changes();
  share_harm();
}

// Offered again until there is a controller to hear it.
void World::offer(const ScheduledRelease& offer) {
  if (!controller_) {
    loop_.in(100ms, [this, &offer] { this->offer(offer); });
    return;
  }
  if (!offer.plan.empty())
    controller_->steps()->accept_plan(offer.plan, "plan", "day");
  controller_->create_release(offer.build.number, "day");
}

// A build that harms all machines does so in step with the traffic that it gets.
void World::share_harm() {
  double factor = 1;
  for (const ScheduledRelease& offer : day_.releases)
    if (offer.build.flaw == machine::Flaw::shared)
      factor += (offer.build.strength - 1) * nodes_->share_of_traffic(offer.build.number, 1s);
  // A database that is busy with steps keeps all endpoints waiting, by the part of the last tenth
  // of a second in which it was.
  if (database_) {
    busy_.push_back(database_->busy());
    if (busy_.size() > 10)
      busy_.pop_front();
    const double part = std::min(
        1.0, static_cast<double>((busy_.back() - busy_.front()).count()) /
                 (10000.0 * static_cast<double>(std::max<std::size_t>(1, busy_.size() - 1))));
    factor *= 1 + (day_.batch_slowdown - 1) * part;
  }
  nodes_->harm_all(factor);
  loop_.in(10ms, [this] { share_harm(); });
}

void World::watch_changes() {
  loop_.in(50ms, [this] { watch_changes(); });
  if (!controller_)
    return;
  const auto& changes = controller_->rollout().changes();
  for (; changes_ < changes.size(); ++changes_) {
    const rollout::Change& change = changes[changes_];
    record::release_moved(told_, change.at, change.build, change.stage,
                          rollout::api_name(change.phase), change.why);
  }
}

void World::told_list(const std::string& proxy, const registry::Update& news) {
  record::told_list(told_, loop_.now(), proxy, news.entries, news.complete);
}

// As the proxy takes it: the newest release that has begun.
void World::told_news(const std::string& proxy, const objects::Snapshot& what) {
  const releases::Release release = releases::decode(what.full);
  const releases::Status& status = release.status;
  int& newest = newest_told_[proxy];
  if (!status.phase || release.build < newest)
    return;
  newest = release.build;
  record::told_news(told_, loop_.now(), proxy, release.build, status.stage,
                    rollout::api_name(*status.phase), status.cap);
}

}  // namespace robinhoist::day
