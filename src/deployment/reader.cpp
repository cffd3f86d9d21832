/// Reads a deployment from its form in a settings file and reports contradictory settings.
#include <algorithm>
#include <set>

#include "deployment/deployment.h"
#include "deployment/setting_keys.h"

namespace robinhoist::deployment {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

constexpr Duration max_time = 10min;
constexpr Duration max_release_time = 24h;
constexpr Duration max_rollback_window = 8760h;  // a year

// Reads (match METHOD PATH). A path that ends with * matches any path with that prefix.
RequestMatcher read_match(SexpReader& form) {
  RequestMatcher match{form.positional(0, "a method"), form.positional(1, "a path"), false};
  if (!match.path.empty() && match.path.back() == '*') {
    match.prefix = true;
    match.path.pop_back();
  }
  if (match.path.empty() || match.path[0] != '/')
    form.add_problem("the path must begin with /");
  if (form.positional_count() != 2)
    form.add_problem("has more values than a method and a path");
  form.finish();
  return match;
}

void check_request_class(const SexpReader& form, const RequestClass& request_class) {
  if (request_class.deadline < request_class.latency_objective)
    form.add_problem(key::deadline, "is shorter than the SLA time");
  const bool with_key = request_class.idempotency == Idempotency::idempotent_with_key;
  if (with_key && request_class.dedup_window == Duration{})
    form.add_problem(
        "memory is missing: a referenced product needs the time for which nodes deduplicate "
        "retries");
  if (!with_key && form.has(key::dedup_window))
    form.add_problem(key::dedup_window, "is allowed for a referenced product only");
}

NamedRequestClass read_request_class(SexpReader form) {
  NamedRequestClass named;
  named.name = form.positional(0, "a name");
  RequestClass& request_class = named.request_class;
  request_class.latency_objective = form.duration(key::latency_objective, 1ms, max_time);
  request_class.deadline = form.duration(key::deadline, 1ms, max_time);
  request_class.priority_weight = form.number(key::priority_weight, 0, 1e6, 1.0);
  request_class.late_weight_share = form.number(key::late_weight_share, 0, 1, 0.0);
  request_class.idempotency = form.enumerator<Idempotency>(
      key::idempotency, {{value::idempotent, Idempotency::idempotent},
                         {value::idempotent_with_key, Idempotency::idempotent_with_key},
                         {value::non_idempotent, Idempotency::non_idempotent}});
  request_class.dedup_scope = form.enumerator<DedupScope>(key::dedup_scope,
                                                          {{value::scope_all, DedupScope::all},
                                                           {value::scope_zone, DedupScope::zone},
                                                           {value::scope_cell, DedupScope::cell}},
                                                          DedupScope::all);
  request_class.dedup_window = form.duration(key::dedup_window, 0ms, max_release_time, 0ms);
  request_class.stream = false;
  check_request_class(form, request_class);
  for (SexpReader& match : form.children(key::match, 1))
    named.matchers.push_back(read_match(match));
  form.finish();
  return named;
}

NamedTenant read_tenant(SexpReader& form) {
  NamedTenant named;
  named.name = form.positional(0, "a name");
  named.tenant.share = form.number(key::tenant_share, 0, 1, 1.0);
  named.tenant.allowance_per_s = form.number(key::tenant_allowance, 0, 1e9);
  form.finish();
  return named;
}

void read_rules(SexpReader form, Deployment& deployment) {
  deployment.drain_grace = form.duration(key::drain_grace, 1ms, max_time);
  deployment.initial_warm_up_factor = form.number(key::initial_warm_up_factor, 0.01, 1);
  deployment.warm_up_time = form.duration(key::warm_up_time, 0ms, max_time);
  deployment.collapse_multiple = form.number(key::collapse_multiple, 1, 1000);
  deployment.collapse_window = form.duration(key::collapse_window, 1ms, max_time);
  deployment.quota_window = form.duration(key::quota_window, 1ms, max_time);
  deployment.uncapped_attempts = form.number(key::uncapped_attempts, 0, 1000);
  deployment.by_request_class = form.enumerator<bool>(
      key::by_request_class, {{value::count_all, false}, {value::count_by_request_class, true}},
      false);
  deployment.sticky_keys = form.boolean(key::sticky_keys, false);
  deployment.idempotent_only_stages = form.integer(key::idempotent_only_stages, 0, 100, 0);
  deployment.max_attempts = form.integer(key::max_attempts, 1, 100, 5);
  deployment.hedging = form.boolean(key::hedging, true);
  deployment.retry_after = form.boolean(key::retry_after, true);
  deployment.retry_delay = form.duration(key::retry_delay, 0ms, max_time, 2s);
  form.finish();
}

void check_stages(const SexpReader& form, const rollout::Settings& rollout) {
  if (!rollout.stages.empty()) {
    if (!std::is_sorted(rollout.stages.begin(), rollout.stages.end()))
      form.add_problem(key::stages, "must not decrease from one wave to the next");
    if (rollout.stages.back() < 1)
      form.add_problem(key::stages, "the last must be 1, the whole fleet");
  }
  if (rollout.stages.size() != rollout.caps.size())
    form.add_problem(key::caps, std::to_string(rollout.caps.size()) + " given for " +
                                    std::to_string(rollout.stages.size()) + " waves");
}

void read_rollout(SexpReader form, Deployment& deployment) {
  rollout::Settings& rollout = deployment.rollout;
  rollout.stages = form.numbers(key::stages, 0.0001, 1, 1);
  rollout.caps = form.numbers(key::caps, 0, 1, 1);
  check_stages(form, rollout);
  rollout.promotion_mode = form.enumerator<PromotionMode>(
      key::promotion_mode, {{value::first_vote, PromotionMode::first_vote},
                            {value::count, PromotionMode::count},
                            {value::clock, PromotionMode::clock}});
  rollout.bake = form.duration(key::bake, 0ms, max_release_time);
  rollout.stage_duration = form.duration(key::step, 0ms, max_release_time, 0ms);
  if (rollout.promotion_mode == PromotionMode::clock && rollout.stage_duration == Duration{})
    form.add_problem("step is missing: gate clock needs it");
  rollout.settle = form.duration(key::settle, 0ms, 1h, 1s);
  rollout.max_launch_time = form.duration(key::launch_within, 1ms, max_release_time, 8s);
  rollout.drain = form.duration(key::drain, 0ms, max_release_time);
  if (rollout.drain < deployment.drain_grace)
    form.add_problem(key::drain,
                     "is shorter than the drain-grace of the rules: work would be cut off");
  rollout.rollback_window = form.duration(key::rollback_window, 0ms, max_rollback_window, 0ms);
  rollout.vote_lifetime = form.duration(key::vote_lifetime, 1ms, 1h);
  rollout.votes_to_promote = form.number(key::promote_share, 0, 1, 0.0);
  rollout.votes_to_hold = form.number(key::hold_share, 0, 1, 0.1);
  rollout.votes_to_roll_back = form.number(key::roll_back_share, 0, 1);
  rollout.votes_per_s = form.number(key::votes_per_s, 0.1, 1e6);
  rollout.in_place = form.enumerator<bool>(
      key::style, {{value::side_by_side, false}, {value::in_place, true}}, false);
  deployment.vote_timeout = form.duration(key::vote_timeout, 1ms, 1min, 1s);
  deployment.wrong_answer_report_share = form.number(key::wrong_answer_report_share, 0, 1, 0.0);
  form.finish();
}

void read_request_classes(SexpReader& form, Deployment& deployment) {
  std::set<std::string> names;
  for (SexpReader& request_class : form.children(key::request_class, 1)) {
    deployment.request_classes.push_back(read_request_class(request_class));
    if (!names.insert(deployment.request_classes.back().name).second)
      request_class.add_problem("duplicate product name");
  }
}

void read_tenants(SexpReader& form, Deployment& deployment) {
  std::set<std::string> names;
  for (SexpReader& tenant : form.children(key::tenant)) {
    deployment.tenants.push_back(read_tenant(tenant));
    if (!names.insert(deployment.tenants.back().name).second)
      tenant.add_problem("duplicate tenant name");
  }
}

void read_zones(SexpReader& form, Deployment& deployment) {
  SexpReader zones = form.child(key::zones);
  for (std::size_t i = 0; i < zones.positional_count(); ++i)
    deployment.zones.push_back(zones.positional(i, "a zone"));
  if (deployment.zones.empty()) {
    form.add_problem(key::zones, "needs at least one zone");
    deployment.zones.emplace_back();
  }
}

}  // namespace

Deployment read(SexpReader form) {
  Deployment deployment;
  read_request_classes(form, deployment);
  read_tenants(form, deployment);
  read_zones(form, deployment);
  deployment.proxies = form.integer(key::proxies, 1, 100000);
  deployment.uses_sizes = form.boolean(key::uses_sizes, false);
  form.number(key::over_quota_weight, 0, 1, 1.0);  // validated, but not used
  deployment.load_reports =
      form.enumerator<LoadReportSource>(key::load_reports,
                                        {{value::reports_none, LoadReportSource::none},
                                         {value::reports_with_answers, LoadReportSource::answers}},
                                        LoadReportSource::answers);
  read_rules(form.child(key::rules), deployment);
  read_rollout(form.child(key::rollout), deployment);
  form.finish();
  return deployment;
}

}  // namespace robinhoist::deployment
