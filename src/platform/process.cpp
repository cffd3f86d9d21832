#include "platform/process.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>

#include "net/signals.h"
#include "platform/protocol.h"
#include "platform/sources.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

constexpr int own_sockets =
    24;  // loop, signals, listener, watches, votes, the standard three, some in hand
constexpr std::size_t most_body = 64 * 1024,
                      most_head = 8 * 1024;  // of requests: the protocol's, and ours
// Endpoints' answers are larger than the protocol says (400 KB were seen), so they are bounded by
// the memory: this many at once, each with its copies on the way through.
constexpr double answers_held = 96;
constexpr Duration first_request_timeout = 2s, request_within = 2s, idle_timeout = 5s;
constexpr Duration restart_window =
    600ms;  // new connections may still come for so long after SIGTERM
constexpr Duration figures_every = 5s;

}  // namespace

proxy::RouterSettings router_settings(const Config& config) {
  proxy::RouterSettings to;
  to.name = config.name;
  to.salt = config.salt;
  const auto sockets = static_cast<std::size_t>(config.limits.sockets - own_sockets);
  const std::size_t clients = sockets * 45 / 100;
  to.server.listen = config.listen;
  to.server.limits = {.max_header_bytes = most_head, .max_body_bytes = most_body};
  to.server.max_clients = clients;
  to.server.evict_idle = true;
  to.server.request_timeout = request_within;
  to.server.first_request_timeout = first_request_timeout;
  to.server.idle_timeout = idle_timeout;
  const std::size_t answer = std::max<std::size_t>(
      most_body, static_cast<std::size_t>(config.limits.memory_mb * 1024 * 1024 / answers_held));
  to.server.stream_backlog = answer;
  to.endpoint.max_connections = sockets - clients;
  to.endpoint.budget = std::make_shared<http::ConnectionBudget>(sockets - clients);
  to.endpoint.connect_timeout = config.module_settings.connect_timeout;
  to.endpoint.idle_timeout =
      config.module_settings.keep_idle * 4 / 5;  // before the endpoint closes it
  to.endpoint.limits = {
      .max_header_bytes = most_head, .max_body_bytes = answer, .require_length = true};
  return to;
}

int run(const std::string& config_file) {
  // One thread with small memory: one arena, and what is free goes back.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 512 * 1024);
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  const Config config = of_file(config_file);
  log::Logger log(config.name, "info");
  net::Loop loop(net::steady_now());
  std::signal(SIGPIPE, SIG_IGN);
  Discovery endpoints(loop, config.discovery, config.known.version,
                      Discovery::watching(config.salt + 1), log);
  ReleaseApi releases(loop, config.release_api, config.news,
                      config.module_settings.analysis.call_timeout, config.salt + 2, log);
  const PlatformProtocol protocol(config.module_settings);
  proxy::Router router(loop, router_settings(config), config.module_settings, protocol, log,
                       endpoints, releases);
  releases.on_flagged([&](const std::string& endpoint, Duration) { router.found_wrong(endpoint); });

  bool stopping = false;
  net::Signals signals(loop, {SIGTERM, SIGINT, SIGHUP}, [&](int which) {
    if (which == SIGHUP) {
      try {
        const Config fresh = of_file(config_file);
        endpoints.move(fresh.discovery);
        releases.move(fresh.release_api);
        log.info("configuration read again",
                 {{"discovery", fresh.discovery}, {"release_api", fresh.release_api}});
      } catch (const json::DecodeError& bad) {
        log.warn("configuration not read again: all stays as it was", {{"why", bad.what()}});
      }
      return;
    }
    if (stopping)
      return;
    stopping = true;
    router.retire();
    loop.in(restart_window, [&] { router.drain([&] { loop.quit(); }); });
  });
  router.start();
  router.cached_endpoints(config.known);
  log.info("routes", {{"listen", config.listen},
                      {"nodes_known", log::text(config.known.entries.size())},
                      {"sockets", log::text(config.limits.sockets)},
                      {"memory_mb", log::text(config.limits.memory_mb)},
                      {"cores", log::text(config.limits.cores)}});
  const auto figures = [&](const char* what) {
    const proxy::Counters& c = router.counters();
    log.info(what, {{"taken", log::text(c.taken)},
                    {"not_taken", log::text(c.rejected_before_routing)},
                    {"settled", log::text(c.succeeded)},
                    {"late", log::text(c.late)},
                    {"declined", log::text(c.rejected)},
                    {"voided", log::text(c.failed)},
                    {"left", log::text(c.left)},
                    {"submissions", log::text(c.attempts)},
                    {"open", log::text(router.open_requests())},
                    {"clients", log::text(router.clients())},
                    {"wake_late_us_p99", log::text(loop.lateness(0.99).value_or(0))}});
  };
  std::function<void()> tell = [&] {
    figures("figures");
    loop.in(figures_every, tell);
  };
  loop.in(figures_every, tell);
  loop.run();
  figures("ends");
  return 0;
}

}  // namespace robinhoist::platform
