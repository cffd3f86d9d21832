#include "deployment/deployment.h"

#include <algorithm>
#include <set>

namespace robinhoist::deployment {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

NamedRequestClass read_request_class(SexpReader form) {
  NamedRequestClass named;
  named.name = form.positional(0, "a name");
  RequestClass& request_class = named.request_class;
  request_class.latency_objective = form.duration("sla", 1ms, 10min);
  request_class.deadline = form.duration("expiry", 1ms, 10min);
  request_class.priority_weight = form.number("revenue", 0, 1e6, 1.0);
  request_class.late_weight_share = form.number("late-share", 0, 1, 0.0);
  request_class.idempotency =
      form.enumerator<Idempotency>("effect", {{"inquiry", Idempotency::idempotent},
                                              {"referenced", Idempotency::idempotent_with_key},
                                              {"once-only", Idempotency::non_idempotent}});
  request_class.dedup_scope = form.enumerator<DedupScope>(
      "group", {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}},
      DedupScope::all);
  request_class.dedup_window = form.duration("memory", 0ms, 24h, 0ms);
  request_class.stream = false;
  if (request_class.deadline < request_class.latency_objective)
    form.add_problem("expiry", "is shorter than the SLA time");
  if (request_class.idempotency == Idempotency::idempotent_with_key &&
      request_class.dedup_window == Duration{})
    form.add_problem(
        "memory is missing: a referenced product needs the time for which nodes drop its repeats");
  if (request_class.idempotency != Idempotency::idempotent_with_key && form.has("memory"))
    form.add_problem("memory", "has a meaning for a referenced product only");
  for (SexpReader& match : form.children("match", 1)) {
    Match one{match.positional(0, "a method"), match.positional(1, "a path"), false};
    if (!one.path.empty() && one.path.back() == '*') {
      one.prefix = true;
      one.path.pop_back();
    }
    if (one.path.empty() || one.path[0] != '/')
      match.add_problem("the path must begin with /");
    if (match.positional_count() != 2)
      match.add_problem("holds more than a method and a path");
    match.finish();
    named.matches.push_back(one);
  }
  form.finish();
  return named;
}

void read_rules(SexpReader form, Deployment& to) {
  to.drain_grace = form.duration("drain-grace", 1ms, 10min);
  to.cold_from = form.number("cold-from", 0.01, 1);
  to.cold_for = form.duration("cold-for", 0ms, 10min);
  to.fall_multiple = form.number("fall-multiple", 1, 1000);
  to.fall_window = form.duration("fall-window", 1ms, 10min);
  to.window = form.duration("exposure-window", 1ms, 10min);
  to.free = form.number("exposure-free", 0, 1000);
  to.by_request_class =
      form.enumerator<bool>("exposure-counts", {{"all", false}, {"each-product", true}}, false);
  to.one_way = form.boolean("one-way", false);
  to.safe_only_stages = form.integer("safe-only-waves", 0, 100, 0);
  to.max_attempts = form.integer("max-submissions", 1, 100, 5);
  to.hedging = form.boolean("second-copies", true);
  to.advice = form.boolean("advice", true);
  to.max_pause = form.duration("max-pause", 0ms, 10min, 2s);
  form.finish();
}

void read_rollout(SexpReader form, Deployment& to) {
  rollout::Settings& rollout = to.rollout;
  rollout.stages = form.numbers("waves", 0.0001, 1, 1);
  rollout.caps = form.numbers("caps", 0, 1, 1);
  if (!rollout.stages.empty()) {
    if (!std::is_sorted(rollout.stages.begin(), rollout.stages.end()))
      form.add_problem("waves", "must not fall from one wave to the next");
    if (rollout.stages.back() < 1)
      form.add_problem("waves", "the last must be 1, the whole fleet");
  }
  if (rollout.stages.size() != rollout.caps.size())
    form.add_problem("caps", std::to_string(rollout.caps.size()) + " given for " +
                                 std::to_string(rollout.stages.size()) + " waves");
  rollout.promotion_mode =
      form.enumerator<PromotionMode>("gate", {{"first-vote", PromotionMode::first_vote},
                                              {"count", PromotionMode::count},
                                              {"clock", PromotionMode::clock}});
  rollout.bake = form.duration("bake", 0ms, 24h);
  rollout.step = form.duration("step", 0ms, 24h, 0ms);
  if (rollout.promotion_mode == PromotionMode::clock && rollout.step == Duration{})
    form.add_problem("step is missing: the clock needs it");
  rollout.settle = form.duration("settle", 0ms, 1h, 1s);
  rollout.launch_most = form.duration("launch-within", 1ms, 24h, 8s);
  rollout.drain = form.duration("drain", 0ms, 24h);
  if (rollout.drain < to.drain_grace)
    form.add_problem("drain",
                     "is shorter than the drain-grace of the rules: work would be cut off");
  rollout.back_for = form.duration("back-for", 0ms, 8760h, 0ms);
  rollout.vote_lifetime = form.duration("vote-life", 1ms, 1h);
  rollout.votes_to_promote = form.number("advance-share", 0, 1, 0.0);
  rollout.votes_to_hold = form.number("hold-share", 0, 1, 0.1);
  rollout.votes_to_roll_back = form.number("back-share", 0, 1);
  rollout.votes_per_s = form.number("votes-per-s", 0.1, 1e6);
  rollout.in_place = form.enumerator<bool>("style", {{"beside", false}, {"in-place", true}}, false);
  to.vote_timeout = form.duration("vote-timeout", 1ms, 1min, 1s);
  to.wrong_answer_report_share = form.number("reports-share", 0, 1, 0.0);
  form.finish();
}

}  // namespace

