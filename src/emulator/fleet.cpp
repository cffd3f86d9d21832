#include "emulator/fleet.h"

#include <algorithm>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {
constexpr Duration lately_most = std::chrono::seconds(1);
// Wall clock of the record: any time will do that is not 'long ago'.
constexpr std::int64_t wall_us = 1'700'000'000'000'000;
}  // namespace

Fleet::Fleet(Engine& engine, const deployment::Deployment& deployment, Duration memory,
             machine::Cancelled cancelled, unsigned salt, record::Writer* record)
    : engine_(engine),
      deployment_(deployment),
      cancelled_(cancelled),
      random_(salt),
      record_(record),
      marks_(memory) {}

int Fleet::start(const ServerSpec& spec) {
  const TimePoint started = spec.cold ? engine_.now() : long_ago;
  servers_.push_back(
      std::make_unique<Server>(spec, static_cast<unsigned>(random_()), started, &marks_, &harm_));
  Server& server = *servers_.back();
  if (spec.cold)
    server.started = WallTime(engine_.now().time_since_epoch() + Duration(wall_us));
  if (record_)
    record::node_started(*record_, engine_.now(),
                         {spec.name, deployment_.zones[spec.zone], spec.cell, spec.build.number,
                          server.started, spec.cold, spec.capacity.cores, spec.capacity.speed});
  return size() - 1;
}

void Fleet::kill(int index) {
  Server& server = *servers_[index];
  if (!server.runs)
    return;
  server.runs = false;
  engine_.cancel(server.timer);
  if (record_)
    record::node_stopped(*record_, engine_.now(), server.spec.name, server.machine.most_pushed(),
                         server.machine.fallen());
  server.open.clear();
  server.work_of.clear();
  server.connections = 0;
  if (killed)
    killed(index);
}

void Fleet::silence(int index) {
  servers_[index]->silent = true;
  engine_.cancel(servers_[index]->timer);
}

void Fleet::note(const Server& server, const char* what, const Sent& sent, std::int64_t id) {
  if (!record_)
    return;
  const std::string request_id = "umpire-" + std::to_string(sent.proxy) + "." +
                                 std::to_string(sent.request_id),
                    attempt = std::to_string(sent.attempt), try_id = std::to_string(sent.try_id),
                    work = std::to_string(sent.work.count());
  record::node_met(*record_, engine_.now(), what,
                   {server.spec.name, server.spec.build.number, id, sent.request_class, request_id,
                    attempt, try_id, sent.key, work});
}

void Fleet::arrive(int index, const Sent& sent) {
  Server& server = *servers_[index];
  if (!server.runs)
    return;
  const std::int64_t id = next_work_++;
  const auto swallow = [&](const char* why) {
    note(server, why, sent, id);
    server.open[id] = {sent.id, -1, Duration{}};
    server.work_of[sent.id] = id;
  };
  if (server.silent)
    return swallow("silent");
  const Way there = way ? way(sent.proxy, server.spec.zone) : Way{};
  if (there.cut)
    return swallow("cut");
  if (there.lost > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < there.lost) {
    note(server, "cut", sent, id);
    return answered(sent.id, {.is = Answer::Is::broken});
  }
  if (sent.poison) {
    note(server, "poison", sent, id);
    return answered(sent.id, {.is = Answer::Is::failed});
  }
  machine::Work work{
      .id = id, .request_class = sent.request_class, .work = sent.work, .key = {}, .effect = false};
  const Idempotency idempotency =
      deployment_.request_classes[sent.request_class].request_class.idempotency;
  work.effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key)
    work.key = sent.key;
  const bool was_fallen = server.machine.fallen();
  const machine::Entry entry = server.machine.arrive(work, engine_.now());
  if (!was_fallen && server.machine.fallen())
    note(server, "fell", sent, id);
  lately_.emplace_back(engine_.now(), server.spec.build.number);
  while (lately_.front().first < engine_.now() - lately_most)
    lately_.pop_front();
  if (entry == machine::Entry::down) {
    server.silent = true;  // for good
    return swallow("down");
  }
  if (entry == machine::Entry::full) {
    note(server, "refused", sent, id);
    return answered(sent.id, {.is = Answer::Is::full});
  }
  note(server, "taken", sent, id);
  server.open[id] = {sent.id, sent.request_class,
                     there.by + (sent.first ? server.handshake : Duration{})};
  server.work_of[sent.id] = id;
  plan(index);
}

void Fleet::gone(int index, std::uint64_t attempt) {
  Server& server = *servers_[index];
  auto at = server.work_of.find(attempt);
  if (!server.runs || at == server.work_of.end())
    return;
  const std::int64_t id = at->second;
  server.work_of.erase(at);
  server.open.erase(id);
  if (server.silent)
    return;
  server.machine.called_off(id, cancelled_ != machine::Cancelled::nothing,
                            cancelled_ == machine::Cancelled::all, engine_.now());
  plan(index);
}

void Fleet::plan(int index) {
  Server& server = *servers_[index];
  engine_.cancel(server.timer);
  if (server.silent || !server.runs)
    return;
  if (auto at = server.machine.next_at())
    server.timer = engine_.at(*at, [this, index] { finish(index); });
}

void Fleet::finish(int index) {
  Server& server = *servers_[index];
  server.timer = {};
  while (auto done = server.machine.next(engine_.now())) {
    if (record_)
      record::node_ran(*record_, engine_.now(), server.spec.name, done->id,
                       machine::to_string(done->how), done->effect);
    auto at = server.open.find(done->id);
    if (at == server.open.end())
      continue;  // nobody waits for it any more
    const Open open = at->second;
    server.open.erase(at);
    const Answer answer{done->how == machine::Ran::failed ? Answer::Is::failed : Answer::Is::well,
                        done->how != machine::Ran::wrong, server.machine.busy(),
                        server.machine.held()};
    if (open.by == Duration{}) {
      server.work_of.erase(open.id);
      answered(open.id, answer);
    } else {
      engine_.in(open.by, [this, index, id = open.id, answer] {
        if (!servers_[index]->runs || servers_[index]->work_of.erase(id) == 0)
          return;
        answered(id, answer);
      });
    }
  }
  plan(index);
}

double Fleet::share_of_traffic(int build, Duration window) {
  while (!lately_.empty() && lately_.front().first < engine_.now() - window)
    lately_.pop_front();
  const auto its =
      std::count_if(lately_.begin(), lately_.end(), [&](auto& one) { return one.second == build; });
  return lately_.empty() ? 0 : static_cast<double>(its) / static_cast<double>(lately_.size());
}

}  // namespace robinhoist::emulator
