#include "standin/server_pool.h"

#include <cstdio>
#include <unordered_map>

#include "record/lines.h"

namespace robinhoist::standin {
namespace {
using namespace std::chrono_literals;
}  // namespace

struct ServerPool::Server {
  Server(const ServerSpec& given, unsigned salt, TimePoint started, machine::DedupStore* marks,
         const machine::SharedSlowdown* harm)
      : spec(given), machine(given.capacity, given.build, salt, started, marks, harm) {}
  struct OpenRequest {
    http::ExchangePtr exchange;
    int request_class;
    Duration delay;  // added to the response
  };
  ServerSpec spec;
  machine::Machine machine;
  WallTime started{};  // since 1970; 0: long ago
  std::unique_ptr<http::Server> http_server{};
  std::unordered_map<std::int64_t, OpenRequest> open{};
  net::Loop::Timer timer = net::Loop::no_timer;
  bool hung = false;  // accepts requests, never responds
  double probe_failure_share = 0;
  Duration handshake_delay{};
};

ServerPool::ServerPool(net::Loop& loop, const deployment::Deployment& deployment,
                       const PoolSettings& settings, unsigned salt, record::Writer* record)
    : loop_(loop),
      deployment_(deployment),
      settings_(settings),
      random_(salt),
      record_(record),
      completed_keys_(settings.dedup_window) {}

ServerPool::~ServerPool() {
  while (!servers_.empty())
    kill(servers_.begin()->first);
}

int ServerPool::start(const ServerSpec& spec) {
  if (is_running(spec.name))
    kill(spec.name);
  const TimePoint started = spec.cold ? loop_.now() : long_ago;
  auto server = std::make_unique<Server>(spec, static_cast<unsigned>(random_()), started,
                                         &completed_keys_, &shared_slowdown_);
  http::ServerSettings settings;
  settings.listen = spec.listen;
  settings.max_clients = settings_.max_clients;
  server->http_server = std::make_unique<http::Server>(
      loop_, settings,
      [this, at = server.get()](const http::ExchangePtr& exchange) { handle(*at, exchange); });
  int port = server->http_server->port();
  if (spec.cold)
    server->started = net::wall_now();
  if (record_)
    record::server_started(*record_, loop_.now(),
                           {spec.name, spec.zone, spec.cell, spec.build.number, server->started,
                            spec.cold, spec.capacity.cores, spec.capacity.speed});
  servers_[spec.name] = std::move(server);
  return port;
}

int ServerPool::port(const std::string& name) const {
  return servers_.at(name)->http_server->port();
}

WallTime ServerPool::started(const std::string& name) const {
  return servers_.at(name)->started;
}

void ServerPool::kill(const std::string& name) {
  auto at = servers_.find(name);
  if (at == servers_.end())
    return;
  Server& server = *at->second;
  loop_.cancel(server.timer);
  for (auto& [id, open] : server.open)
    open.exchange->on_disconnect = nullptr;
  server.open.clear();
  server.http_server.reset();
  if (record_)
    record::server_stopped(*record_, loop_.now(), name, server.machine.max_cold_load(),
                           server.machine.has_collapsed());
  statistics_.max_cold_load = std::max(statistics_.max_cold_load, server.machine.max_cold_load());
  servers_.erase(at);
}

void ServerPool::hang(const std::string& name) {
  if (!is_running(name))
    return;
  Server& server = *servers_[name];
  server.hung = true;
  loop_.cancel(server.timer);
}

void ServerPool::set_slowdown(const std::string& name, double factor) {
  if (is_running(name))
    servers_[name]->machine.set_slowdown(factor);
}

void ServerPool::set_failure_share(const std::string& name, double share) {
  if (is_running(name))
    servers_[name]->machine.set_failure_share(share);
}

void ServerPool::set_stolen_core_share(const std::string& name, double share) {
  if (is_running(name))
    servers_[name]->machine.set_stolen_core_share(share);
}

void ServerPool::limit_connections(const std::string& name, std::size_t max_connections) {
  if (!is_running(name))
    return;
  http::Server& server = *servers_[name]->http_server;
  server.set_max_clients(max_connections > 0 ? max_connections : settings_.max_clients);
  if (max_connections > 0)
    server.close_idle(max_connections);
}

void ServerPool::set_handshake_delay(const std::string& name, Duration delay) {
  if (is_running(name))
    servers_[name]->handshake_delay = delay;
}

void ServerPool::set_probe_failure_share(const std::string& name, double share) {
  if (is_running(name))
    servers_[name]->probe_failure_share = share;
}

void ServerPool::record_request(const Server& server, const char* event,
                                const http::Request& request, int request_class, std::int64_t id) {
  if (!record_)
    return;
  const http::Headers& headers = request.headers;
  record::request_arrived(
      *record_, loop_.now(), event,
      {server.spec.name, server.spec.build.number, id, request_class, headers.get("Robinhoist-Txn"),
       headers.get("Robinhoist-Submission"), headers.get("X-Try"), headers.get("Idempotency-Key"),
       headers.get("X-Work-Us")});
}

void ServerPool::handle(Server& server, const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  // Keeps the exchange open without ever responding.
  auto leave_unanswered = [&](const char* event) {
    const std::int64_t id = next_id_++;
    record_request(server, event, request,
                   deployment_.match_request_class(request.method, request.path()), id);
    server.open[id] = {exchange, -1, Duration{}};
    exchange->on_disconnect = [at = &server, id] { at->open.erase(id); };
  };
  if (server.hung)
    return leave_unanswered("silent");
  auto uniform_sample = [this] { return std::uniform_real_distribution<double>(0, 1)(random_); };
  if (request.path() == "/health") {
    const bool healthy =
        server.probe_failure_share <= 0 || uniform_sample() >= server.probe_failure_share;
    return exchange->answer(
        http::text_response(healthy ? 200 : 503, healthy ? "well\n" : "not well\n"));
  }
  Link link;
  if (link_between) {
    std::string_view proxy = request.headers.get("Robinhoist-Txn");
    link = link_between(std::string(proxy.substr(0, proxy.find('.'))), server.spec.zone);
  }
  if (link.cut)
    return leave_unanswered("cut");
  if (link.loss > 0 && uniform_sample() < link.loss) {
    record_request(server, "cut", request,
                   deployment_.match_request_class(request.method, request.path()), next_id_++);
    return exchange->abort_connection();
  }
  const Duration delay =
      link.delay + (exchange->first_on_connection ? server.handshake_delay : Duration{});
  const int request_class = deployment_.match_request_class(request.method, request.path());
  if (request_class < 0)
    return exchange->answer(http::text_response(404, "no such product\n"));
  machine::Work work;
  work.id = next_id_++;
  work.request_class = request_class;
  std::string_view work_header = request.headers.get("X-Work-Us");
  auto us = work_header.empty() ? std::nullopt : settings::parse_number(std::string(work_header));
  work.work = us && *us >= 0 ? Duration(static_cast<std::int64_t>(*us))
              : request_class < static_cast<int>(settings_.default_work.size())
                  ? settings_.default_work[request_class]
                  : Duration(1ms);
  const Idempotency idempotency =
      deployment_.request_classes[request_class].request_class.idempotency;
  work.has_effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key)
    work.key = request.headers.get("Idempotency-Key");
  if (!request.headers.get("X-Poison").empty()) {
    record_request(server, "poison", request, request_class, work.id);
    return exchange->answer(http::json_response(500, "{\"error\":\"poison\"}"));
  }
  const bool had_collapsed = server.machine.has_collapsed();
  const machine::Admission entry = server.machine.arrive(work, loop_.now());
  if (!had_collapsed && server.machine.has_collapsed()) {
    ++statistics_.collapsed;
    record_request(server, "fell", request, request_class, work.id);
  }
  ++statistics_.arrived;
  recent_arrivals_.emplace_back(loop_.now(), server.spec.build.number);
  if (entry == machine::Admission::collapsed) {
    server.hung = true;  // until it is started again
    return leave_unanswered("down");
  }
  if (entry == machine::Admission::full) {
    ++statistics_.rejected;
    record_request(server, "refused", request, request_class, work.id);
    http::Response full = http::text_response(503, "no room\n");
    full.headers.add("X-Not-Run", "1");
    return exchange->answer(std::move(full));
  }
  record_request(server, "taken", request, request_class, work.id);
  server.open[work.id] = {exchange, request_class, delay};
  exchange->on_disconnect = [this, at = &server, id = work.id] {
    at->open.erase(id);
    at->machine.cancel(id, settings_.cancellation != machine::CancellationMode::nothing,
                       settings_.cancellation == machine::CancellationMode::all, loop_.now());
    schedule_completion(*at);
  };
  schedule_completion(server);
}

