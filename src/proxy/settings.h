/// Settings of a proxy, read from an S-expression file with an `(umpire ...)` and a
/// `(deployment ...)` form. deploy/example/ has a commented example.
#pragma once
#include <string>

#include "deployment/deployment.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "module_settings/module_settings.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// Names of the request headers that a proxy reads, and of the response header `not_run`, with
/// which an endpoint states that it did not run a request.
struct HeaderNames {
  std::string tenant{"X-Tenant"};
  std::string idempotency_key{"Idempotency-Key"};
  std::string routing_key{"X-Routing-Key"};
  std::string remaining_time{"X-Remaining-Ms"};
  std::string cost_hint{"X-Cost-Ms"};
  std::string retry{"X-Repeat"};
  std::string not_run{"X-Not-Run"};
};

/// Addresses are host:port.
struct Settings {
  std::string name{};
  std::string zone{};                 ///< one of the deployment's zones; empty for the first
  std::string admin_address{};        ///< empty if there is no admin API
  std::string registry_address{};     ///< of the endpoint registry
  std::string controller_address{};   ///< of the release controller
  std::string controller_token{};     ///< bearer token; empty if none is sent
  std::string endpoint_cache_file{};  ///< empty if endpoints are not cached
  std::string log_level{"info"};
  int proxy_index = 0;          ///< among the deployment's proxies, from 0
  unsigned seed = 1;            ///< of the random generators
  Duration response_reserve{};  ///< part of a request's time reserved for sending the response
  http::ServerSettings server{};
  http::ConnectionPoolSettings upstream{};
  HeaderNames headers{};
  tracing::Settings trace{};
  deployment::Deployment deployment{};
};

struct RouterSettings;
/// Derives the settings of the router.
RouterSettings router_settings(const Settings& settings);
/// Derives the settings of the decision engine.
module_settings::ModuleSettings module_settings_of(const Settings& settings);

/// Reads and validates a settings file. Throws settings::ValidationError with all problems, each
/// with its line.
Settings read(const std::string& file);
Settings read(settings::SexpReader root);

}  // namespace robinhoist::proxy
