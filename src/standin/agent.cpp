#include "standin/agent.h"

#include <csignal>

#include "http/caller.h"
#include "list/registry.h"
#include "log/log.h"
#include "net/signals.h"

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
  Agent(net::Loop& loop, const Settings& settings, const log::Log& log)
      : loop_(loop), settings_(settings), log_(log),
        nodes_(loop, settings.deployment, settings.shared, 1, nullptr) {
    http::CallerSettings calls;
    if (!settings.list.empty())
      list_ = std::make_unique<http::Caller>(loop, Poco::Net::SocketAddress(settings.list), calls);
    if (!settings.orders_from.empty())
      orders_ = std::make_unique<http::Caller>(loop, Poco::Net::SocketAddress(settings.orders_from), calls);
  }

  void start() {
    if (orders_) return ask();
    for (int place = 0; place < settings_.nodes; ++place) boot(place, place, settings_.builds.front().number);
  }

 private:
  const machine::Build* build(int number) const {
    for (const machine::Build& one : settings_.builds)
      if (one.number == number) return &one;
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
    if (settings_.first_port > 0) spec.listen = "127.0.0.1:" + std::to_string(settings_.first_port + machine);
    Machine& one = machines_[machine];
    one = {spec.name, spec.zone, 0};
    try {
      one.port = nodes_.start(spec);
    } catch (const std::runtime_error& bad) {
      return log_.error("a node can't start", {{"node", spec.name}, {"why", bad.what()}});
    }
    log_.info("node runs",
              {{"node", spec.name}, {"port", log::text(one.port)}, {"build", log::text(number)}});
    list::Entry entry;
    entry.name = spec.name;
    entry.address = "127.0.0.1:" + std::to_string(one.port);
    entry.zone = spec.zone;
    entry.build = number;
    entry.started = net::wall_now();
    entries_[machine] = entry;
    tell(entry);
    report(machine, "up");
  }

  void tell(const list::Entry& entry) {
    if (!list_) return;
    std::string all = list::encoded({"", 0, false, {entry}});
    const std::size_t from = all.find('[') + 1;
    http::Request request;
    request.method = "PUT";
    request.target = "/v1/nodes";
    request.body = all.substr(from, all.rfind(']') - from);
    call(*list_, request);
  }

  void report(int machine, const char* state) {
    if (!orders_) return;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/machines";
    request.body = json::Out().open().put("machine", machine).put("state", state).close().text();
    call(*orders_, request);
  }

  // Told again until it is heard.
  void call(http::Caller& caller, const http::Request& request) {
    caller.call(request, 2s, [this, &caller, request](http::Ended how, http::Response&& response) {
      if (how == http::Ended::answered && response.status < 500) return;
      loop_.in(300ms, [this, &caller, request] { call(caller, request); });
    });
  }

  void ask() {
    http::Request request;
    request.target = "/v1/orders";
    orders_->call(request, 2s, [this](http::Ended how, http::Response&& response) {
      if (how == http::Ended::answered && response.status == 200) {
        try {
          auto document = json::object_of(response.body);
          for (const json::Json& order : json::array(document, "orders").GetArray()) take(order);
        } catch (const json::BadInput& bad) {
          log_.error("an order makes no sense", {{"why", bad.what()}});
        }
      }
      loop_.in(100ms, [this] { ask(); });
    });
  }

  void take(const json::Json& order) {
    const std::string is = json::text(order, "is");
    const int machine = json::whole(order, "machine");
    if (is == "start" && entries_.count(machine) > 0) return report(machine, "up");  // told twice
    if (is == "start") {
      const int place = json::whole(order, "place"), number = json::whole(order, "build");
      loop_.in(settings_.boot, [this, machine, place, number] { boot(machine, place, number); });
      return;
    }
    auto at = entries_.find(machine);
    if (at == entries_.end()) return;
    at->second.phase = is == "drain" ? NodePhase::lame : NodePhase::out;
    if (is == "drain") return tell(at->second);
    nodes_.kill(at->second.name);
    http::Request request;
    request.method = "DELETE";
    request.target = "/v1/nodes/" + at->second.name;
    if (list_) call(*list_, request);
    entries_.erase(at);
    report(machine, "gone");
  }

  net::Loop& loop_;
  const Settings& settings_;
  const log::Log& log_;
  Nodes nodes_;
  std::unique_ptr<http::Caller> list_{}, orders_{};
  std::map<int, Machine> machines_{};
  std::map<int, list::Entry> entries_{};
};

}  // namespace

