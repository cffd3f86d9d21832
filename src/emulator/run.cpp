#include "emulator/run.h"

#include <algorithm>
#include <deque>
#include <filesystem>

#include "day/record_meta.h"
#include "record/lines.h"
#include "rollout/names.h"

namespace robinhoist::emulator {
namespace {
using namespace std::chrono_literals;
using day::Kind;
using day::Trouble;

constexpr Duration settles_in = 2s;  // from the start of the processes to the day's own start
constexpr Duration gather = 2ms;     // as the list service gathers changes
constexpr Duration beat_every = 1s, lease = 3s, memory = std::chrono::minutes(10);
constexpr Duration front_refused = 1ms;  // a client learns so that nobody listens
constexpr Duration over_most = 30s;      // after the day's end

Duration seconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e6));
}

std::string name_of(int proxy) {
  return "umpire-" + std::to_string(proxy);
}

class Run {
 public:
  Run(const day::Day& day, long seed, const std::string& folder, const NetworkSettings& network,
      const PolicySpec& policy);
  Summary play();

 private:
  struct Place {  // a machine of the controller's, by its id
    std::string name{};
    int place = 0, build = 0, server = -1;
    bool listed = false, ordered_down = false;
  };
  struct Told {  // what a process of the list or the controller has for each proxy
    bool pending = false;
  };
  struct Open {
    load::Try one{};
    Engine::Id gives_up{}, leaves{};
    int life = 0;
  };
  // Machines.
  void execute(const rollout::Command& command);
  void boot(int machine, bool cold);
  void down(int machine, bool silently);
  void enlist(int machine);
  const machine::Build& build(int number) const;
  std::vector<int> pick(double part);
  void share_harm();
  // The list.
  void list_later(const registry::Endpoint& entry, bool removed);
  void tell_list();
  void tell_whole(int proxy);
  void record_list(int proxy, const std::vector<registry::Endpoint>& entries, bool whole);
  // The controller.
  void start_controller();
  void pull_controller();
  void publish();
  void tell_release(int proxy);
  void vote(int proxy, int build, int stage, Verdict verdict);
  void beat();
  void offer(const day::Offer& offer);
  // Clients.
  void pull_load();
  void send(const load::Try& one);
  void answer(std::int64_t id, const FinalAnswer& how);
  void ended(load::Try one, load::End end, const FinalAnswer& how);
  // Proxies and troubles.
  void start_proxy(int u);
  void kill_proxy(int u);
  void begin(const Trouble& trouble);
  void life(int u, const char* what);
  template <class Act, class Undo>
  void on_servers(const Trouble& trouble, Act act, Undo undo) {
    std::vector<int> chosen = pick(trouble.part);
    const auto each = [this](const std::vector<int>& machines, auto& does) {
      for (int id : machines)
        if (auto at = places_.find(id);
            at != places_.end() && at->second.server >= 0 && fleet_.runs(at->second.server))
          does(at->second.server);
    };
    each(chosen, act);
    auto kept = std::make_shared<std::vector<int>>(std::move(chosen));
    engine_.in(trouble.lasts, [kept, each, undo]() mutable { each(*kept, undo); });
  }
  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Duration drawn(Duration least, Duration most) {
    return least + seconds(uniform_sample() * static_cast<double>((most - least).count()) / 1e6);
  }
  TimePoint day_now() const { return TimePoint(engine_.now() - from_); }
  /// A point in time of the load as one of the engine.
  TimePoint engine_time(TimePoint day_time) const { return from_ + day_time.time_since_epoch(); }

