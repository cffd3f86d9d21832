#include "day/record_meta.h"

namespace robinhoist::day {

record::Meta meta_of(const Scenario& scenario, long seed) {
  record::Meta meta;
  const auto& deployment = scenario.deployment;
  for (auto& request_class : deployment.request_classes)
    meta.request_classes.push_back(
        {request_class.name, request_class.request_class.latency_objective,
         request_class.request_class.deadline, request_class.request_class.dedup_window,
         request_class.request_class.idempotency, request_class.request_class.dedup_scope,
         request_class.request_class.priority_weight});
  for (auto& tenant : deployment.tenants)
    meta.tenants.push_back(tenant.name);
  meta.caps = deployment.rollout.caps;
  meta.length = scenario.length;
  meta.drain_grace = deployment.drain_grace;
  meta.quota_window = deployment.quota_window;
  meta.collapse_window = deployment.collapse_window;
  meta.warm_up_time = deployment.warm_up_time;
  meta.answer_slack = scenario.answer_slack;
  meta.uncapped_attempts = deployment.uncapped_attempts;
  meta.collapse_multiple = deployment.collapse_multiple;
  meta.initial_warm_up_factor = deployment.initial_warm_up_factor;
  meta.by_request_class = deployment.by_request_class;
  meta.idempotent_only_stages = deployment.idempotent_only_stages;
  meta.proxies = deployment.proxies;
  meta.endpoints = scenario.server_slots;
  meta.seed = seed;
  for (const ScheduledRelease& release : scenario.releases)
    for (const std::string& step : release.steps)
      meta.steps.push_back(std::to_string(release.build.number) + "/" + step);
  return meta;
}

}  // namespace robinhoist::day
