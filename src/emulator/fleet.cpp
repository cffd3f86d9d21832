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
             machine::CancellationMode cancelled, unsigned salt, record::Writer* record)
    : engine_(engine),
      deployment_(deployment),
      cancellation_(cancelled),
      random_(salt),
      record_(record),
      completed_keys_(memory) {}

int Fleet::start(const ServerSpec& spec) {
  const TimePoint started = spec.cold ? engine_.now() : long_ago;
  servers_.push_back(std::make_unique<Server>(spec, static_cast<unsigned>(random_()), started,
                                              &completed_keys_, &shared_slowdown_));
  Server& server = *servers_.back();
  if (spec.cold)
    server.started = WallTime(engine_.now().time_since_epoch() + Duration(wall_us));
  if (record_)
    record::server_started(*record_, engine_.now(),
                           {spec.name, deployment_.zones[spec.zone], spec.cell, spec.build.number,
                            server.started, spec.cold, spec.capacity.cores, spec.capacity.speed});
  return size() - 1;
}

void Fleet::kill(int index) {
  Server& server = *servers_[index];
  if (!server.running)
    return;
  server.running = false;
  engine_.cancel(server.timer);
  if (record_)
    record::server_stopped(*record_, engine_.now(), server.spec.name,
                           server.machine.max_cold_load(), server.machine.has_collapsed());
  server.open.clear();
  server.work_id_of.clear();
  server.connections = 0;
  if (on_server_killed)
    on_server_killed(index);
}

void Fleet::hang(int index) {
  servers_[index]->hung = true;
  engine_.cancel(servers_[index]->timer);
}

void Fleet::record_request(const Server& server, const char* what, const ServerRequest& sent,
                           std::int64_t id) {
  if (!record_)
    return;
  const std::string request_id = "umpire-" + std::to_string(sent.proxy) + "." +
                                 std::to_string(sent.request_id),
                    attempt = std::to_string(sent.attempt),
                    try_id = std::to_string(sent.client_attempt_id),
                    work = std::to_string(sent.work.count());
  record::request_arrived(*record_, engine_.now(), what,
                          {server.spec.name, server.spec.build.number, id, sent.request_class,
                           request_id, attempt, try_id, sent.key, work});
}

void Fleet::arrive(int index, const ServerRequest& sent) {
  Server& server = *servers_[index];
  if (!server.running)
    return;
  const std::int64_t id = next_work_++;
  const auto swallow = [&](const char* why) {
    record_request(server, why, sent, id);
    server.open[id] = {sent.id, -1, Duration{}};
    server.work_id_of[sent.id] = id;
  };
  if (server.hung)
    return swallow("silent");
  const Link there = link_between ? link_between(sent.proxy, server.spec.zone) : Link{};
  if (there.cut)
    return swallow("cut");
  if (there.loss > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < there.loss) {
    record_request(server, "cut", sent, id);
    return on_response(sent.id, {.status = ServerResponse::Status::connection_lost});
  }
  if (sent.poison) {
    record_request(server, "poison", sent, id);
    return on_response(sent.id, {.status = ServerResponse::Status::failed});
  }
  machine::Work work{.id = id,
                     .request_class = sent.request_class,
                     .work = sent.work,
                     .key = {},
                     .has_effect = false};
  const Idempotency idempotency =
      deployment_.request_classes[sent.request_class].request_class.idempotency;
  work.has_effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key)
    work.key = sent.key;
  const bool was_fallen = server.machine.has_collapsed();
  const machine::Admission entry = server.machine.arrive(work, engine_.now());
  if (!was_fallen && server.machine.has_collapsed())
    record_request(server, "fell", sent, id);
  recent_arrivals_.emplace_back(engine_.now(), server.spec.build.number);
  while (recent_arrivals_.front().first < engine_.now() - lately_most)
    recent_arrivals_.pop_front();
  if (entry == machine::Admission::collapsed) {
    server.hung = true;  // for good
    return swallow("down");
  }
  if (entry == machine::Admission::full) {
    record_request(server, "refused", sent, id);
    return on_response(sent.id, {.status = ServerResponse::Status::rejected});
  }
  record_request(server, "taken", sent, id);
  server.open[id] = {sent.id, sent.request_class,
                     there.delay + (sent.fresh_connection ? server.handshake_delay : Duration{})};
  server.work_id_of[sent.id] = id;
  schedule_completion(index);
}

void Fleet::cancel(int index, std::uint64_t attempt) {
  Server& server = *servers_[index];
  auto at = server.work_id_of.find(attempt);
  if (!server.running || at == server.work_id_of.end())
    return;
  const std::int64_t id = at->second;
  server.work_id_of.erase(at);
  server.open.erase(id);
  if (server.hung)
    return;
  server.machine.cancel(id, cancellation_ != machine::CancellationMode::nothing,
                        cancellation_ == machine::CancellationMode::all, engine_.now());
  schedule_completion(index);
}

void Fleet::schedule_completion(int index) {
  Server& server = *servers_[index];
  engine_.cancel(server.timer);
  if (server.hung || !server.running)
    return;
  if (auto at = server.machine.next_completion_at())
    server.timer = engine_.at(*at, [this, index] { complete_due_work(index); });
}

void Fleet::complete_due_work(int index) {
  Server& server = *servers_[index];
  server.timer = {};
  while (auto done = server.machine.next_completed(engine_.now())) {
    if (record_)
      record::work_completed(*record_, engine_.now(), server.spec.name, done->id,
                             machine::to_string(done->result), done->changed_data);
    auto at = server.open.find(done->id);
    if (at == server.open.end())
      continue;  // nobody waits for it any more
    const OpenRequest open = at->second;
    server.open.erase(at);
    const ServerResponse answer{done->result == machine::WorkResult::failed
                                    ? ServerResponse::Status::failed
                                    : ServerResponse::Status::ok,
                                done->result != machine::WorkResult::wrong,
                                server.machine.utilization(), server.machine.in_flight()};
    if (open.delay == Duration{}) {
      server.work_id_of.erase(open.id);
      on_response(open.id, answer);
    } else {
      engine_.in(open.delay, [this, index, id = open.id, answer] {
        if (!servers_[index]->running || servers_[index]->work_id_of.erase(id) == 0)
          return;
        on_response(id, answer);
      });
    }
  }
  schedule_completion(index);
}

double Fleet::share_of_traffic(int build, Duration window) {
  while (!recent_arrivals_.empty() && recent_arrivals_.front().first < engine_.now() - window)
    recent_arrivals_.pop_front();
  const auto its = std::count_if(recent_arrivals_.begin(), recent_arrivals_.end(),
                                 [&](auto& one) { return one.second == build; });
  return recent_arrivals_.empty()
             ? 0
             : static_cast<double>(its) / static_cast<double>(recent_arrivals_.size());
}

}  // namespace robinhoist::emulator
