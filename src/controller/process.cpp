#include "controller/process.h"

#include <csignal>

#include "controller/controller.h"
#include "deployment/deployment.h"
#include "net/signals.h"
#include "registry/service.h"

namespace robinhoist::controller {
namespace {

using namespace std::chrono_literals;

Token read_token(settings::SexpReader form) {
  Token token;
  token.name = form.positional(0, "a name");
  token.role = form.enumerator<Role>(
      "role", {{"read", Role::read}, {"umpire", Role::proxy}, {"operate", Role::operate}});
  token.sha256 = form.text("sha256");
  if (token.sha256.size() != 64 ||
      token.sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
    form.add_problem("sha256",
                     "is not 64 lower-case hexadecimal digits (printf %s TOKEN | sha256sum)");
  form.finish();
  return token;
}

void read_steps(settings::SexpReader& steps, settings::SexpReader& controller, Settings& settings) {
  settings.steps_target = steps.text("target");
  settings.steps_lease = steps.duration("lease", 100ms, 1h, 10s);
  settings.throttle_backfills = steps.boolean("throttle", true);
  steps.finish();
  if (settings.journal.empty())
    controller.add_problem(
        "steps", "need a (journal FILE): the record of executed steps must outlive the process");
}

bool is_loopback(const std::string& address) {
  const std::string host = address.substr(0, address.rfind(':'));
  return host == "localhost" || host == "[::1]" || host.rfind("127.", 0) == 0;
}

// Each process starts a new series of versions, identified by its start time.
std::string new_series() {
  return std::to_string(net::wall_now().time_since_epoch().count());
}

// Runs the service created by `make` on a loop until SIGTERM or SIGINT.
template <class Make>
int serve(const char* name, Make make) {
  log::Logger log(name);
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  auto service = make(loop, log);
  log.info("listening", {{"port", log::text(service->port())}});
  loop.run();
  return 0;
}

}  // namespace

Settings read(settings::SexpReader root) {
  Settings settings;
  const auto deployment = deployment::read(root.child("deployment"));
  settings::SexpReader form = root.child("controller");
  settings.server.listen = form.text("listen");
  settings.slots = form.integer("places", 1, 100000);
  settings.initial_build = form.integer("build", 1, 65535);
  settings.journal = form.text("journal", "");
  settings.name = form.text("name", "controller");
  if (auto steps = form.optional_child("steps"))
    read_steps(*steps, form, settings);
  for (settings::SexpReader& token : form.children("token"))
    settings.tokens.push_back(read_token(token));
  // Without tokens every client has full access, so the API must not be reachable from other hosts.
  if (settings.tokens.empty() && !is_loopback(settings.server.listen))
    form.add_problem("listen", "is not a loopback address, but no (token ...) is configured");
  settings.requests_per_s = form.number("requests-per-s", 0, 1e6, 0.0);
  settings.max_events = static_cast<std::size_t>(form.integer("history", 10, 1000000, 1000));
  settings.watches.max_watches = static_cast<std::size_t>(form.integer("watches", 1, 100000, 5000));
  settings.membership.lease = form.duration("umpire-lease", 100ms, 1h, 3s);
  settings.membership.retention = form.duration("umpire-memory", 1s, 24h * 7, 10min);
  if (settings.membership.retention < settings.membership.lease)
    form.add_problem("umpire-memory", "is less than umpire-lease");
  form.finish();
  root.finish();
  settings.proxies = deployment.proxies;
  settings.rollout = deployment.rollout;
  return settings;
}

int run(const Settings& settings) {
  return serve("controller", [&](net::Loop& loop, const log::Logger& log) {
    return std::make_unique<Controller>(loop, settings, log);
  });
}

RegistrySettings read_registry_settings(settings::SexpReader root) {
  RegistrySettings settings;
  settings::SexpReader form = root.child("list");
  settings.server.listen = form.text("listen");
  form.finish();
  root.finish();
  return settings;
}

int run_registry(const RegistrySettings& settings) {
  return serve("list", [&](net::Loop& loop, const log::Logger&) {
    return std::make_unique<registry::Service>(loop, settings.server, new_series());
  });
}

}  // namespace robinhoist::controller
