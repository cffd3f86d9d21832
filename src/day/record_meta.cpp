#include "day/record_meta.h"

namespace robinhoist::day {

record::Meta meta_of(const Scenario& day, long seed) {
  record::Meta meta;
  const auto& d = day.deployment;
  for (auto& request_class : d.request_classes)
    meta.request_classes.push_back(
        {request_class.name, request_class.request_class.latency_objective,
         request_class.request_class.deadline, request_class.request_class.dedup_window,
         request_class.request_class.idempotency, request_class.request_class.dedup_scope,
         request_class.request_class.priority_weight});
  for (auto& tenant : d.tenants)
    meta.tenants.push_back(tenant.name);
  meta.caps = d.rollout.caps;
  meta.length = day.length;
  meta.drain_grace = d.drain_grace;
  meta.window = d.quota_window;
  meta.fall_window = d.collapse_window;
  meta.cold_for = d.warm_up_time;
  meta.answer_slack = day.answer_slack;
  meta.free = d.free_requests;
  meta.fall_multiple = d.collapse_multiple;
  meta.cold_from = d.initial_warm_up_factor;
  meta.by_request_class = d.by_request_class;
  meta.safe_only_stages = d.safe_only_stages;
  meta.proxies = d.proxies;
  meta.endpoints = day.server_slots;
  meta.seed = seed;
  for (const ScheduledRelease& offer : day.releases)
    for (const std::string& step : offer.steps)
      meta.steps.push_back(std::to_string(offer.build.number) + "/" + step);
  return meta;
}

}  // namespace robinhoist::day
