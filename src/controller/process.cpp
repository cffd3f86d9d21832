#include "controller/process.h"

#include <csignal>

#include "net/signals.h"
#include "registry/service.h"

namespace robinhoist::controller {
namespace {

Token read_token(settings::SexpReader form) {
  Token token;
  token.name = form.positional(0, "a name");
  token.role = form.enumerator<Role>(
      "role", {{"read", Role::read}, {"umpire", Role::proxy}, {"operate", Role::operate}});
  token.sha256 = form.text("sha256");
  if (token.sha256.size() != 64 ||
      token.sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
    form.add_problem("sha256", "is not 64 digits of lower-case hex (printf %s TOKEN | sha256sum)");
  form.finish();
  return token;
}

// A series of versions lives as long as the process does.
std::string fresh_series() {
  return std::to_string(net::wall_now().time_since_epoch().count());
}

template <class Make>
int serve(const char* who, Make make) {
  log::Logger log(who);
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  auto service = make(loop, log);
  log.info("serves", {{"port", log::text(service->port())}});
  loop.run();
  return 0;
}

}  // namespace

Settings read(settings::SexpReader root) {
  Settings to;
  auto deployment = deployment::read(root.child("deployment"));
  settings::SexpReader form = root.child("controller");
  to.server.listen = form.text("listen");
  to.places = form.integer("places", 1, 100000);
  to.build = form.integer("build", 1, 65535);
  to.journal = form.text("journal", "");
  to.who = form.text("name", "controller");
  if (auto steps = form.optional_child("steps")) {
    to.steps_target = steps->text("target");
    to.lease = steps->duration("lease", std::chrono::milliseconds(100), std::chrono::hours(1),
                               std::chrono::seconds(10));
    to.throttle = steps->boolean("throttle", true);
    steps->finish();
    if (to.journal.empty())
      form.add_problem("steps", "need a (journal FILE): what ran must outlive the process");
  }
  for (settings::SexpReader& token : form.children("token"))
    to.tokens.push_back(read_token(token));
  // What anybody may do must not be within anybody's reach.
  const std::string host = to.server.listen.substr(0, to.server.listen.rfind(':'));
  if (to.tokens.empty() && host != "localhost" && host != "[::1]" && host.rfind("127.", 0) != 0)
    form.add_problem("listen", "is not on loopback, and there is no (token ...)");
  to.requests_per_s = form.number("requests-per-s", 0, 1e6, 0.0);
  to.history = static_cast<std::size_t>(form.integer("history", 10, 1000000, 1000));
  to.watches.most = static_cast<std::size_t>(form.integer("watches", 1, 100000, 5000));
  to.members.lease = form.duration("umpire-lease", std::chrono::milliseconds(100),
                                   std::chrono::hours(1), std::chrono::seconds(3));
  to.members.memory = form.duration("umpire-memory", std::chrono::seconds(1),
                                    std::chrono::hours(24 * 7), std::chrono::minutes(10));
  if (to.members.memory < to.members.lease)
    form.add_problem("umpire-memory", "is less than umpire-lease");
  form.finish();
  root.finish();
  to.proxies = deployment.proxies;
  to.rollout = deployment.rollout;
  return to;
}

int run(const Settings& settings) {
  return serve("controller", [&](net::Loop& loop, const log::Logger& log) {
    return std::make_unique<Controller>(loop, settings, log);
  });
}

ListSettings read_list(settings::SexpReader root) {
  ListSettings to;
  settings::SexpReader form = root.child("list");
  to.server.listen = form.text("listen");
  form.finish();
  root.finish();
  return to;
}

int run_list(const ListSettings& settings) {
  return serve("list", [&](net::Loop& loop, const log::Logger&) {
    return std::make_unique<registry::Service>(loop, settings.server, fresh_series());
  });
}

}  // namespace robinhoist::controller
