#include "proxy/process.h"

#include <csignal>

#include "json/reader.h"
#include "net/signals.h"
#include "proxy/http_protocol.h"
#include "proxy/router.h"

namespace robinhoist::proxy {

int run(const Settings& settings) {
  log::Logger log(settings.name, settings.log_level);
  net::Loop loop(net::steady_now());
  std::signal(SIGPIPE, SIG_IGN);
  HttpEndpointSource endpoints(loop, settings.list_from, settings.name, settings.salt, log);
  WatchReleaseSource releases(loop,
                              {.from = settings.releases_from,
                               .proxy = settings.name,
                               .token = settings.releases_token,
                               .vote_within = settings.deployment.vote_timeout,
                               .salt = settings.salt + 1},
                              log);
  const HttpProtocol protocol(settings);
  Router router(loop, router_settings(settings), module_settings_of(settings), protocol, log,
                endpoints, releases);
  std::unique_ptr<http::Server> admin;
  if (!settings.admin.empty()) {
    http::ServerSettings server;
    server.listen = settings.admin;
    server.max_clients = 100;
    admin = std::make_unique<http::Server>(loop, server, [&](const http::ExchangePtr& exchange) {
      const http::Request& request = exchange->request;
      if (request.method == "GET" && request.path() == "/health")
        return exchange->answer(http::text_response(200, "routes\n"));
      if (request.method == "GET" && request.path() == "/status")
        return exchange->answer(http::json_response(200, router.status()));
      if (request.method == "GET" && request.path() == "/txns")
        return exchange->answer(http::text_response(200, router.traces()));
      constexpr std::string_view one = "/txns/";
      if (request.method == "GET" && request.path().substr(0, one.size()) == one) {
        const std::string id = http::percent_decoded(request.path().substr(one.size()));
        const std::string trace = router.trace(id);
        return exchange->answer(trace.empty() ? http::text_response(404, "no trace of " + id + "\n")
                                              : http::json_response(200, trace));
      }
      if (request.method == "POST" && request.path() == "/wrong") {
        try {
          const std::string endpoint = json::text(json::parse_object(request.body), "node");
          if (router.found_wrong(endpoint))
            return exchange->answer(http::json_response(200, "{}"));
          return exchange->answer(http::text_response(404, "no node " + endpoint + "\n"));
        } catch (const json::DecodeError& bad) {
          return exchange->answer(http::text_response(422, std::string(bad.what()) + "\n"));
        }
      }
      exchange->answer(http::text_response(404, "no such thing here\n"));
    });
  }
  // Told to stop: no new requests, the open ones get their answers. A second word does not wait for
  // them.
  bool stopping = false;
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) {
    if (stopping)
      return loop.quit();
    stopping = true;
    router.drain([&] { loop.quit(); });
  });
  router.start();
  log.info("routes",
           {{"port", log::text(router.port())}, {"admin", log::text(admin ? admin->port() : 0)}});
  loop.run();
  const Counters& c = router.counters();
  log.info("ends", {{"taken", log::text(c.taken)},
                    {"settled", log::text(c.succeeded)},
                    {"declined", log::text(c.rejected)},
                    {"voided", log::text(c.failed)},
                    {"left", log::text(c.left)},
                    {"open", log::text(router.open_requests())}});
  return router.open_requests() == 0 ? 0 : 1;
}

}  // namespace robinhoist::proxy