machine::Capacity read_capacity(settings::Form form, const deployment::Deployment& deployment) {
  machine::Capacity to;
  to.cores = form.whole("cores", 1, 1024, 2);
  to.slots = form.whole("slots", 1, 100000, 8 * to.cores);
  to.waiting_room = form.whole("waiting-room", 0, 100000, 32 * to.cores);
  to.speed = form.number("speed", 0.01, 100, 1.0);
  to.crowding = form.number("crowding", 0, 1, 0.0);
  form.finish();
  to.cold_from = deployment.cold_from;
  to.cold_for = deployment.cold_for;
  to.fall_multiple = deployment.fall_multiple;
  to.fall_window = deployment.fall_window;
  return to;
}

machine::Build read_build(settings::Form form, const deployment::Deployment& deployment) {
  using machine::Flaw;
  machine::Build to;
  auto number = settings::number_of(form.own_word(0, "a build number"));
  if (!number || *number < 1 || *number > 65535 || *number != static_cast<int>(*number))
    form.problem("its number is not a whole number from 1 to 65535");
  else to.number = static_cast<int>(*number);
  to.speed = form.number("speed", 0.1, 10, 1.0);
  if (auto bad = form.maybe("bad")) {
    const std::string how = bad->own_word(0, "the way in which it is bad");
    const std::pair<const char*, Flaw> ways[] = {
        {"errors", Flaw::errors}, {"slow", Flaw::slow},   {"product", Flaw::product}, {"load", Flaw::load},
        {"late", Flaw::late},     {"wrong", Flaw::wrong}, {"shared", Flaw::shared}};
    for (auto& [name, flaw] : ways)
      if (how == name) to.flaw = flaw;
    if (to.flaw == Flaw::none)
      bad->problem(how + " is none of errors, slow, product, load, late, wrong, shared");
    const bool factor =
        to.flaw == Flaw::slow || to.flaw == Flaw::load || to.flaw == Flaw::late || to.flaw == Flaw::shared;
    to.strength = factor ? bad->number("times", 1, 100) : bad->number("share", 0, 1);
    if (to.flaw == Flaw::load || to.flaw == Flaw::late) to.failing = bad->number("failing", 0, 1, 0.1);
    if (to.flaw == Flaw::load) to.busy = bad->number("busy", 0, 1);
    if (to.flaw == Flaw::late) to.after = bad->span("after", 0ms, 1h);
    if (to.flaw == Flaw::product) {
      to.product = deployment.product(bad->text("product"));
      if (to.product < 0) bad->problem("product", "is none of the deployment's");
    }
    bad->finish();
  }
  form.finish();
  return to;
}

Settings read(settings::Form root) {
  Settings to;
  to.deployment = deployment::read(root.sub("deployment"));
  settings::Form form = root.sub("standin");
  to.list = form.text("list", "");
  to.orders_from = form.text("orders-from", "");
  to.nodes = form.whole("nodes", 1, 10000, 1);
  to.first_port = form.whole("first-port", 0, 65535, 0);
  to.boot = form.span("boot", 0ms, 1min, 0ms);
  if (auto capacity = form.maybe("capacity")) to.capacity = read_capacity(*capacity, to.deployment);
  for (settings::Form& build : form.each("build", 1)) to.builds.push_back(read_build(build, to.deployment));
  to.shared.memory = form.span("memory", 0ms, 24h, 2s);
  const Span work = form.span("work", 0ms, 1min, 10ms);
  to.shared.work.assign(to.deployment.products.size(), work);
  form.finish();
  root.finish();
  return to;
}

int run(const Settings& settings) {
  log::Log log("standin");
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  Agent agent(loop, settings, log);
  agent.start();
  loop.run();
  return 0;
}

}  // namespace robinhoist::standin
