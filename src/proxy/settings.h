// One proxy's settings.
#pragma once
#include <string>

#include "deployment/deployment.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "module_settings/module_settings.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

struct HeaderNames {
  std::string tenant{"X-Tenant"}, key{"Idempotency-Key"}, routing_key{"X-Routing-Key"},
      remaining{"X-Remaining-Ms"}, cost{"X-Cost-Ms"}, repeat{"X-Repeat"}, not_run{"X-Not-Run"};
};

struct Settings {
  std::string name{}, zone{}, admin{}, list_from{}, releases_from{}, releases_token{}, saved{},
      log_level{"info"};
  int number = 0;
  unsigned salt = 1;
  Duration reserve{};  // of the client's time, kept back for the answer's way to it
  http::ServerSettings server{};
  http::ConnectionPoolSettings endpoint{};
  HeaderNames headers{};
  tracing::Settings trace{};
  deployment::Deployment deployment{};
};

// What of them the router is to know, and the module.
struct RouterSettings;
RouterSettings router_settings(const Settings& settings);
module_settings::ModuleSettings module_settings_of(const Settings& settings);

// (umpire ...) with (deployment ...) beside it, in the same file. Throws settings::ValidationError.
Settings read(const std::string& file);
Settings read(settings::SexpReader root);

}  // namespace robinhoist::proxy
