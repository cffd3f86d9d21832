#include "proxy/settings.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <fstream>

#include "proxy/router.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Duration clock_tick = 1ms;  // resolution that the decision engine assumes of its timers
constexpr int kibibyte = 1024;
constexpr int mebibyte = 1024 * kibibyte;
constexpr int gibibyte = 1024 * mebibyte;

bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  const auto port = settings::parse_number(text.substr(colon + 1));
  return port && *port >= 0 && *port <= 65535;
}

std::string checked_address(settings::SexpReader& form, const char* key, const std::string& text) {
  if (!text.empty() && !is_address(text))
    form.add_problem(key, text + " is not an address such as 127.0.0.1:8080");
  return text;
}

std::string required_address(settings::SexpReader& form, const char* key) {
  return checked_address(form, key, form.text(key));
}

std::string optional_address(settings::SexpReader& form, const char* key) {
  return checked_address(form, key, form.text(key, ""));
}

std::size_t count(settings::SexpReader& form, const char* key, int min, int max, int absent) {
  return static_cast<std::size_t>(form.integer(key, min, max, absent));
}

std::string read_token(settings::SexpReader& form) {
  const std::string file = form.text("releases-token-file", "");
  std::string token;
  if (file.empty())
    return token;
  std::ifstream in(file);
  if (!(in >> token))
    form.add_problem("releases-token-file", file + " cannot be read, or is empty");
  return token;
}

void read_identity(settings::SexpReader& form, Settings& settings) {
  settings.name = form.text("name");
  settings.proxy_index = form.integer("number", 0, 1000000, 0);
  settings.seed =
      static_cast<unsigned>(form.integer("salt", 1, 2147483646, 1 + settings.proxy_index));
}

void read_addresses(settings::SexpReader& form, Settings& settings) {
  settings.server.listen = required_address(form, "listen");
  settings.admin_address = optional_address(form, "admin");
  settings.registry_address = required_address(form, "list-from");
  settings.controller_address = required_address(form, "releases-from");
  settings.controller_token = read_token(form);
}

void read_connections(settings::SexpReader& form, Settings& settings) {
  http::ServerSettings& server = settings.server;
  server.max_clients = count(form, "most-clients", 1, 1000000, 10000);
  server.limits.max_header_bytes = count(form, "most-header-bytes", 256, mebibyte, 16 * kibibyte);
  server.limits.max_body_bytes = count(form, "most-body-bytes", 0, gibibyte, mebibyte);
  server.request_timeout = form.duration("request-within", 10ms, 10min, 10s);
  server.idle_timeout = form.duration("idle-for", 10ms, 1h, 60s);
  http::ConnectionPoolSettings& upstream = settings.upstream;
  upstream.max_connections = count(form, "connections-per-node", 1, 100000, 256);
  upstream.connect_timeout = form.duration("connect-within", 1ms, 1min, 250ms);
  upstream.idle_timeout = form.duration("keep-connections", 0ms, 1h, 30s);
  upstream.limits = server.limits;
}

tracing::Settings read_trace(settings::SexpReader& form) {
  tracing::Settings settings;
  if (auto trace = form.optional_child("trace")) {
    settings.share = trace->number("share", 0, 1, 0.0);
    settings.capacity = count(*trace, "keep", 1, 1000000, 1000);
    trace->finish();
  }
  return settings;
}

HeaderNames read_headers(settings::SexpReader& form) {
  HeaderNames names;
  if (auto headers = form.optional_child("headers")) {
    names.tenant = headers->text("tenant", names.tenant);
    names.idempotency_key = headers->text("key", names.idempotency_key);
    names.routing_key = headers->text("routing-key", names.routing_key);
    names.remaining_time = headers->text("remaining", names.remaining_time);
    names.cost_hint = headers->text("cost", names.cost_hint);
    names.retry = headers->text("repeat", names.retry);
    names.not_run = headers->text("not-run", names.not_run);
    headers->finish();
  }
  return names;
}

void check_against_deployment(settings::SexpReader& form, const Settings& settings) {
  const deployment::Deployment& deployment = settings.deployment;
  if (!settings.zone.empty() && deployment.zone_index(settings.zone) < 0)
    form.add_problem("zone", settings.zone + " is not a zone of the deployment");
  if (settings.proxy_index >= deployment.proxies)
    form.add_problem("number", "must be below the deployment's number of umpires, " +
                                   std::to_string(deployment.proxies));
  for (const auto& named_class : deployment.request_classes)
    if (named_class.request_class.deadline <= 2 * settings.response_reserve)
      form.add_problem("reserve", "is half or more of the expiry of product " + named_class.name);
}

}  // namespace

Settings read(settings::SexpReader root) {
  Settings settings;
  settings::SexpReader form = root.child("umpire");
  read_identity(form, settings);
  read_addresses(form, settings);
  settings.endpoint_cache_file = form.text("saved-list", "");
  settings.log_level = form.enumerator<std::string>(
      "log", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "err"}},
      std::string("info"));
  settings.zone = form.text("zone", "");
  settings.response_reserve = form.duration("reserve", 0ms, 10s, 5ms);
  read_connections(form, settings);
  settings.trace = read_trace(form);
  settings.headers = read_headers(form);
  form.finish();
  settings.deployment = deployment::read(root.child("deployment"));
  check_against_deployment(form, settings);
  root.finish();
  return settings;
}

Settings read(const std::string& file) {
  return read(settings::SexpReader::from_file(file));
}

RouterSettings router_settings(const Settings& settings) {
  return {.name = settings.name,
          .endpoint_cache_file = settings.endpoint_cache_file,
          .seed = settings.seed,
          .server = settings.server,
          .upstream = settings.upstream,
          .trace = settings.trace};
}

module_settings::ModuleSettings module_settings_of(const Settings& settings) {
  const deployment::Deployment& deployment = settings.deployment;
  const int zone = std::max(0, deployment.zone_index(settings.zone));
  module_settings::ModuleSettings result;
  result.endpoints = deployment::endpoint_settings(deployment, zone, settings.proxy_index);
  result.canary_quota = deployment::canary_quota_settings(deployment);
  result.analysis = deployment::analysis_settings(deployment);
  result.requests = deployment::request_settings(deployment, clock_tick);
  for (const auto& named_class : deployment.request_classes)
    result.request_class_names.push_back(named_class.name);
  for (const auto& tenant : deployment.tenants)
    result.tenant_names.push_back(tenant.name);
  result.zone_names = deployment.zones;
  result.connect_timeout = settings.upstream.connect_timeout;
  result.endpoint_idle_timeout = settings.upstream.idle_timeout;
  return result;
}

}  // namespace robinhoist::proxy
