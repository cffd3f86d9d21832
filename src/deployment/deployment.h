// What proxies, controller and a played day of one deployment have in common: request classes,
// tenants, zones, the figures of the rules and how releases come. Read from S-expressions, checked
// whole.
#pragma once
#include <string>
#include <vector>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "rollout/rollout.h"
#include "settings/sexp_reader.h"
#include "time/time_types.h"

namespace robinhoist::deployment {

// Which requests are requests of a request class: method, and a path or, with a star at its end,
// the start of one.
struct Match {
  std::string method, path;
  bool prefix;
};

struct NamedRequestClass {
  std::string name{};
  RequestClass request_class{};
  std::vector<Match> matches{};
};

struct NamedTenant {
  std::string name{};
  Tenant tenant{};
};

struct Deployment {
  std::vector<NamedRequestClass> request_classes{};
  std::vector<NamedTenant> tenants{};
  std::vector<std::string> zones{};
  int proxies = 1;
  // Figures of the rules.
  Duration drain_grace{}, cold_for{}, fall_window{}, window{};
  double cold_from = 0, fall_multiple = 0, free = 0;
  bool by_request_class = false, one_way = false;
  int safe_only_stages = 0;
  // What is allowed.
  int max_attempts = 0;
  bool hedging = false, sized = false, advice = false;
  Duration max_pause{}, vote_timeout{};
  double wrong_answer_report_share = 0;
  LoadReportSource reports = LoadReportSource::none;
  rollout::Settings rollout{};

  // -1: no request class takes it.
  int match_request_class(std::string_view method, std::string_view path) const;
  int request_class(const std::string& name) const;
  int tenant(std::string_view name) const;  // -1: unknown
  int zone(std::string_view name) const;    // -1: unknown
};

// Reads the keys of a (deployment ...) form; problems are left with the form.
Deployment read(settings::SexpReader form);

// The module's settings for one proxy of the deployment.
EndpointSettings endpoint_settings(const Deployment& deployment, int zone, int number);
CanaryQuotaSettings canary_quota_settings(const Deployment& deployment);
AnalysisSettings analysis_settings(const Deployment& deployment);
RequestSettings request_settings(const Deployment& deployment, Duration tick);

}  // namespace robinhoist::deployment