  const day::Day& day_;
  std::unique_ptr<record::Writer> nodes_, told_, clients_, lives_;
  Engine engine_{};
  std::minstd_rand random_;
  Network network_;
  Fleet fleet_;
  std::vector<std::unique_ptr<SimulatedProxy>> proxies_{};
  std::vector<bool> up_{};
  load::Load load_;
  std::map<int, Place> places_{};
  std::map<std::string, int> server_of_{};
  std::vector<double> speeds_{};
  // The list.
  std::map<std::string, registry::Endpoint> listed_{};
  std::map<std::string, registry::Endpoint> changed_{};  // since the last telling
  Duration list_lag_{};
  TimePoint list_due_{};
  bool telling_ = false;
  // The controller.
  std::unique_ptr<rollout::Rollout> core_{};
  rollout::RolloutState state_{};
  membership::Membership members_;
  ReleaseUpdate published_{};
  TimePoint published_at_{};
  Duration news_lag_{};
  TimePoint news_due_{};
  int seen_version_ = 0;
  std::size_t seen_changes_ = 0;
  bool silent_ = false, errors_ = false;
  double counted_ = 0;
  Engine::Id look_{};
  // Clients.
  std::unordered_map<std::int64_t, Open> open_{};
  Engine::Id load_timer_{};
  std::string cut_zone_{}, slow_zone_{};
  Duration link_by_{};
  double link_lost_ = 0;
  TimePoint from_{};
  Summary summary_{};
};

std::unique_ptr<record::Writer> writer(const std::string& folder, const char* file) {
  return folder.empty() ? nullptr : std::make_unique<record::Writer>(folder + "/" + file);
}

Run::Run(const day::Day& day, long seed, const std::string& folder, const NetworkSettings& network,
         const PolicySpec& policy)
    : day_(day),
      nodes_(writer(folder, "nodes.jsonl")),
      told_(writer(folder, "told.jsonl")),
      clients_(writer(folder, "clients.jsonl")),
      lives_(writer(folder, "umpires.jsonl")),
      random_(static_cast<unsigned>(seed * 2 + 1)),
      network_(network, static_cast<unsigned>(seed * 3 + 7)),
      fleet_(
          engine_, day.deployment,
          [&] {
            Duration most{};
            for (auto& request_class : day.deployment.request_classes)
              most = std::max(most, request_class.request_class.dedup_window);
            return most;
          }(),
          day.cancelled, static_cast<unsigned>(seed * 2 + 2), nodes_.get()),
      load_(day.load, static_cast<unsigned>(seed * 2 + 101)),
      members_({day.deployment.proxies, lease, memory}),
      from_(TimePoint(settles_in)) {
  const auto& d = day.deployment;
  fleet_.answered = [this](std::uint64_t id, const Answer& answer) {
    const int u = static_cast<int>(id >> 40);
    engine_.in(network_.way(), [this, u, id, answer, life = proxies_[u]->life()] {
      SimulatedProxy& proxy = *proxies_[u];
      if (!proxy.up() || proxy.life() != life)
        return;
      const Outcome outcome = answer.is == Answer::Is::well     ? Outcome::ok
                              : answer.is == Answer::Is::failed ? Outcome::error
                              : answer.is == Answer::Is::full   ? Outcome::rejected
                                                                : Outcome::reset;
      proxy.ended(id, outcome, answer);
    });
  };
  fleet_.killed = [this](int server) {
    for (auto& proxy : proxies_)
      proxy->server_killed(server);
  };
  fleet_.way = [this](int proxy, int zone) {
    Fleet::Way way;
    const std::string &from = day_.deployment.zones[proxy % day_.deployment.zones.size()],
                      &to = day_.deployment.zones[zone];
    if (from == to)
      return way;
    way.cut = !cut_zone_.empty() && (from == cut_zone_ || to == cut_zone_);
    if (!slow_zone_.empty() && (from == slow_zone_ || to == slow_zone_)) {
      way.by = link_by_;
      way.lost = link_lost_;
    }
    return way;
  };
  for (int place = 0; place < day.places; ++place)
    speeds_.push_back(1 + day.speed_spread * (2 * uniform_sample() - 1));
  for (int u = 0; u < d.proxies; ++u) {
    SimulatedProxySettings settings;
    settings.number = u;
    settings.zone = static_cast<int>(u % d.zones.size());
    settings.salt = static_cast<unsigned>(1 + (seed * 7919 + u) % 2000000000);
    settings.policy = policy;
    SimulatedProxy::Ways ways;
    ways.answer = [this](std::int64_t id, const FinalAnswer& how) {
      engine_.in(network_.way(), [this, id, how] { answer(id, how); });
    };
    ways.vote = [this](int from, int build, int stage, Verdict verdict) {
      vote(from, build, stage, verdict);
    };
    ways.refresh = [this](int from) {
      engine_.in(2 * network_.way(), [this, from] { tell_whole(from); });
    };
    ways.server_of = [this](const std::string& name) {
      auto at = server_of_.find(name);
      return at == server_of_.end() ? -1 : at->second;
    };
    proxies_.push_back(
        std::make_unique<SimulatedProxy>(engine_, d, settings, fleet_, network_, std::move(ways)));
    up_.push_back(false);
  }
}

