#include "standin/nodes.h"

#include <cstdio>
#include <unordered_map>

#include "record/lines.h"

namespace robinhoist::standin {
namespace {
using namespace std::chrono_literals;
}  // namespace

struct Nodes::Node {
  Node(const NodeSpec& given, unsigned salt, TimePoint started, machine::Marks* marks,
       const machine::SharedHarm* harm)
      : spec(given), machine(given.capacity, given.build, salt, started, marks, harm) {}
  struct Open {
    http::ExchangePtr exchange;
    int request_class;
    Duration by;  // the answer takes so much longer
  };
  NodeSpec spec;
  machine::Machine machine;
  WallTime started{};  // since 1970; 0: long ago
  std::unique_ptr<http::Server> server{};
  std::unordered_map<std::int64_t, Open> open{};
  net::Loop::Timer timer = net::Loop::no_timer;
  bool silent = false;
  double probes_fail = 0;
  Duration handshake{};
};

Nodes::Nodes(net::Loop& loop, const deployment::Deployment& deployment, const Shared& shared,
             unsigned salt, record::Writer* record)
    : loop_(loop),
      deployment_(deployment),
      shared_(shared),
      random_(salt),
      record_(record),
      marks_(shared.memory) {}

Nodes::~Nodes() {
  while (!nodes_.empty())
    kill(nodes_.begin()->first);
}

int Nodes::start(const NodeSpec& spec) {
  if (runs(spec.name))
    kill(spec.name);
  const TimePoint started = spec.cold ? loop_.now() : long_ago;
  auto node =
      std::make_unique<Node>(spec, static_cast<unsigned>(random_()), started, &marks_, &harm_);
  http::ServerSettings settings;
  settings.listen = spec.listen;
  settings.max_clients = shared_.max_clients;
  node->server = std::make_unique<http::Server>(
      loop_, settings,
      [this, at = node.get()](const http::ExchangePtr& exchange) { handle(*at, exchange); });
  int port = node->server->port();
  if (spec.cold)
    node->started = net::wall_now();
  if (record_)
    record::node_started(*record_, loop_.now(),
                         {spec.name, spec.zone, spec.cell, spec.build.number, node->started,
                          spec.cold, spec.capacity.cores, spec.capacity.speed});
  nodes_[spec.name] = std::move(node);
  return port;
}

int Nodes::port(const std::string& name) const {
  return nodes_.at(name)->server->port();
}
WallTime Nodes::started(const std::string& name) const {
  return nodes_.at(name)->started;
}

void Nodes::kill(const std::string& name) {
  auto at = nodes_.find(name);
  if (at == nodes_.end())
    return;
  Node& node = *at->second;
  loop_.cancel(node.timer);
  for (auto& [id, open] : node.open)
    open.exchange->on_disconnect = nullptr;
  node.open.clear();
  node.server.reset();
  if (record_)
    record::node_stopped(*record_, loop_.now(), name, node.machine.most_pushed(),
                         node.machine.fallen());
  figures_.most_pushed = std::max(figures_.most_pushed, node.machine.most_pushed());
  nodes_.erase(at);
}

void Nodes::silence(const std::string& name) {
  if (!runs(name))
    return;
  Node& node = *nodes_[name];
  node.silent = true;
  loop_.cancel(node.timer);
}

void Nodes::slow(const std::string& name, double times) {
  if (runs(name))
    nodes_[name]->machine.slowed(times);
}
void Nodes::fail(const std::string& name, double share) {
  if (runs(name))
    nodes_[name]->machine.failing(share);
}
void Nodes::neighbour(const std::string& name, double share) {
  if (runs(name))
    nodes_[name]->machine.neighbour(share);
}
void Nodes::squeeze(const std::string& name, std::size_t connections) {
  if (!runs(name))
    return;
  http::Server& server = *nodes_[name]->server;
  server.set_max_clients(connections > 0 ? connections : shared_.max_clients);
  if (connections > 0)
    server.close_idle(connections);
}
void Nodes::slow_handshake(const std::string& name, Duration by) {
  if (runs(name))
    nodes_[name]->handshake = by;
}
void Nodes::fail_probes(const std::string& name, double share) {
  if (runs(name))
    nodes_[name]->probes_fail = share;
}
void Nodes::note(const Node& node, const char* what, const http::Request& request,
                 int request_class, std::int64_t id) {
  if (!record_)
    return;
  const http::Headers& said = request.headers;
  record::node_met(*record_, loop_.now(), what,
                   {node.spec.name, node.spec.build.number, id, request_class,
                    said.get("Robinhoist-Txn"), said.get("Robinhoist-Submission"),
                    said.get("X-Try"), said.get("Idempotency-Key"), said.get("X-Work-Us")});
}

void Nodes::handle(Node& node, const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  // Kept and never answered.
  auto swallow = [&](const char* why) {
    const std::int64_t id = next_id_++;
    note(node, why, request, deployment_.match_request_class(request.method, request.path()), id);
    node.open[id] = {exchange, -1, Duration{}};
    exchange->on_disconnect = [at = &node, id] { at->open.erase(id); };
  };
  if (node.silent)
    return swallow("silent");
  auto uniform_sample = [this] { return std::uniform_real_distribution<double>(0, 1)(random_); };
  if (request.path() == "/health") {
    const bool well = node.probes_fail <= 0 || uniform_sample() >= node.probes_fail;
    return exchange->answer(http::text_response(well ? 200 : 503, well ? "well\n" : "not well\n"));
  }
  Way there;
  if (way) {
    std::string_view proxy = request.headers.get("Robinhoist-Txn");
    there = way(std::string(proxy.substr(0, proxy.find('.'))), node.spec.zone);
  }
  if (there.cut)
    return swallow("cut");
  if (there.lost > 0 && uniform_sample() < there.lost) {
    note(node, "cut", request, deployment_.match_request_class(request.method, request.path()),
         next_id_++);
    return exchange->abort_connection();
  }
  const Duration by = there.by + (exchange->first_on_connection ? node.handshake : Duration{});
  const int request_class = deployment_.match_request_class(request.method, request.path());
  if (request_class < 0)
    return exchange->answer(http::text_response(404, "no such product\n"));
  machine::Work work;
  work.id = next_id_++;
  work.request_class = request_class;
  std::string_view said = request.headers.get("X-Work-Us");
  auto us = said.empty() ? std::nullopt : settings::parse_number(std::string(said));
  work.work = us && *us >= 0 ? Duration(static_cast<std::int64_t>(*us))
              : request_class < static_cast<int>(shared_.work.size()) ? shared_.work[request_class]
                                                                      : Duration(1ms);
  const Idempotency idempotency =
      deployment_.request_classes[request_class].request_class.idempotency;
  work.effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key)
    work.key = request.headers.get("Idempotency-Key");
  if (!request.headers.get("X-Poison").empty()) {
    note(node, "poison", request, request_class, work.id);
    return exchange->answer(http::json_response(500, "{\"error\":\"poison\"}"));
  }
  const bool was_fallen = node.machine.fallen();
  const machine::Entry entry = node.machine.arrive(work, loop_.now());
  if (!was_fallen && node.machine.fallen()) {
    ++figures_.fell;
    note(node, "fell", request, request_class, work.id);
  }
  ++figures_.arrived;
  lately_.emplace_back(loop_.now(), node.spec.build.number);
  if (entry == machine::Entry::down) {
    node.silent = true;  // for good
    return swallow("down");
  }
  if (entry == machine::Entry::full) {
    ++figures_.refused;
    note(node, "refused", request, request_class, work.id);
    http::Response full = http::text_response(503, "no room\n");
    full.headers.add("X-Not-Run", "1");
    return exchange->answer(std::move(full));
  }
  note(node, "taken", request, request_class, work.id);
  node.open[work.id] = {exchange, request_class, by};
  exchange->on_disconnect = [this, at = &node, id = work.id] {
    at->open.erase(id);
    at->machine.called_off(id, shared_.cancelled != Cancelled::nothing,
                           shared_.cancelled == Cancelled::all, loop_.now());
    plan(*at);
  };
  plan(node);
}

