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

// Executes the controller's commands, and reports to registry and controller.
class Agent {
 public:
  Agent(net::Loop& loop, const Settings& settings, const log::Logger& log)
      : loop_(loop),
        settings_(settings),
        log_(log),
        servers_(loop, settings.deployment, settings.pool, 1, nullptr) {
    http::ConnectionPoolSettings pool;
    if (!settings.registry.empty())
      registry_ = std::make_unique<http::ConnectionPool>(
          loop, Poco::Net::SocketAddress(settings.registry), pool);
    if (!settings.controller.empty())
      controller_ = std::make_unique<http::ConnectionPool>(
          loop, Poco::Net::SocketAddress(settings.controller), pool);
  }

  void start() {
    if (controller_)
      return poll_commands();
    for (int slot = 0; slot < settings_.server_count; ++slot)
      boot(slot, slot, settings_.builds.front().number);
  }

 private:
  const machine::Build* find_build(int number) const {
    for (const machine::Build& build : settings_.builds)
      if (build.number == number)
        return &build;
    return nullptr;
  }

  // A build that the settings do not list runs without flaws.
  void boot(int machine, int slot, int number) {
    const machine::Build* listed = find_build(number);
    machine::Build unlisted;
    unlisted.number = number;
    const auto& zones = settings_.deployment.zones;
    ServerSpec spec;
    spec.name = "node-" + std::to_string(machine);
    spec.zone = zones[slot % zones.size()];
    spec.capacity = settings_.capacity;
    spec.build = listed ? *listed : unlisted;
    if (settings_.first_port > 0)
      spec.listen = "127.0.0.1:" + std::to_string(settings_.first_port + machine);
    int port = 0;
    try {
      port = servers_.start(spec);
    } catch (const std::runtime_error& error) {
      return log_.error("cannot start server", {{"node", spec.name}, {"why", error.what()}});
    }
    log_.info("server started",
              {{"node", spec.name}, {"port", log::text(port)}, {"build", log::text(number)}});
    registry::Endpoint endpoint;
    endpoint.name = spec.name;
    endpoint.address = "127.0.0.1:" + std::to_string(port);
    endpoint.zone = spec.zone;
    endpoint.build = number;
    endpoint.started = net::wall_now();
    endpoints_[machine] = endpoint;
    register_endpoint(endpoint);
    report_state(machine, "up");
  }

  void register_endpoint(const registry::Endpoint& endpoint) {
    if (!registry_)
      return;
    // The registry takes the object that is the only element of the encoded list.
    const std::string list = registry::encode({"", 0, false, {endpoint}});
    const std::size_t from = list.find('[') + 1;
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/nodes";
    request.body = list.substr(from, list.rfind(']') - from);
    call(*registry_, request);
  }

  void report_state(int machine, const char* state) {
    if (!controller_)
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
    call(*controller_, request);
  }

  // Retries until there is a response other than a server error.
  void call(http::ConnectionPool& pool, const http::Request& request) {
    pool.call(request, 2s,
              [this, &pool, request](http::CallResult result, http::Response&& response) {
                if (result == http::CallResult::answered && response.status < 500)
                  return;
                loop_.in(300ms, [this, &pool, request] { call(pool, request); });
              });
  }

  void poll_commands() {
    http::Request request;
    request.target = "/v1/orders";
    controller_->call(request, 2s, [this](http::CallResult result, http::Response&& response) {
      if (result == http::CallResult::answered && response.status == 200) {
        try {
          auto document = json::parse_object(response.body);
          for (const json::Value& command : json::array(document, "orders").GetArray())
            execute(command);
        } catch (const json::DecodeError& error) {
          log_.error("cannot decode a command of the controller", {{"why", error.what()}});
        }
      }
      loop_.in(100ms, [this] { poll_commands(); });
    });
  }

  void execute(const json::Value& command) {
    const std::string kind = json::text(command, "is");
    const int machine = json::integer(command, "machine");
    if (kind == "start" && endpoints_.count(machine) > 0)
      return report_state(machine, "up");  // a repeated command
    if (kind == "start") {
      const int slot = json::integer(command, "place"), build = json::integer(command, "build");
      loop_.in(settings_.boot_time, [this, machine, slot, build] { boot(machine, slot, build); });
      return;
    }
    auto at = endpoints_.find(machine);
    if (at == endpoints_.end())
      return;
    at->second.phase = kind == "drain" ? EndpointPhase::draining : EndpointPhase::removed;
    if (kind == "drain")
      return register_endpoint(at->second);
    servers_.kill(at->second.name);
    http::Request request;
    request.method = "DELETE";
    request.target = "/v1/nodes/" + at->second.name;
    if (registry_)
      call(*registry_, request);
    endpoints_.erase(at);
    report_state(machine, "gone");
  }

  net::Loop& loop_;
  const Settings& settings_;
  const log::Logger& log_;
  ServerPool servers_;
  std::unique_ptr<http::ConnectionPool> registry_{}, controller_{};
  std::map<int, registry::Endpoint> endpoints_{};  // by machine
};

}  // namespace

Settings read(settings::SexpReader root) {
  Settings settings;
  settings.deployment = deployment::read(root.child("deployment"));
  settings::SexpReader form = root.child("standin");
  settings.registry = form.text("list", "");
  settings.controller = form.text("orders-from", "");
  settings.server_count = form.integer("nodes", 1, 10000, 1);
  settings.first_port = form.integer("first-port", 0, 65535, 0);
  settings.boot_time = form.duration("boot", 0ms, 1min, 0ms);
  if (auto capacity = form.optional_child("capacity"))
    settings.capacity = machine::read_capacity(*capacity, settings.deployment);
  for (settings::SexpReader& build : form.children("build", 1))
    settings.builds.push_back(machine::read_build(build, settings.deployment));
  settings.pool.dedup_window = form.duration("memory", 0ms, 24h, 2s);
  const Duration work = form.duration("work", 0ms, 1min, 10ms);
  settings.pool.default_work.assign(settings.deployment.request_classes.size(), work);
  form.finish();
  root.finish();
  return settings;
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