// Machines.

const machine::Build& Run::build(int number) const {
  for (const day::Offer& offer : day_.offers)
    if (offer.build.number == number)
      return offer.build;
  return day_.first;
}

void Run::execute(const rollout::Command& command) {
  if (command.kind == rollout::CommandKind::start) {
    places_[command.machine] = {"node-" + std::to_string(command.machine), command.slot,
                                command.build};
    if (command.build == day_.first.number && command.machine < day_.places)
      return boot(command.machine, false);
    engine_.in(drawn(day_.boot_least, day_.boot_most),
               [this, id = command.machine] { boot(id, true); });
    return;
  }
  auto at = places_.find(command.machine);
  if (at == places_.end())
    return;
  at->second.ordered_down = true;
  if (command.kind == rollout::CommandKind::drain) {
    if (at->second.listed)
      enlist(command.machine);
    return;
  }
  down(command.machine, false);
  places_.erase(command.machine);
  if (core_)
    core_->machine_stopped(command.machine, engine_.now());
}

void Run::enlist(int machine) {
  Place& place = places_.at(machine);
  registry::Endpoint entry;
  entry.name = place.name;
  entry.address = std::to_string(place.server);
  entry.zone = day_.deployment.zones[place.place % day_.deployment.zones.size()];
  entry.cell = place.place / day_.cell_size;
  entry.build = place.build;
  entry.phase = place.ordered_down ? EndpointPhase::draining : EndpointPhase::ready;
  entry.started = fleet_.started(place.server);
  place.listed = true;
  list_later(entry, false);
}

void Run::boot(int machine, bool cold) {
  auto at = places_.find(machine);
  if (at == places_.end() || (at->second.server >= 0 && fleet_.runs(at->second.server)))
    return;
  Place& place = at->second;
  ServerSpec spec;
  spec.name = place.name;
  spec.zone = static_cast<int>(place.place % day_.deployment.zones.size());
  spec.cell = place.place / day_.cell_size;
  spec.capacity = day_.capacity;
  spec.capacity.speed *= speeds_[place.place];
  spec.build = build(place.build);
  spec.cold = cold;
  place.server = fleet_.start(spec);
  server_of_[place.name] = place.server;
  enlist(machine);
  if (!core_)
    return;
  core_->machine_started(machine, engine_.now());
  pull_controller();
}

void Run::down(int machine, bool silently) {
  Place& place = places_.at(machine);
  place.listed = false;
  registry::Endpoint entry;
  entry.name = place.name;
  if (silently) {
    fleet_.silence(place.server);
    engine_.in(day_.silent_after, [this, machine, name = place.name] {
      auto at = places_.find(machine);
      registry::Endpoint gone;
      gone.name = name;
      if (at == places_.end() || !at->second.listed)
        list_later(gone, true);
    });
    return;
  }
  if (place.server >= 0)
    fleet_.kill(place.server);
  list_later(entry, true);
}

std::vector<int> Run::pick(double part) {
  std::vector<int> running;
  for (auto& [id, place] : places_)
    if (place.server >= 0 && fleet_.runs(place.server) && !place.ordered_down)
      running.push_back(id);
  std::shuffle(running.begin(), running.end(), random_);
  const auto many = std::max<std::size_t>(
      1, static_cast<std::size_t>(part * static_cast<double>(running.size()) + 0.5));
  running.resize(std::min(running.size(), many));
  return running;
}