void ServerPool::schedule_completion(Server& server) {
  loop_.cancel(server.timer);
  if (server.hung)
    return;
  if (auto at = server.machine.next_completion_at())
    server.timer = loop_.at(*at, [this, server = &server] { complete_due_work(*server); });
}

void ServerPool::complete_due_work(Server& server) {
  server.timer = net::Loop::no_timer;
  while (auto done = server.machine.next_completed(loop_.now())) {
    ++statistics_.completed;
    statistics_.effects += done->changed_data;
    const bool unready = done->result == machine::WorkResult::ok &&
                         !server.spec.schema_query.empty() && is_schema_ready &&
                         !is_schema_ready(server.spec.schema_query);
    if (unready)
      done->result = machine::WorkResult::wrong;
    auto at = server.open.find(done->id);
    const bool is_open = at != server.open.end();
    if (record_)
      record::work_completed(*record_, loop_.now(), server.spec.name, done->id,
                             unready ? "unready" : machine::to_string(done->result),
                             done->changed_data);
    if (!is_open)
      continue;  // the proxy has disconnected
    Server::OpenRequest open = std::move(at->second);
    server.open.erase(at);
    open.exchange->on_disconnect = nullptr;
    http::Response response =
        done->result == machine::WorkResult::failed
            ? http::json_response(500, "{\"error\":\"failed\"}")
            : http::json_response(
                  200, json::Writer()
                           .begin_object()
                           .put("product", deployment_.request_classes[open.request_class].name)
                           .put("node", server.spec.name)
                           .put("build", server.spec.build.number)
                           .put("right", done->result != machine::WorkResult::wrong)
                           .end_object()
                           .text());
    char load[96];
    std::snprintf(load, sizeof load, "TEXT cpu_utilization=%.2f,named_metrics.held=%d",
                  server.machine.utilization(), server.machine.in_flight());
    response.headers.add("endpoint-load-metrics", load);
    if (open.delay > Duration{}) {
      loop_.in(open.delay, [exchange = open.exchange, response] { exchange->answer(response); });
    } else {
      open.exchange->answer(std::move(response));
    }
  }
  schedule_completion(server);
}

ServerPool::Statistics ServerPool::statistics() const {
  Statistics statistics = statistics_;
  for (auto& [name, server] : servers_)
    statistics.max_cold_load = std::max(statistics.max_cold_load, server->machine.max_cold_load());
  return statistics;
}

double ServerPool::share_of_traffic(int build, Duration window) {
  while (!recent_arrivals_.empty() && recent_arrivals_.front().first < loop_.now() - window)
    recent_arrivals_.pop_front();
  double matching = 0;
  for (auto& [at, arrival_build] : recent_arrivals_)
    matching += arrival_build == build;
  return recent_arrivals_.empty() ? 0 : matching / static_cast<double>(recent_arrivals_.size());
}

std::vector<std::string> ServerPool::names() const {
  std::vector<std::string> names;
  for (auto& [name, server] : servers_)
    names.push_back(name);
  return names;
}

}  // namespace robinhoist::standin
