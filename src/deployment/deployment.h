/// What proxies, controller and scenarios of one deployment have in common: request classes,
/// tenants, zones, the figures of the operators' rules, and how releases come.
///
/// read() takes it from settings files; the functions at the end turn it into the settings of the
/// decision module for one proxy.
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

/// Which HTTP requests belong to a request class.
struct Match {
  std::string method;
  std::string path;  ///< the whole path, or its start if `prefix`
  bool prefix;

  /// Whether a request with this method and path belongs to it.
  bool accepts(std::string_view request_method, std::string_view request_path) const;
};

/// A request class with its name and the requests that belong to it.
struct NamedRequestClass {
  std::string name{};
  RequestClass request_class{};
  std::vector<Match> matches{};
};

/// A tenant with its name.
struct NamedTenant {
  std::string name{};
  Tenant tenant{};
};

/// One deployment. Request classes, tenants and zones are known to the decision module by their
/// position here.
struct Deployment {
  std::vector<NamedRequestClass> request_classes{};
  std::vector<NamedTenant> tenants{};
  std::vector<std::string> zones{};
  int proxies = 1;

  // Figures of the operators' rules.
  Duration drain_grace{};             ///< time that a draining endpoint finishes its work in
  Duration warm_up_time{};            ///< from an endpoint's start until it is warm
  double initial_warm_up_factor = 0;  ///< of the warm capacity, at an endpoint's start
  Duration collapse_window{};         ///< over which the load of a cold endpoint is counted
  double collapse_multiple = 0;       ///< of its capacity, beyond which a cold endpoint collapses
  Duration quota_window{};            ///< over which the canary's requests are counted
  double uncapped_attempts = 0;       ///< in that window, beside the cap
  bool by_request_class = false;      ///< the cap holds for each request class by itself
  bool sticky_keys = false;  ///< a key once answered by the canary never goes back to older builds
  int idempotent_only_stages = 0;  ///< first stages that get idempotent requests only

  // What proxies may do.
  int max_attempts = 0;                  ///< of one request
  bool hedging = false;                  ///< hedged requests are allowed
  bool uses_sizes = false;               ///< the endpoint list tells the endpoints' sizes
  bool retry_after = false;              ///< rejections carry Retry-After
  Duration retry_delay{};                ///< longest Retry-After
  Duration vote_timeout{};               ///< longest wait for the answer to a vote
  double wrong_answer_report_share = 0;  ///< part of wrong answers that clients report
  LoadReportSource load_reports = LoadReportSource::none;

  rollout::Settings rollout{};

  /// Position of the first request class that takes such a request; -1: none does.
  int match_request_class(std::string_view method, std::string_view path) const;
  /// Position of the one with this name; -1: there is none.
  int request_class(std::string_view name) const;
  int tenant(std::string_view name) const;
  int zone(std::string_view name) const;
};

/// Reads the keys of a (deployment ...) form. Problems are left with the form, whose finish()
/// throws them together.
Deployment read(settings::SexpReader form);

/// The decision module's settings for the proxy with this number, which stands in this zone.
EndpointSettings endpoint_settings(const Deployment& deployment, int zone, int number);
CanaryQuotaSettings canary_quota_settings(const Deployment& deployment);
AnalysisSettings analysis_settings(const Deployment& deployment);
/// `tick` is the resolution of the host's timers.
RequestSettings request_settings(const Deployment& deployment, Duration tick);

}  // namespace robinhoist::deployment
