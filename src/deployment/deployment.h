/// The settings that proxies, controller and scenarios of a deployment share: request classes,
/// tenants, zones, parameters of the operators' rules, and the rollout of releases.
///
/// read() reads them from settings files; the functions at the end derive the settings of the
/// decision module for a proxy.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "rollout/rollout.h"
#include "settings/sexp_reader.h"
#include "time/time_types.h"

namespace robinhoist::deployment {

/// Selects the HTTP requests of a request class by method and path.
struct RequestMatcher {
  std::string method;
  std::string path;  ///< the whole path, or a prefix of it if `prefix` is set
  bool prefix;

  /// Whether a request has the method and the path.
  bool accepts(std::string_view request_method, std::string_view request_path) const;
};

/// A request class with its name and the matchers of its requests.
struct NamedRequestClass {
  std::string name{};
  RequestClass request_class{};
  std::vector<RequestMatcher> matchers{};
};

/// A tenant with its name.
struct NamedTenant {
  std::string name{};
  Tenant tenant{};
};

/// Settings of a deployment. The decision module identifies request classes, tenants and zones by
/// their index in these lists.
struct Deployment {
  std::vector<NamedRequestClass> request_classes{};
  std::vector<NamedTenant> tenants{};
  std::vector<std::string> zones{};
  int proxies = 1;

  // Parameters of the operators' rules.
  Duration drain_grace{};             ///< time for a draining endpoint to finish its requests
  Duration warm_up_time{};            ///< from an endpoint's start until it is warm
  double initial_warm_up_factor = 0;  ///< share of the warm capacity at an endpoint's start
  Duration collapse_window{};         ///< window in which the load of a cold endpoint is counted
  double collapse_multiple = 0;   ///< a cold endpoint collapses above this multiple of its capacity
  Duration quota_window{};        ///< window in which the canary's requests are counted
  double uncapped_attempts = 0;   ///< requests per window that are allowed in addition to the cap
  bool by_request_class = false;  ///< whether the cap applies to each request class separately
  /// Whether a key that was once answered by the canary is never sent to older builds again.
  bool sticky_keys = false;
  int idempotent_only_stages = 0;  ///< number of first stages with idempotent requests only

  // Behaviour of proxies.
  int max_attempts = 0;                  ///< per request
  bool hedging = false;                  ///< whether hedged requests are allowed
  bool uses_sizes = false;               ///< whether the endpoint list states endpoints' sizes
  bool retry_after = false;              ///< whether rejections have a Retry-After header
  Duration retry_delay{};                ///< longest Retry-After
  Duration vote_timeout{};               ///< timeout of the call that casts a vote
  double wrong_answer_report_share = 0;  ///< share of wrong responses that clients report
  LoadReportSource load_reports = LoadReportSource::none;

  rollout::Settings rollout{};

  /// Index of the first request class that accepts such a request, or -1 if none does.
  int match_request_class(std::string_view method, std::string_view path) const;
  /// Index of the entry with this name, or -1 if there is none.
  int request_class_index(std::string_view name) const;
  int tenant_index(std::string_view name) const;
  int zone_index(std::string_view name) const;
};

/// Reads the keys of a (deployment ...) form. Problems are collected in the form, whose finish()
/// throws them together.
Deployment read(settings::SexpReader form);

/// Settings of the decision module for a proxy, given the indices of its zone and of the proxy
/// itself.
EndpointSettings endpoint_settings(const Deployment& deployment, int zone, int proxy_index);
CanaryQuotaSettings canary_quota_settings(const Deployment& deployment);
AnalysisSettings analysis_settings(const Deployment& deployment);
/// `tick` is the resolution of the host's timers.
RequestSettings request_settings(const Deployment& deployment, Duration tick);

}  // namespace robinhoist::deployment
