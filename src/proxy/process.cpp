#include "proxy/process.h"

#include <csignal>
#include <memory>

#include "net/signals.h"
#include "proxy/admin_server.h"
#include "proxy/http_endpoint_source.h"
#include "proxy/http_protocol.h"
#include "proxy/router.h"
#include "proxy/watch_release_source.h"

namespace robinhoist::proxy {
namespace {

WatchReleaseSource::Settings release_source_settings(const Settings& settings) {
  return {.address = settings.controller_address,
          .proxy = settings.name,
          .token = settings.controller_token,
          .vote_timeout = settings.deployment.vote_timeout,
          .seed = settings.seed + 1};
}

void log_final_counters(const log::Logger& log, const Router& router) {
  const ProxyCounters& counters = router.counters();
  log.info("stopped", {{"accepted", log::text(counters.accepted)},
                       {"succeeded", log::text(counters.succeeded)},
                       {"rejected", log::text(counters.rejected)},
                       {"failed", log::text(counters.failed)},
                       {"client_disconnected", log::text(counters.client_disconnected)},
                       {"open", log::text(router.open_requests())}});
}

}  // namespace

int run(const Settings& settings) {
  log::Logger log(settings.name, settings.log_level);
  net::Loop loop(net::steady_now());
  std::signal(SIGPIPE, SIG_IGN);
  HttpEndpointSource endpoints(loop, settings.registry_address, settings.name, settings.seed, log);
  WatchReleaseSource releases(loop, release_source_settings(settings), log);
  const HttpProtocol protocol(settings);
  Router router(loop, router_settings(settings), module_settings_of(settings), protocol, log,
                endpoints, releases);
  std::unique_ptr<AdminServer> admin;
  if (!settings.admin_address.empty())
    admin = std::make_unique<AdminServer>(loop, settings.admin_address, router);
  bool stopping = false;
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) {
    if (stopping) {
      loop.quit();
      return;
    }
    stopping = true;
    router.drain([&] { loop.quit(); });
  });
  router.start();
  log.info("serving",
           {{"port", log::text(router.port())}, {"admin", log::text(admin ? admin->port() : 0)}});
  loop.run();
  log_final_counters(log, router);
  return router.open_requests() == 0 ? 0 : 1;
}

}  // namespace robinhoist::proxy
