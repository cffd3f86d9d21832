#include "day/scenario.h"

#include <algorithm>

#include "machine/forms.h"
#include "migration/plan.h"

namespace robinhoist::day {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

constexpr std::pair<const char*, FaultKind> fault_kind_names[] = {
    {"crash", FaultKind::crash},
    {"vanish", FaultKind::vanish},
    {"slow", FaultKind::slow},
    {"fast-errors", FaultKind::fast_errors},
    {"neighbour", FaultKind::neighbour},
    {"probe-fail", FaultKind::probe_fail},
    {"connection-squeeze", FaultKind::connection_squeeze},
    {"slow-handshakes", FaultKind::slow_handshakes},
    {"slow-link", FaultKind::slow_link},
    {"zone-cut", FaultKind::zone_cut},
    {"burst", FaultKind::burst},
    {"hot-caller", FaultKind::hot_caller},
    {"bad-requests", FaultKind::bad_requests},
    {"retry-abuse", FaultKind::retry_abuse},
    {"stale-list", FaultKind::stale_list},
    {"umpire-crash", FaultKind::proxy_crash},
    {"umpire-roll", FaultKind::proxy_roll},
    {"controller-down", FaultKind::controller_down},
    {"controller-crash", FaultKind::controller_crash},
    {"watch-breaks", FaultKind::watch_breaks},
};

// Reads (key MIN MAX), or (key VALUE) for a range of one value.
std::pair<Duration, Duration> read_range(SexpReader& form, const char* key, Duration fallback) {
  auto inner = form.optional_child(key);
  if (!inner)
    return {fallback, fallback};
  std::vector<Duration> bounds;
  for (std::size_t i = 0; i < inner->positional_count(); ++i) {
    const auto bound = settings::parse_duration(inner->positional(i, ""));
    if (!bound || *bound < Duration{})
      inner->add_problem(inner->positional(i, "") + " is not a span such as 250ms");
    else
      bounds.push_back(*bound);
  }
  inner->finish();
  if (bounds.empty() || bounds.size() > 2 || bounds.front() > bounds.back()) {
    inner->add_problem("must be one span, or a minimum and a maximum");
    return {fallback, fallback};
  }
  return {bounds.front(), bounds.back()};
}

Fault read_fault(SexpReader form, const Scenario& scenario) {
  Fault fault{};
  const std::string name = form.positional(0, "a kind");
  bool known = false;
  for (auto& [kind_name, kind] : fault_kind_names)
    if (name == kind_name)
      fault.kind = kind, known = true;
  if (!known) {
    std::string allowed;
    for (auto& [kind_name, kind] : fault_kind_names)
      allowed += (allowed.empty() ? "" : ", ") + std::string(kind_name);
    form.add_problem(name + " is not one of " + allowed);
  }
  fault.at = form.duration("at", 0ms, scenario.length);
  fault.duration = form.duration("for", 1ms, 1h);
  const auto is_any_of = [&](std::initializer_list<FaultKind> kinds) {
    return std::find(kinds.begin(), kinds.end(), fault.kind) != kinds.end();
  };
  if (is_any_of({FaultKind::crash, FaultKind::vanish, FaultKind::slow, FaultKind::fast_errors,
                 FaultKind::neighbour, FaultKind::probe_fail, FaultKind::connection_squeeze,
                 FaultKind::slow_handshakes, FaultKind::hot_caller, FaultKind::proxy_crash,
                 FaultKind::proxy_roll}))
    fault.target_share = form.number("part", 0, 1);
  if (is_any_of({FaultKind::slow, FaultKind::burst}))
    fault.magnitude = form.number("times", 0.01, 1000);
  if (is_any_of({FaultKind::fast_errors, FaultKind::neighbour, FaultKind::probe_fail,
                 FaultKind::hot_caller, FaultKind::bad_requests}))
    fault.magnitude = form.number("share", 0, 0.99);
  if (is_any_of({FaultKind::neighbour}))
    fault.extra = form.duration("every", 10ms, 1h, 2s).count() / 1e6;
  if (is_any_of({FaultKind::connection_squeeze}))
    fault.magnitude = form.number("connections-an-umpire", 0.01, 1e6);
  if (is_any_of({FaultKind::slow_handshakes}))
    fault.magnitude = form.duration("by", 0ms, 1min).count() / 1e6;
  if (is_any_of({FaultKind::slow_link})) {
    fault.magnitude = form.duration("by", 0ms, 1min).count() / 1e6;
    fault.extra = form.number("lost", 0, 1, 0.0);
  }
  if (is_any_of({FaultKind::slow_link, FaultKind::zone_cut})) {
    fault.zone = form.text("zone");
    if (scenario.deployment.zone_index(fault.zone) < 0)
      form.add_problem("zone", "is not a zone of the deployment");
  }
  if (is_any_of({FaultKind::bad_requests}))
    fault.tenant = form.text("tenant", "");
  if (is_any_of({FaultKind::retry_abuse})) {
    fault.tenant = form.text("tenant");
    fault.magnitude = form.integer("tries", 1, 100);
    fault.extra = form.number("patience", 0.01, 1);
  }
  if (!fault.tenant.empty() && scenario.deployment.tenant_index(fault.tenant) < 0)
    form.add_problem("tenant", "is not a tenant of the deployment");
  if (is_any_of({FaultKind::watch_breaks}))
    fault.magnitude = form.duration("every", 20ms, 1h).count() / 1e6;
  if (is_any_of({FaultKind::stale_list}))
    fault.magnitude = form.duration("by", 0ms, 1h).count() / 1e6;
  if (is_any_of({FaultKind::proxy_roll})) {
    fault.magnitude = form.number("batch", 0.001, 1);
    fault.extra = form.duration("down", 0ms, 1min, 500ms).count() / 1e6;
  }
  if (is_any_of({FaultKind::controller_down})) {
    fault.mode = form.enumerator<std::string>(
        "how", {{"silence", "silence"}, {"errors", "errors"}, {"stale", "stale"}});
    if (fault.mode == "stale")
      fault.magnitude = form.duration("by", 0ms, 1h).count() / 1e6;
    if (fault.mode == "silence")
      fault.magnitude = form.number("counted", 0, 1, 0.5);
  }
  form.finish();
  return fault;
}

void read_load(SexpReader form, Scenario& scenario) {
  load::Settings& load = scenario.load;
  load.rate = form.number("rate", 0.1, 1e6);
  load.shape = form.enumerator<load::Shape>("shape",
                                            {{"steady", load::Shape::steady},
                                             {"wave", load::Shape::wave},
                                             {"ramp", load::Shape::ramp},
                                             {"bursty", load::Shape::bursty}},
                                            load::Shape::steady);
  load.amplitude = form.number("swing", 0, 0.95, 0.0);
  load.request_classes.resize(scenario.deployment.request_classes.size());
  std::vector<bool> given(load.request_classes.size(), false);
  double sum = 0;
  for (SexpReader& product : form.children("product", 1)) {
    const int p = scenario.deployment.request_class_index(product.positional(0, "a product"));
    if (p < 0 || given[p]) {
      product.add_problem(p < 0 ? "is not a product of the deployment" : "given twice");
      continue;
    }
    given[p] = true;
    load::RequestClass& request_class = load.request_classes[p];
    sum += request_class.share = product.number("share", 0, 1);
    request_class.work = product.duration("work", 1us, 1h);
    request_class.distribution = product.enumerator<load::WorkDistribution>(
        "spread",
        {{"exponential", load::WorkDistribution::exponential},
         {"lognormal", load::WorkDistribution::lognormal}},
        load::WorkDistribution::exponential);
    request_class.coefficient_of_variation = product.number("cv", 0.01, 20, 1.0);
    product.finish();
  }
  for (std::size_t p = 0; p < load.request_classes.size(); ++p) {
    const RequestClass& deployed = scenario.deployment.request_classes[p].request_class;
    if (!given[p])
      form.add_problem("product " + scenario.deployment.request_classes[p].name + " is missing");
    load.request_classes[p].deadline = deployed.deadline;
    load.request_classes[p].dedup_window = deployed.dedup_window;
    load.request_classes[p].keyed = deployed.idempotency == Idempotency::idempotent_with_key;
    load.request_classes[p].retry_policy =
        deployed.idempotency == Idempotency::idempotent ? load::RetryPolicy::always
        : deployed.idempotency == Idempotency::idempotent_with_key &&
                deployed.dedup_scope == DedupScope::all
            ? load::RetryPolicy::within_dedup_window
            : load::RetryPolicy::only_rejected;
  }
  if (sum < 0.999 || sum > 1.001)
    form.add_problem("the products' shares must add up to 1, not " + std::to_string(sum));
  form.finish();
  if (!scenario.deployment.tenants.empty()) {
    load.tenants.clear();
    for (auto& tenant : scenario.deployment.tenants)
      load.tenants.push_back(tenant.tenant.share);
  }
}

void read_clients(SexpReader form, load::Settings& load) {
  load.retries = form.integer("retries", 0, 100, 0);
  std::vector<double> patience = form.numbers("patience", 0.01, 1, 0);
  if (!patience.empty()) {
    load.min_patience = *std::min_element(patience.begin(), patience.end());
    load.max_patience = *std::max_element(patience.begin(), patience.end());
  }
  load.backoff = form.enumerator<load::Backoff>("backoff",
                                                {{"none", load::Backoff::none},
                                                 {"fixed", load::Backoff::fixed},
                                                 {"growing", load::Backoff::exponential}},
                                                load::Backoff::none);
  std::tie(load.min_backoff, load.max_backoff) = read_range(form, "pause", 50ms);
  load.retry_after_compliance = form.number("heed", 0, 1, 1.0);
  load.disconnect_share = form.number("leave", 0, 1, 0.0);
  form.finish();
}

}  // namespace