void Nodes::plan(Node& node) {
  loop_.cancel(node.timer);
  if (node.silent)
    return;
  if (auto at = node.machine.next_at())
    node.timer = loop_.at(*at, [this, node = &node] { finish(*node); });
}

void Nodes::finish(Node& node) {
  node.timer = net::Loop::no_timer;
  while (auto done = node.machine.next(loop_.now())) {
    ++figures_.ran;
    figures_.effects += done->effect;
    const bool unready = done->how == machine::Ran::well && !node.spec.needs.empty() && ready &&
                         !ready(node.spec.needs);
    if (unready)
      done->how = machine::Ran::wrong;
    auto at = node.open.find(done->id);
    const bool known = at != node.open.end();
    if (record_)
      record::node_ran(*record_, loop_.now(), node.spec.name, done->id,
                       unready ? "unready" : machine::to_string(done->how), done->effect);
    if (!known)
      continue;  // nobody waits for it any more
    Node::Open open = std::move(at->second);
    node.open.erase(at);
    open.exchange->on_disconnect = nullptr;
    http::Response response =
        done->how == machine::Ran::failed
            ? http::json_response(500, "{\"error\":\"failed\"}")
            : http::json_response(
                  200, json::Writer()
                           .begin_object()
                           .put("product", deployment_.request_classes[open.request_class].name)
                           .put("node", node.spec.name)
                           .put("build", node.spec.build.number)
                           .put("right", done->how != machine::Ran::wrong)
                           .end_object()
                           .text());
    char load[96];
    std::snprintf(load, sizeof load, "TEXT cpu_utilization=%.2f,named_metrics.held=%d",
                  node.machine.busy(), node.machine.held());
    response.headers.add("endpoint-load-metrics", load);
    if (open.by > Duration{}) {
      loop_.in(open.by, [exchange = open.exchange, response] { exchange->answer(response); });
    } else {
      open.exchange->answer(std::move(response));
    }
  }
  plan(node);
}

Nodes::Figures Nodes::figures() const {
  Figures figures = figures_;
  for (auto& [name, node] : nodes_)
    figures.most_pushed = std::max(figures.most_pushed, node->machine.most_pushed());
  return figures;
}

double Nodes::share_of_traffic(int build, Duration window) {
  while (!lately_.empty() && lately_.front().first < loop_.now() - window)
    lately_.pop_front();
  double its = 0;
  for (auto& [at, of] : lately_)
    its += of == build;
  return lately_.empty() ? 0 : its / static_cast<double>(lately_.size());
}

std::vector<std::string> Nodes::names() const {
  std::vector<std::string> names;
  for (auto& [name, node] : nodes_)
    names.push_back(name);
  return names;
}

}  // namespace robinhoist::standin