void Run::share_harm() {
  double factor = 1;
  for (const day::Offer& offer : day_.offers)
    if (offer.build.flaw == machine::Flaw::shared)
      factor += (offer.build.strength - 1) * fleet_.share_of_traffic(offer.build.number, 1s);
  fleet_.harm_all(factor);
  engine_.in(10ms, [this] { share_harm(); });
}

// The list.

void Run::list_later(const registry::Endpoint& entry, bool removed) {
  list_due_ = std::max(list_due_, engine_.now() + list_lag_);
  auto held = std::make_shared<registry::Endpoint>(entry);
  engine_.at(list_due_, [this, held, removed] {
    if (removed) {
      auto at = listed_.find(held->name);
      if (at == listed_.end())
        return;
      *held = at->second;
      held->phase = EndpointPhase::removed;
      listed_.erase(at);
    } else {
      listed_[held->name] = *held;
    }
    changed_[held->name] = *held;
    if (telling_)
      return;
    telling_ = true;
    engine_.in(gather, [this] { tell_list(); });
  });
}

void Run::record_list(int proxy, const std::vector<registry::Endpoint>& entries, bool whole) {
  if (told_)
    record::told_list(*told_, engine_.now(), name_of(proxy), entries, whole);
}

void Run::tell_list() {
  telling_ = false;
  auto entries = std::make_shared<std::vector<registry::Endpoint>>();
  for (auto& [name, entry] : changed_)
    entries->push_back(entry);
  changed_.clear();
  for (int u = 0; u < static_cast<int>(proxies_.size()); ++u) {
    if (!proxies_[u]->up())
      continue;
    record_list(u, *entries, false);
    engine_.in(network_.way(), [this, u, entries, life = proxies_[u]->life()] {
      if (proxies_[u]->life() == life)
        proxies_[u]->list(*entries, false);
    });
  }
}

void Run::tell_whole(int u) {
  if (!proxies_[u]->up())
    return;
  auto entries = std::make_shared<std::vector<registry::Endpoint>>();
  for (auto& [name, entry] : listed_)
    entries->push_back(entry);
  record_list(u, *entries, true);
  engine_.in(network_.way(), [this, u, entries, life = proxies_[u]->life()] {
    if (proxies_[u]->life() == life)
      proxies_[u]->list(*entries, true);
  });
}

// The controller.

void Run::start_controller() {
  const auto& d = day_.deployment;
  if (state_.machines.empty())
    core_ =
        std::make_unique<rollout::Rollout>(d.rollout, day_.places, day_.first.number, d.proxies);
  else
    core_ = std::make_unique<rollout::Rollout>(d.rollout, day_.places, d.proxies, state_,
                                               engine_.now());
  seen_version_ = 0;
  seen_changes_ = 0;
  for (auto& [id, place] : places_)
    if (place.listed)
      core_->machine_started(id, engine_.now());
  pull_controller();
}

void Run::pull_controller() {
  if (!core_ || silent_ || errors_)
    return;
  const TimePoint now = engine_.now();
  core_->set_electorate({members_.promotion_electorate(), members_.rollback_electorate()});
  while (auto one = core_->next_command(now)) {
    execute(*one);
    if (!core_)
      return;
  }
  state_ = core_->state(now);
  const auto& changes = core_->changes();
  for (; seen_changes_ < changes.size(); ++seen_changes_) {
    const rollout::Change& change = changes[seen_changes_];
    summary_.verdicts.push_back(
        {change.at, change.build, change.stage, rollout::to_string(change.phase), change.why});
    if (told_)
      record::release_moved(*told_, change.at, change.build, change.stage,
                            rollout::to_string(change.phase), change.why);
  }
  if (core_->version() != seen_version_) {
    seen_version_ = core_->version();
    publish();
  }
  engine_.cancel(look_);
  if (auto at = core_->next_check_at(now))
    look_ = engine_.at(*at, [this] { pull_controller(); });
}

