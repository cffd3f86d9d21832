#include "standin/agent.h"

#include <csignal>

#include "http/connection_pool.h"
#include "log/logger.h"
#include "machine/forms.h"
#include "net/signals.h"
#include "registry/registry.h"

namespace robinhoist::standin {
namespace {

using namespace std::chrono_literals;

struct Machine {
  std::string name, zone;
  int port = 0;
};

// Runs what it is ordered to, and tells list and controller.
class Agent {
 public:
  Agent(net::Loop& loop, const Settings& settings, const log::Logger& log)
      : loop_(loop),
        settings_(settings),
        log_(log),
        nodes_(loop, settings.deployment, settings.shared, 1, nullptr) {
    http::ConnectionPoolSettings calls;
    if (!settings.list.empty())
      list_ = std::make_unique<http::ConnectionPool>(loop, Poco::Net::SocketAddress(settings.list),
                                                     calls);
    if (!settings.orders_from.empty())
      orders_ = std::make_unique<http::ConnectionPool>(
          loop, Poco::Net::SocketAddress(settings.orders_from), calls);
  }

  void start() {
    if (orders_)
      return ask();
    for (int place = 0; place < settings_.nodes; ++place)
      boot(place, place, settings_.builds.front().number);
  }

 private:
  const machine::Build* build(int number) const {
    for (const machine::Build& one : settings_.builds)
      if (one.number == number)
        return &one;
    return nullptr;
  }

  void boot(int machine, int place, int number) {
    const machine::Build* known = build(number);
    machine::Build unknown;
    unknown.number = number;
    const auto& zones = settings_.deployment.zones;
    NodeSpec spec;
    spec.name = "node-" + std::to_string(machine);
    spec.zone = zones[place % zones.size()];
    spec.capacity = settings_.capacity;
    spec.build = known ? *known : unknown;
    if (settings_.first_port > 0)
      spec.listen = "127.0.0.1:" + std::to_string(settings_.first_port + machine);
    Machine& one = machines_[machine];
    one = {spec.name, spec.zone, 0};
    try {
      one.port = nodes_.start(spec);
    } catch (const std::runtime_error& bad) {
      return log_.error("a node can't start", {{"node", spec.name}, {"why", bad.what()}});
    }
    log_.info("node runs",
              {{"node", spec.name}, {"port", log::text(one.port)}, {"build", log::text(number)}});
    registry::Endpoint entry;
    entry.name = spec.name;
    entry.address = "127.0.0.1:" + std::to_string(one.port);
    entry.zone = spec.zone;
    entry.build = number;
    entry.started = net::wall_now();
    entries_[machine] = entry;
    tell(entry);
    report(machine, "up");
  }

  void tell(const registry::Endpoint& entry) {
    if (!list_)
      return;
    std::string all = registry::encode({"", 0, false, {entry}});
    const std::size_t from = all.find('[') + 1;
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/nodes";
    request.body = all.substr(from, all.rfind(']') - from);
    call(*list_, request);
  }

  void report(int machine, const char* state) {
    if (!orders_)
      return;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/machines";
    request.body = json::Writer()
                       .begin_object()
                       .put("machine", machine)
                       .put("state", state)
                       .end_object()
                       .text();
    call(*orders_, request);
  }

  // Told again until it is heard.
  void call(http::ConnectionPool& caller, const http::Request& request) {
    caller.call(request, 2s,
                [this, &caller, request](http::CallResult how, http::Response&& response) {
                  if (how == http::CallResult::answered && response.status < 500)
                    return;
                  loop_.in(300ms, [this, &caller, request] { call(caller, request); });
                });
  }

  void ask() {
    http::Request request;
    request.target = "/v1/orders";
    orders_->call(request, 2s, [this](http::CallResult how, http::Response&& response) {
      if (how == http::CallResult::answered && response.status == 200) {
        try {
          auto document = json::parse_object(response.body);
          for (const json::Value& order : json::array(document, "orders").GetArray())
            take(order);
        } catch (const json::DecodeError& bad) {
          log_.error("an order makes no sense", {{"why", bad.what()}});
        }
      }
      loop_.in(100ms, [this] { ask(); });
    });
  }

  void take(const json::Value& order) {
    const std::string is = json::text(order, "is");
    const int machine = json::integer(order, "machine");
    if (is == "start" && entries_.count(machine) > 0)
      return report(machine, "up");  // told twice
    if (is == "start") {
      const int place = json::integer(order, "place"), number = json::integer(order, "build");
      loop_.in(settings_.boot, [this, machine, place, number] { boot(machine, place, number); });
      return;
    }
    auto at = entries_.find(machine);
    if (at == entries_.end())
      return;
    at->second.phase = is == "drain" ? EndpointPhase::draining : EndpointPhase::removed;
    if (is == "drain")
      return tell(at->second);
    nodes_.kill(at->second.name);
    http::Request request;
    request.method = "DELETE";
    request.target = "/v1/nodes/" + at->second.name;
    if (list_)
      call(*list_, request);
    entries_.erase(at);
    report(machine, "gone");
  }

  net::Loop& loop_;
  const Settings& settings_;
  const log::Logger& log_;
  Nodes nodes_;
  std::unique_ptr<http::ConnectionPool> list_{}, orders_{};
  std::map<int, Machine> machines_{};
  std::map<int, registry::Endpoint> entries_{};
};

}  // namespace

Settings read(settings::SexpReader root) {
  Settings to;
  to.deployment = deployment::read(root.child("deployment"));
  settings::SexpReader form = root.child("standin");
  to.list = form.text("list", "");
  to.orders_from = form.text("orders-from", "");
  to.nodes = form.integer("nodes", 1, 10000, 1);
  to.first_port = form.integer("first-port", 0, 65535, 0);
  to.boot = form.duration("boot", 0ms, 1min, 0ms);
  if (auto capacity = form.optional_child("capacity"))
    to.capacity = machine::read_capacity(*capacity, to.deployment);
  for (settings::SexpReader& build : form.children("build", 1))
    to.builds.push_back(machine::read_build(build, to.deployment));
  to.shared.memory = form.duration("memory", 0ms, 24h, 2s);
  const Duration work = form.duration("work", 0ms, 1min, 10ms);
  to.shared.work.assign(to.deployment.request_classes.size(), work);
  form.finish();
  root.finish();
  return to;
}

int run(const Settings& settings) {
  log::Logger log("standin");
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  Agent agent(loop, settings, log);
  agent.start();
  loop.run();
  return 0;
}

}  // namespace robinhoist::standin