const char* to_string(FaultKind kind) {
  for (auto& [name, named_kind] : fault_kind_names)
    if (named_kind == kind)
      return name;
  return "?";
}

Scenario read(SexpReader root) {
  Scenario scenario;
  scenario.deployment = deployment::read(root.child("deployment"));
  scenario.deployment_text = root.to_text("deployment");
  SexpReader form = root.child("day");
  scenario.length = form.duration("length", 1s, 1h);
  scenario.answer_slack = form.duration("answer-slack", 0ms, 1s, 20ms);
  SexpReader fleet = form.child("fleet");
  scenario.server_slots = fleet.integer("places", 1, 10000);
  scenario.cell_size = fleet.integer("cell-size", 1, 10000, 4);
  scenario.initial_build.number = fleet.integer("build", 1, 65000, 1);
  scenario.speed_spread = fleet.number("speed-spread", 0, 0.9, 0.0);
  std::tie(scenario.min_boot_time, scenario.max_boot_time) = read_range(fleet, "boot", 1s);
  scenario.capacity = machine::read_capacity(fleet.child("capacity"), scenario.deployment);
  scenario.cancellation =
      fleet.enumerator<machine::CancellationMode>("cancelled",
                                                  {{"nothing", machine::CancellationMode::nothing},
                                                   {"queued", machine::CancellationMode::queued},
                                                   {"all", machine::CancellationMode::all}},
                                                  machine::CancellationMode::nothing);
  fleet.finish();
  if (auto list = form.optional_child("list")) {
    std::tie(scenario.min_registry_delay, scenario.max_registry_delay) =
        read_range(*list, "told-after", 0ms);
    scenario.silent_removal_delay = list->duration("silent-after", 0ms, 1h, 5s);
    list->finish();
  }
  if (auto controller = form.optional_child("controller")) {
    std::tie(scenario.min_publish_delay, scenario.max_publish_delay) =
        read_range(*controller, "told-after", 0ms);
    controller->finish();
  }
  if (auto reports = form.optional_child("reports")) {
    std::tie(scenario.min_report_delay, scenario.max_report_delay) =
        read_range(*reports, "after", 1s);
    scenario.false_report_share = reports->number("false", 0, 1, 0.0);
    reports->finish();
  }
  scenario.load.proxies = scenario.deployment.proxies;
  scenario.load.length = scenario.length;
  if (auto front = form.optional_child("front")) {
    scenario.load.failover_delay = front->duration("notice", 0ms, 1h, 1s);
    front->finish();
  }
  read_load(form.child("load"), scenario);
  if (auto clients = form.optional_child("clients"))
    read_clients(*clients, scenario.load);
  if (auto database = form.optional_child("database")) {
    scenario.database = true;
    scenario.database_setup = database->text("setup");
    scenario.batch_slowdown = database->number("batch-slows", 1, 1000, 1.0);
    scenario.throttle_backfills = database->boolean("throttle", true);
    database->finish();
  }
  for (SexpReader& release : form.children("release")) {
    ScheduledRelease scheduled;
    scheduled.at = release.duration("at", 0ms, scenario.length);
    scheduled.needs = release.text("needs", "");
    if (auto plan = release.optional_child("plan")) {
      if (!scenario.database)
        release.add_problem("plan", "needs a (database ...) to run against");
      scheduled.plan = release.to_text("plan");
      const migration::Plan parsed =
          migration::read_plan(*plan, static_cast<int>(scenario.deployment.rollout.stages.size()));
      for (const migration::Step& step : parsed.steps)
        scheduled.steps.push_back(step.id);
    }
    scheduled.build = machine::read_build(release, scenario.deployment);
    if (scheduled.build.number <= (scenario.releases.empty()
                                       ? scenario.initial_build.number
                                       : scenario.releases.back().build.number))
      release.add_problem("its build is not newer than that of the release before it");
    if (!scenario.releases.empty() && scheduled.at < scenario.releases.back().at)
      release.add_problem("at", "is earlier than that of the release before it");
    scenario.releases.push_back(scheduled);
  }
  for (SexpReader& fault : form.children("trouble"))
    scenario.faults.push_back(read_fault(fault, scenario));
  form.finish();
  root.finish();
  return scenario;
}

}  // namespace robinhoist::day
