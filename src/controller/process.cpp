#include "controller/process.h"

#include <csignal>

#include "list/service.h"
#include "net/signals.h"

namespace robinhoist::controller {
namespace {

// A series of versions lives as long as the process does.
std::string fresh_series() { return std::to_string(net::wall_now().count()); }

template <class Make>
int serve(const char* who, Make make) {
  log::Log log(who);
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  auto service = make(loop, log);
  log.info("serves", {{"port", log::text(service->port())}});
  loop.run();
  return 0;
}

}  // namespace

Settings read(settings::Form root) {
  Settings to;
  auto deployment = deployment::read(root.sub("deployment"));
  settings::Form form = root.sub("controller");
  to.server.listen = form.text("listen");
  to.places = form.whole("places", 1, 100000);
  to.build = form.whole("build", 1, 65535);
  to.journal = form.text("journal", "");
  to.who = form.text("name", "controller");
  if (auto steps = form.maybe("steps")) {
    to.steps_target = steps->text("target");
    to.lease =
        steps->span("lease", std::chrono::milliseconds(100), std::chrono::hours(1), std::chrono::seconds(10));
    to.throttle = steps->truth("throttle", true);
    steps->finish();
    if (to.journal.empty()) form.problem("steps", "need a (journal FILE): what ran must outlive the process");
  }
  form.finish();
  root.finish();
  to.umpires = deployment.umpires;
  to.rollout = deployment.rollout;
  to.series = fresh_series();
  return to;
}

int run(const Settings& settings) {
  return serve("controller", [&](net::Loop& loop, const log::Log& log) {
    return std::make_unique<Controller>(loop, settings, log);
  });
}

ListSettings read_list(settings::Form root) {
  ListSettings to;
  settings::Form form = root.sub("list");
  to.server.listen = form.text("listen");
  form.finish();
  root.finish();
  return to;
}

int run_list(const ListSettings& settings) {
  return serve("list", [&](net::Loop& loop, const log::Log&) {
    return std::make_unique<list::Service>(loop, settings.server, fresh_series());
  });
}

}  // namespace robinhoist::controller