Deployment read(SexpReader form) {
  Deployment to;
  std::set<std::string> names;
  for (SexpReader& request_class : form.children("product", 1)) {
    to.request_classes.push_back(read_request_class(request_class));
    if (!names.insert(to.request_classes.back().name).second)
      request_class.add_problem("a second product of that name");
  }
  names.clear();
  for (SexpReader& tenant : form.children("tenant")) {
    NamedTenant named;
    named.name = tenant.positional(0, "a name");
    named.tenant.share = tenant.number("share", 0, 1, 1.0);
    named.tenant.allowance_per_s = tenant.number("allowance", 0, 1e9);
    tenant.finish();
    if (!names.insert(named.name).second)
      tenant.add_problem("a second tenant of that name");
    to.tenants.push_back(named);
  }
  SexpReader zones = form.child("zones");
  for (std::size_t i = 0; i < zones.positional_count(); ++i)
    to.zones.push_back(zones.positional(i, "a zone"));
  if (to.zones.empty()) {
    form.add_problem("zones", "names none");
    to.zones.push_back("");
  }
  to.proxies = form.integer("umpires", 1, 100000);
  to.sized = form.boolean("sized-nodes", false);
  form.number("over-share-revenue", 0, 1, 1.0);  // checked, not used
  to.reports = form.enumerator<LoadReportSource>(
      "load-reports", {{"none", LoadReportSource::none}, {"answers", LoadReportSource::answers}},
      LoadReportSource::answers);
  read_rules(form.child("rules"), to);
  read_rollout(form.child("rollout"), to);
  form.finish();
  return to;
}

int Deployment::match_request_class(std::string_view method, std::string_view path) const {
  for (std::size_t p = 0; p < request_classes.size(); ++p)
    for (const Match& match : request_classes[p].matches)
      if (match.method == method &&
          (match.prefix ? path.substr(0, match.path.size()) == match.path : path == match.path))
        return static_cast<int>(p);
  return -1;
}

int Deployment::request_class(const std::string& name) const {
  for (std::size_t p = 0; p < request_classes.size(); ++p)
    if (request_classes[p].name == name)
      return static_cast<int>(p);
  return -1;
}

int Deployment::tenant(std::string_view name) const {
  for (std::size_t t = 0; t < tenants.size(); ++t)
    if (tenants[t].name == name)
      return static_cast<int>(t);
  return -1;
}

int Deployment::zone(std::string_view name) const {
  auto at = std::find(zones.begin(), zones.end(), name);
  return at == zones.end() ? -1 : static_cast<int>(at - zones.begin());
}

EndpointSettings endpoint_settings(const Deployment& d, int zone, int number) {
  EndpointSettings to{};
  to.zone = zone;
  to.warm_up_time = d.cold_for;
  to.collapse_window = d.fall_window;
  to.initial_warm_up_factor = d.cold_from;
  to.collapse_multiple = d.fall_multiple;
  to.polls_list = false;  // the list's source watches by itself
  to.uses_sizes = d.sized;
  to.reports = d.reports;
  to.proxy_index = number;
  to.proxy_count = d.proxies;
  return to;
}

CanaryQuotaSettings canary_quota_settings(const Deployment& d) {
  return {d.window,           d.free,        d.by_request_class, d.one_way, d.rollout.in_place,
          d.safe_only_stages, d.rollout.caps};
}

AnalysisSettings analysis_settings(const Deployment& d) {
  auto votes = [&](double share) { return rollout::Rollout::needed(share, d.proxies); };
  return {d.rollout.promotion_mode,
          d.rollout.bake,
          d.rollout.step,
          d.rollout.vote_lifetime,
          d.vote_timeout,
          d.rollout.votes_per_s,
          d.wrong_answer_report_share,
          d.proxies,
          d.rollout.promotion_mode == PromotionMode::clock ? 0
          : d.rollout.promotion_mode == PromotionMode::first_vote
              ? 1
              : votes(d.rollout.votes_to_promote),
          d.rollout.promotion_mode == PromotionMode::clock ? votes(d.rollout.votes_to_hold) : 0,
          votes(d.rollout.votes_to_roll_back)};
}

RequestSettings request_settings(const Deployment& d, Duration tick) {
  RequestSettings to{};
  for (auto& request_class : d.request_classes)
    to.request_classes.push_back(request_class.request_class);
  for (auto& tenant : d.tenants)
    to.tenants.push_back(tenant.tenant);
  to.max_attempts = d.max_attempts;
  to.hedging = d.hedging;
  to.cancelling = true;
  to.retry_after = d.advice;
  to.retry_delay = d.max_pause;
  to.tick = tick;
  return to;
}

}  // namespace robinhoist::deployment