void Run::publish() {
  news_due_ = std::max(news_due_, engine_.now() + news_lag_);
  engine_.at(news_due_, [this, update = core_->release_update(engine_.now()), at = engine_.now()] {
    published_ = update;
    published_at_ = at;
    for (int u = 0; u < static_cast<int>(proxies_.size()); ++u)
      tell_release(u);
  });
}

void Run::tell_release(int u) {
  if (!proxies_[u]->up() || !core_)
    return;
  if (told_)
    record::told_news(*told_, engine_.now(), name_of(u), published_.build, published_.stage,
                      rollout::to_string(published_.phase), published_.cap);
  ReleaseUpdate update = published_;
  update.since += engine_.now() - published_at_;
  engine_.in(network_.way(), [this, u, update, life = proxies_[u]->life()] {
    if (proxies_[u]->life() == life)
      proxies_[u]->release(update);
  });
}

void Run::vote(int u, int build, int stage, Verdict verdict) {
  ++summary_.votes;
  const int life = proxies_[u]->life();
  const auto back = [this, u, life](Duration after, Outcome outcome) {
    engine_.in(after, [this, u, life, outcome] {
      if (proxies_[u]->life() == life)
        proxies_[u]->vote_answered(outcome);
    });
  };
  if (!core_)
    return back(2 * network_.way(), Outcome::connect_failure);
  engine_.in(network_.way(), [this, u, build, stage, verdict, back] {
    if (!core_)
      return back(network_.way(), Outcome::reset);
    const bool counts = !errors_ && (!silent_ || uniform_sample() < counted_);
    Outcome outcome = Outcome::error;
    if (counts) {
      members_.heartbeat(name_of(u), std::to_string(proxies_[u]->life()), engine_.now());
      outcome = core_->vote(name_of(u), build, stage, verdict, engine_.now());
    }
    if (told_)
      record::voted(*told_, engine_.now(), name_of(u), build, stage, rollout::to_string(verdict),
                    rollout::to_string(outcome));
    if (silent_)
      return back(day_.deployment.vote_timeout, Outcome::timeout);
    back(network_.way(), outcome);
    pull_controller();
  });
}

void Run::beat() {
  for (int u = 0; core_ && !silent_ && !errors_ && u < static_cast<int>(proxies_.size()); ++u)
    if (proxies_[u]->up())
      members_.heartbeat(name_of(u), std::to_string(proxies_[u]->life()), engine_.now());
  if (core_)
    members_.set_canary_running(core_->release_update(engine_.now()).phase == ReleasePhase::canary);
  members_.expire(engine_.now());
  engine_.in(beat_every, [this] { beat(); });
}

void Run::offer(const day::Offer& offer) {
  if (!core_) {
    engine_.in(100ms, [this, &offer] { this->offer(offer); });
    return;
  }
  core_->submit(offer.build.number, engine_.now());
  pull_controller();
}

// Clients.

void Run::pull_load() {
  engine_.cancel(load_timer_);
  while (auto one = load_.next(day_now()))
    send(*one);
  if (auto at = load_.next_at())
    load_timer_ = engine_.at(engine_time(*at), [this] { pull_load(); });
}

