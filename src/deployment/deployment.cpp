#include "deployment/deployment.h"

#include <algorithm>

namespace robinhoist::deployment {
namespace {

// Index of the first element that satisfies the predicate, or -1.
template <class T, class Predicate>
int index_where(const std::vector<T>& elements, const Predicate& predicate) {
  const auto found = std::find_if(elements.begin(), elements.end(), predicate);
  return found == elements.end() ? -1 : static_cast<int>(found - elements.begin());
}

// The number of votes needed to promote. Promotion by clock needs none.
int votes_to_promote(const Deployment& deployment) {
  switch (deployment.rollout.promotion_mode) {
    case PromotionMode::clock:
      return 0;
    case PromotionMode::first_vote:
      return 1;
    case PromotionMode::count:
      return rollout::votes_needed(deployment.rollout.votes_to_promote, deployment.proxies);
  }
  return 0;
}

// The number of votes needed to hold a stage. Only promotion by clock can be held.
int votes_to_hold(const Deployment& deployment) {
  if (deployment.rollout.promotion_mode != PromotionMode::clock)
    return 0;
  return rollout::votes_needed(deployment.rollout.votes_to_hold, deployment.proxies);
}

}  // namespace

bool RequestMatcher::accepts(std::string_view request_method, std::string_view request_path) const {
  if (method != request_method)
    return false;
  return prefix ? request_path.substr(0, path.size()) == path : request_path == path;
}

int Deployment::match_request_class(std::string_view method, std::string_view path) const {
  return index_where(request_classes, [&](const NamedRequestClass& named) {
    return std::any_of(named.matchers.begin(), named.matchers.end(),
                       [&](const RequestMatcher& match) { return match.accepts(method, path); });
  });
}

int Deployment::request_class_index(std::string_view name) const {
  return index_where(request_classes,
                     [&](const NamedRequestClass& named) { return named.name == name; });
}

int Deployment::tenant_index(std::string_view name) const {
  return index_where(tenants, [&](const NamedTenant& named) { return named.name == name; });
}

int Deployment::zone_index(std::string_view name) const {
  return index_where(zones, [&](const std::string& zone) { return zone == name; });
}

EndpointSettings endpoint_settings(const Deployment& deployment, int zone, int proxy_index) {
  EndpointSettings settings{};
  settings.zone = zone;
  settings.warm_up_time = deployment.warm_up_time;
  settings.collapse_window = deployment.collapse_window;
  settings.initial_warm_up_factor = deployment.initial_warm_up_factor;
  settings.collapse_multiple = deployment.collapse_multiple;
  settings.subscribes_to_list = false;  // the endpoint source watches the list itself
  settings.uses_sizes = deployment.uses_sizes;
  settings.load_report_source = deployment.load_reports;
  settings.proxy_index = proxy_index;
  settings.proxy_count = deployment.proxies;
  return settings;
}

CanaryQuotaSettings canary_quota_settings(const Deployment& deployment) {
  CanaryQuotaSettings settings{};
  settings.window = deployment.quota_window;
  settings.uncapped_attempts = deployment.uncapped_attempts;
  settings.by_request_class = deployment.by_request_class;
  settings.sticky_keys = deployment.sticky_keys;
  settings.in_place = deployment.rollout.in_place;
  settings.idempotent_only_stages = deployment.idempotent_only_stages;
  settings.caps = deployment.rollout.caps;
  return settings;
}

AnalysisSettings analysis_settings(const Deployment& deployment) {
  AnalysisSettings settings{};
  settings.promotion_mode = deployment.rollout.promotion_mode;
  settings.bake = deployment.rollout.bake;
  settings.step = deployment.rollout.stage_duration;
  settings.vote_lifetime = deployment.rollout.vote_lifetime;
  settings.call_timeout = deployment.vote_timeout;
  settings.votes_per_s = deployment.rollout.votes_per_s;
  settings.wrong_answer_report_share = deployment.wrong_answer_report_share;
  settings.proxies = deployment.proxies;
  settings.votes_to_promote = votes_to_promote(deployment);
  settings.votes_to_hold = votes_to_hold(deployment);
  settings.votes_to_roll_back =
      rollout::votes_needed(deployment.rollout.votes_to_roll_back, deployment.proxies);
  return settings;
}

RequestSettings request_settings(const Deployment& deployment, Duration tick) {
  RequestSettings settings{};
  for (const NamedRequestClass& named : deployment.request_classes)
    settings.request_classes.push_back(named.request_class);
  for (const NamedTenant& named : deployment.tenants)
    settings.tenants.push_back(named.tenant);
  settings.max_attempts = deployment.max_attempts;
  settings.hedging = deployment.hedging;
  settings.cancelling = true;
  settings.retry_after = deployment.retry_after;
  settings.retry_delay = deployment.retry_delay;
  settings.tick = tick;
  return settings;
}

}  // namespace robinhoist::deployment
