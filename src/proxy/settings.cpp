#include "proxy/settings.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <fstream>

#include "proxy/router.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Duration tick = 1ms;  // the clock's grain, as the module is told it

std::string address(settings::SexpReader& form, const char* key,
                    std::optional<std::string> absent = {}) {
  std::string text = form.text(key, absent);
  const std::size_t colon = text.rfind(':');
  auto port =
      colon == std::string::npos ? std::nullopt : settings::parse_number(text.substr(colon + 1));
  bool good = port && *port >= 0 && *port <= 65535 && colon > 0;
  if (!text.empty() && !good)
    form.add_problem(key, text + " is not an address such as 127.0.0.1:8080");
  return text;
}

}  // namespace

Settings read(settings::SexpReader root) {
  Settings to;
  settings::SexpReader form = root.child("umpire");
  to.name = form.text("name");
  to.number = form.integer("number", 0, 1000000, 0);
  to.salt = static_cast<unsigned>(form.integer("salt", 1, 2147483646, 1 + to.number));
  to.server.listen = address(form, "listen");
  to.admin = address(form, "admin", "");
  to.list_from = address(form, "list-from");
  to.releases_from = address(form, "releases-from");
  if (const std::string file = form.text("releases-token-file", ""); !file.empty()) {
    std::ifstream in(file);
    if (!(in >> to.releases_token))
      form.add_problem("releases-token-file", file + " can't be read, or is empty");
  }
  to.saved = form.text("saved-list", "");
  to.log_level = form.enumerator<std::string>(
      "log", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "err"}},
      std::string("info"));
  to.zone = form.text("zone", "");
  to.reserve = form.duration("reserve", 0ms, 10s, 5ms);
  to.server.max_clients = static_cast<std::size_t>(form.integer("most-clients", 1, 1000000, 10000));
  to.server.limits.max_header_bytes =
      static_cast<std::size_t>(form.integer("most-header-bytes", 256, 1 << 20, 16384));
  to.server.limits.max_body_bytes =
      static_cast<std::size_t>(form.integer("most-body-bytes", 0, 1 << 30, 1 << 20));
  to.server.request_timeout = form.duration("request-within", 10ms, 10min, 10s);
  to.server.idle_timeout = form.duration("idle-for", 10ms, 1h, 60s);
  to.endpoint.max_connections =
      static_cast<std::size_t>(form.integer("connections-per-node", 1, 100000, 256));
  to.endpoint.connect_timeout = form.duration("connect-within", 1ms, 1min, 250ms);
  to.endpoint.idle_timeout = form.duration("keep-connections", 0ms, 1h, 30s);
  to.endpoint.limits = to.server.limits;
  if (auto trace = form.optional_child("trace")) {
    to.trace.share = trace->number("share", 0, 1, 0.0);
    to.trace.keep = static_cast<std::size_t>(trace->integer("keep", 1, 1000000, 1000));
    trace->finish();
  }
  if (auto headers = form.optional_child("headers")) {
    HeaderNames& names = to.headers;
    for (auto& [key, name] : std::initializer_list<std::pair<const char*, std::string*>>{
             {"tenant", &names.tenant},
             {"key", &names.key},
             {"routing-key", &names.routing_key},
             {"remaining", &names.remaining},
             {"cost", &names.cost},
             {"repeat", &names.repeat},
             {"not-run", &names.not_run}})
      *name = headers->text(key, *name);
    headers->finish();
  }
  form.finish();
  to.deployment = deployment::read(root.child("deployment"));
  if (!to.zone.empty() && to.deployment.zone(to.zone) < 0)
    form.add_problem("zone", to.zone + " is none of the deployment's zones");
  if (to.number >= to.deployment.proxies)
    form.add_problem("number", "must be below the deployment's number of umpires, " +
                                   std::to_string(to.deployment.proxies));
  for (auto& request_class : to.deployment.request_classes)
    if (request_class.request_class.deadline <= 2 * to.reserve)
      form.add_problem("reserve",
                       "takes half or more of the expiry of product " + request_class.name);
  root.finish();
  return to;
}

RouterSettings router_settings(const Settings& settings) {
  return {.name = settings.name,
          .saved = settings.saved,
          .salt = settings.salt,
          .server = settings.server,
          .endpoint = settings.endpoint,
          .trace = settings.trace};
}

module_settings::ModuleSettings module_settings_of(const Settings& settings) {
  const deployment::Deployment& all = settings.deployment;
  module_settings::ModuleSettings to;
  to.endpoints =
      deployment::endpoint_settings(all, std::max(0, all.zone(settings.zone)), settings.number);
  to.canary_quota = deployment::canary_quota_settings(all);
  to.analysis = deployment::analysis_settings(all);
  to.requests = deployment::request_settings(all, tick);
  for (auto& request_class : all.request_classes)
    to.request_classes.push_back(request_class.name);
  for (auto& tenant : all.tenants)
    to.tenants.push_back(tenant.name);
  to.zones = all.zones;
  to.connect_timeout = settings.endpoint.connect_timeout;
  to.keep_idle = settings.endpoint.idle_timeout;
  return to;
}

Settings read(const std::string& file) {
  return read(settings::SexpReader::from_file(file));
}

}  // namespace robinhoist::proxy