void Run::send(const load::Try& one) {
  ++summary_.tries;
  if (one.number == 0) {
    ++summary_.asked;
    summary_.max_weight +=
        day_.deployment.request_classes[one.request_class].request_class.priority_weight;
  }
  Open& open = open_[one.id];
  open.one = one;
  const TimePoint until = engine_time(one.until);
  SimulatedProxy& proxy = *proxies_[one.proxy];
  open.life = proxy.life();
  if (!proxy.up()) {
    engine_.in(front_refused, [this, id = one.id] {
      auto at = open_.find(id);
      if (at != open_.end())
        ended(at->second.one, load::End::unreached, {.status = 0});
    });
    return;
  }
  open.gives_up = engine_.at(until + 2 * day_.answer_slack, [this, id = one.id] {
    auto at = open_.find(id);
    if (at == open_.end())
      return;
    const load::Try gone = at->second.one;
    proxies_[gone.proxy]->left(id);
    ended(gone, load::End::timed_out, {.status = 0});
  });
  if (one.leaves > TimePoint{})
    open.leaves = engine_.at(engine_time(one.leaves), [this, id = one.id] {
      auto at = open_.find(id);
      if (at == open_.end())
        return;
      const load::Try gone = at->second.one;
      if (proxies_[gone.proxy]->up())
        proxies_[gone.proxy]->left(id);
      ended(gone, load::End::left, {.status = 0});
    });
  engine_.in(network_.way(), [this, id = one.id] {
    auto at = open_.find(id);
    if (at == open_.end())
      return;
    Open& still = at->second;
    SimulatedProxy& to = *proxies_[still.one.proxy];
    if (!to.up() || to.life() != still.life)
      return ended(still.one, load::End::broken, {.status = 0});
    load::Try taken = still.one;
    taken.at = engine_time(taken.at);
    to.take(taken, engine_time(still.one.until));
  });
}

void Run::answer(std::int64_t id, const FinalAnswer& how) {
  auto at = open_.find(id);
  if (at == open_.end())
    return;
  ended(at->second.one, how.end, how);
}

// By value: what it came from goes with it.
void Run::ended(load::Try one, load::End end, const FinalAnswer& how) {
  auto at = open_.find(one.id);
  if (at == open_.end())
    return;
  engine_.cancel(at->second.gives_up);
  engine_.cancel(at->second.leaves);
  open_.erase(at);
  const auto& request_class = day_.deployment.request_classes[one.request_class].request_class;
  const Duration took = engine_.now() - engine_time(one.at);
  switch (end) {
    case load::End::succeeded:
      ++summary_.succeeded;
      summary_.wrong += !how.right;
      summary_.took_ms.push_back(static_cast<double>(took.count()) / 1e3);
      if (how.right)
        summary_.priority_weight +=
            request_class.priority_weight *
            (took <= request_class.latency_objective ? 1 : request_class.late_weight_share);
      break;
    case load::End::rejected:
      ++summary_.rejected;
      break;
    case load::End::failed:
      ++summary_.failed;
      break;
    case load::End::unreached:
      ++summary_.unreached;
      break;
    case load::End::broken:
      ++summary_.broken;
      break;
    case load::End::left:
      ++summary_.left;
      break;
    case load::End::timed_out:
      ++summary_.timed_out;
      break;
    case load::End::rejected_before_routing:
      break;
  }
  if (clients_)
    record::tried(*clients_,
                  {.from = engine_time(one.at),
                   .to = engine_.now(),
                   .until = engine_time(one.until),
                   .id = one.id,
                   .first = one.first,
                   .number = one.number,
                   .request_class = one.request_class,
                   .tenant = one.tenant,
                   .proxy = name_of(one.proxy),
                   .key = one.key,
                   .poison = one.poison,
                   .end = load::to_string(end),
                   .status = how.status,
                   .why = how.why,
                   .endpoint = how.server < 0 ? std::string_view() : fleet_.spec(how.server).name,
                   .build = how.server < 0 ? -1.0 : fleet_.spec(how.server).build.number,
                   .right = how.right});
  if (end == load::End::succeeded &&
      uniform_sample() <
          (how.right ? day_.false_reports : day_.deployment.wrong_answer_report_share))
    engine_.in(drawn(day_.reports_least, day_.reports_most),
               [this, u = one.proxy, server = how.server] { proxies_[u]->found_wrong(server); });
  load_.ended(one.id, end, how.stay_away, day_now());
  pull_load();
}

// Proxies and troubles.

void Run::life(int u, const char* what) {
  if (lives_)
    record::proxy_life(*lives_, engine_.now(), name_of(u), what);
}

void Run::start_proxy(int u) {
  if (proxies_[u]->up())
    return;
  life(u, "start");
  proxies_[u]->start();
  engine_.in(2 * network_.way(), [this, u] { tell_whole(u); });
  engine_.in(2 * network_.way(), [this, u] { tell_release(u); });
  load_.proxy(u, true, day_now());
}

