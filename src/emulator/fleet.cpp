#include "emulator/fleet.h"

#include <algorithm>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {
constexpr Duration max_traffic_window = std::chrono::seconds(1);
// Start of the wall clock in the event log. Must not be zero, which marks servers that started long
// before.
constexpr std::int64_t wall_clock_start_us = 1'700'000'000'000'000;
}  // namespace

Fleet::Fleet(Engine& engine, const deployment::Deployment& deployment, Duration dedup_window,
             machine::CancellationMode cancellation, unsigned salt, record::Writer* log)
    : engine_(engine),
      deployment_(deployment),
      cancellation_(cancellation),
      random_(salt),
      log_(log),
      completed_keys_(dedup_window) {}

int Fleet::start(const ServerSpec& spec) {
  const TimePoint started = spec.cold ? engine_.now() : long_ago;
  servers_.push_back(std::make_unique<Server>(spec, static_cast<unsigned>(random_()), started,
                                              &completed_keys_, &shared_slowdown_));
  Server& server = *servers_.back();
  if (spec.cold)
    server.started = WallTime(engine_.now().time_since_epoch() + Duration(wall_clock_start_us));
  if (log_)
    record::server_started(*log_, engine_.now(),
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
  if (log_)
    record::server_stopped(*log_, engine_.now(), server.spec.name, server.machine.max_cold_load(),
                           server.machine.has_collapsed());
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

void Fleet::record_request(const Server& server, const char* event, const ServerRequest& request,
                           std::int64_t work_id) {
  if (!log_)
    return;
  const std::string request_id = "umpire-" + std::to_string(request.proxy) + "." +
                                 std::to_string(request.request_id),
                    attempt = std::to_string(request.attempt),
                    client_attempt_id = std::to_string(request.client_attempt_id),
                    work = std::to_string(request.work.count());
  record::request_arrived(
      *log_, engine_.now(), event,
      {server.spec.name, server.spec.build.number, work_id, request.request_class, request_id,
       attempt, client_attempt_id, request.key, work});
}

void Fleet::arrive(int index, const ServerRequest& request) {
  Server& server = *servers_[index];
  if (!server.running)
    return;
  const std::int64_t id = next_work_id_++;
  // Keeps the request open without ever responding.
  const auto leave_unanswered = [&](const char* event) {
    record_request(server, event, request, id);
    server.open[id] = {request.id, -1, Duration{}};
    server.work_id_of[request.id] = id;
  };
  if (server.hung)
    return leave_unanswered("silent");
  const Link link = link_between ? link_between(request.proxy, server.spec.zone) : Link{};
  if (link.cut)
    return leave_unanswered("cut");
  if (link.loss > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < link.loss) {
    record_request(server, "cut", request, id);
    return on_response(request.id, {.status = ServerResponse::Status::connection_lost});
  }
  if (request.poison) {
    record_request(server, "poison", request, id);
    return on_response(request.id, {.status = ServerResponse::Status::failed});
  }
  machine::Work work{.id = id,
                     .request_class = request.request_class,
                     .work = request.work,
                     .key = {},
                     .has_effect = false};
  const Idempotency idempotency =
      deployment_.request_classes[request.request_class].request_class.idempotency;
  work.has_effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key)
    work.key = request.key;
  const bool had_collapsed = server.machine.has_collapsed();
  const machine::Admission admission = server.machine.arrive(work, engine_.now());
  if (!had_collapsed && server.machine.has_collapsed())
    record_request(server, "fell", request, id);
  recent_arrivals_.emplace_back(engine_.now(), server.spec.build.number);
  while (recent_arrivals_.front().first < engine_.now() - max_traffic_window)
    recent_arrivals_.pop_front();
  if (admission == machine::Admission::collapsed) {
    server.hung = true;  // until the server is killed
    return leave_unanswered("down");
  }
  if (admission == machine::Admission::full) {
    record_request(server, "refused", request, id);
    return on_response(request.id, {.status = ServerResponse::Status::rejected});
  }
  record_request(server, "taken", request, id);
  server.open[id] = {request.id, request.request_class,
                     link.delay + (request.fresh_connection ? server.handshake_delay : Duration{})};
  server.work_id_of[request.id] = id;
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
  while (auto completed = server.machine.next_completed(engine_.now())) {
    if (log_)
      record::work_completed(*log_, engine_.now(), server.spec.name, completed->id,
                             machine::to_string(completed->result), completed->changed_data);
    auto at = server.open.find(completed->id);
    if (at == server.open.end())
      continue;  // the proxy has closed the connection
    const OpenRequest open = at->second;
    server.open.erase(at);
    const ServerResponse response{completed->result == machine::WorkResult::failed
                                      ? ServerResponse::Status::failed
                                      : ServerResponse::Status::ok,
                                  completed->result != machine::WorkResult::wrong,
                                  server.machine.utilization(), server.machine.in_flight()};
    if (open.delay == Duration{}) {
      server.work_id_of.erase(open.id);
      on_response(open.id, response);
    } else {
      engine_.in(open.delay, [this, index, id = open.id, response] {
        if (!servers_[index]->running || servers_[index]->work_id_of.erase(id) == 0)
          return;
        on_response(id, response);
      });
    }
  }
  schedule_completion(index);
}

double Fleet::share_of_traffic(int build, Duration window) {
  while (!recent_arrivals_.empty() && recent_arrivals_.front().first < engine_.now() - window)
    recent_arrivals_.pop_front();
  const auto matching = std::count_if(recent_arrivals_.begin(), recent_arrivals_.end(),
                                      [&](auto& arrival) { return arrival.second == build; });
  return recent_arrivals_.empty()
             ? 0
             : static_cast<double>(matching) / static_cast<double>(recent_arrivals_.size());
}

}  // namespace robinhoist::emulator