void Run::kill_proxy(int u) {
  if (!proxies_[u]->up())
    return;
  life(u, "killed");
  proxies_[u]->kill();
  load_.proxy(u, false, day_now());
  std::vector<std::int64_t> lost;
  for (auto& [id, open] : open_)
    if (open.one.proxy == u)
      lost.push_back(id);
  std::sort(lost.begin(), lost.end());
  for (std::int64_t id : lost)
    engine_.in(network_.way(), [this, id] {
      auto at = open_.find(id);
      if (at != open_.end())
        ended(at->second.one, load::End::broken, {.status = 0});
    });
}

void Run::begin(const Trouble& trouble) {
  const auto at_end = [&](auto undo) { engine_.in(trouble.lasts, undo); };
  const double size = trouble.size;
  const auto& d = day_.deployment;
  switch (trouble.kind) {
    case Kind::crash:
    case Kind::vanish:
      for (int id : pick(trouble.part)) {
        down(id, trouble.kind == Kind::vanish);
        if (core_)
          core_->machine_stopped(id, engine_.now());
        at_end([this, id] {
          auto at = places_.find(id);
          if (at == places_.end())
            return;
          if (at->second.server >= 0)
            fleet_.kill(at->second.server);
          boot(id, true);
        });
      }
      break;
    case Kind::slow:
      on_servers(
          trouble, [this, size](int server) { fleet_.slow(server, size); },
          [this](int server) { fleet_.slow(server, 1); });
      break;
    case Kind::fast_errors:
      on_servers(
          trouble, [this, size](int server) { fleet_.fail(server, size); },
          [this](int server) { fleet_.fail(server, 0); });
      break;
    case Kind::neighbour: {
      auto chosen = std::make_shared<std::vector<int>>(pick(trouble.part));
      const Duration every = std::max<Duration>(10ms, seconds(trouble.extra));
      const auto all = [this, chosen](double share) {
        for (int id : *chosen)
          if (auto at = places_.find(id); at != places_.end() && at->second.server >= 0)
            fleet_.neighbour(at->second.server, share);
      };
      for (int k = 0; every * k < trouble.lasts; ++k)
        engine_.in(every * k, [all, size, k] { all(k % 2 == 0 ? size : 0); });
      at_end([all] { all(0); });
      break;
    }
    case Kind::connection_squeeze: {
      const int most = static_cast<int>(size * d.proxies / day_.places) + 1;
      on_servers(
          trouble, [this, most](int server) { fleet_.squeeze(server, most); },
          [this](int server) { fleet_.squeeze(server, 0); });
      break;
    }
    case Kind::slow_handshakes:
      on_servers(
          trouble, [this, size](int server) { fleet_.slow_handshake(server, seconds(size)); },
          [this](int server) { fleet_.slow_handshake(server, 0ms); });
      break;
    case Kind::slow_link:
      slow_zone_ = trouble.zone;
      link_by_ = seconds(size);
      link_lost_ = trouble.extra;
      at_end([this] { slow_zone_.clear(); });
      break;
    case Kind::zone_cut:
      cut_zone_ = trouble.zone;
      at_end([this] { cut_zone_.clear(); });
      break;
    case Kind::stale_list:
      list_lag_ = day_.list_most + seconds(size);
      at_end([this] { list_lag_ = drawn(day_.list_least, day_.list_most); });
      break;
    case Kind::controller_crash:
      core_.reset();
      engine_.cancel(look_);
      at_end([this] { start_controller(); });
      break;
    case Kind::controller_down:
      if (trouble.how == "stale")
        news_lag_ = day_.news_most + seconds(size);
      else if (trouble.how == "silence")
        silent_ = true, counted_ = size;
      else
        errors_ = true;
      at_end([this] {
        news_lag_ = drawn(day_.news_least, day_.news_most);
        silent_ = errors_ = false;
        pull_controller();
      });
      break;
    case Kind::burst:
      load_.burst(size);
      at_end([this] { load_.burst(1); });
      break;
    case Kind::hot_caller: {
      std::vector<int> some;
      const int many = std::max(1, static_cast<int>(trouble.part * d.proxies + 0.5));
      for (int u = 0; u < many; ++u)
        some.push_back((u * 7 + 1) % d.proxies);
      load_.hot(some, size);
      at_end([this] { load_.hot({}, 0); });
      break;
    }
    case Kind::bad_requests:
      load_.poison(trouble.tenant.empty() ? -1 : d.tenant(trouble.tenant), size);
      at_end([this] { load_.poison(-1, 0); });
      break;
    case Kind::retry_abuse:
      load_.abuse(d.tenant(trouble.tenant), static_cast<int>(size), trouble.extra);
      at_end([this] { load_.abuse(-1, 0, 1); });
      break;
    case Kind::proxy_crash:
    case Kind::proxy_roll: {
      std::vector<int> chosen(proxies_.size());
      for (std::size_t u = 0; u < chosen.size(); ++u)
        chosen[u] = static_cast<int>(u);
      std::shuffle(chosen.begin(), chosen.end(), random_);
      const int proxies = static_cast<int>(chosen.size());
      chosen.resize(std::clamp(static_cast<int>(trouble.part * proxies + 0.5), 1, proxies));
      const bool roll = trouble.kind == Kind::proxy_roll;
      const int batch = roll ? std::max(1, static_cast<int>(size * proxies)) : proxies;
      const int batches = (static_cast<int>(chosen.size()) + batch - 1) / batch;
      for (std::size_t i = 0; i < chosen.size(); ++i) {
        const Duration begins =
            roll ? trouble.lasts * (static_cast<int>(i) / batch) / batches : Duration{};
        const Duration gone = roll ? seconds(trouble.extra) : trouble.lasts;
        engine_.in(begins, [this, u = chosen[i]] { kill_proxy(u); });
        engine_.in(begins + gone, [this, u = chosen[i]] { start_proxy(u); });
      }
      break;
    }
    case Kind::probe_fail:    // the module asks for no health calls
    case Kind::watch_breaks:  // a watch that breaks is taken up again: here nothing can be lost on
                              // the way
      break;
  }
}

Summary Run::play() {
  start_controller();
  for (int u = 0; u < static_cast<int>(proxies_.size()); ++u)
    start_proxy(u);
  beat();
  share_harm();
  engine_.run(from_);
  list_lag_ = drawn(day_.list_least, day_.list_most);
  news_lag_ = drawn(day_.news_least, day_.news_most);
  for (const Trouble& trouble : day_.troubles)
    engine_.at(from_ + trouble.at, [this, &trouble] { begin(trouble); });
  for (const day::Offer& offer : day_.offers)
    engine_.at(from_ + offer.at, [this, &offer] { this->offer(offer); });
  pull_load();
  const TimePoint end = from_ + day_.length;
  engine_.run(end);
  while (!load_.over() && engine_.now() < end + over_most && engine_.step(end + over_most)) {
  }
  for (std::size_t u = 0; u < proxies_.size(); ++u) {
    summary_.attempts += proxies_[u]->attempts();
    summary_.decisions += proxies_[u]->decisions();
    if (proxies_[u]->up())
      life(static_cast<int>(u), "stopped");
  }
  summary_.events = engine_.events();
  return std::move(summary_);
}

}  // namespace

std::string why_not(const day::Day& day) {
  if (day.database)
    return "it has a database, whose steps run on sockets only: play it with `robinhoist day`";
  return "";
}

Summary run(const day::Day& day, long seed, const std::string& folder,
            const NetworkSettings& network, const PolicySpec& policy) {
  if (const std::string why = why_not(day); !why.empty())
    throw std::runtime_error("the day can't be emulated: " + why);
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    record::write(folder + "/meta.json", day::meta_of(day, seed));
    std::filesystem::remove(folder + "/database.jsonl");
  }
  return Run(day, seed, folder, network, policy).play();
}

}  // namespace robinhoist::emulator
