#include "day/scenario.h"

#include <algorithm>

#include "machine/forms.h"
#include "migration/plan.h"

namespace robinhoist::day {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

constexpr std::pair<const char*, FaultKind> kinds[] = {
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

// (key LEAST MOST) or (key BOTH).
std::pair<Duration, Duration> range(SexpReader& form, const char* key, Duration absent) {
  auto inner = form.optional_child(key);
  if (!inner)
    return {absent, absent};
  std::vector<Duration> read;
  for (std::size_t i = 0; i < inner->positional_count(); ++i) {
    auto one = settings::parse_duration(inner->positional(i, ""));
    if (!one || *one < Duration{})
      inner->add_problem(inner->positional(i, "") + " is not a span such as 250ms");
    else
      read.push_back(*one);
  }
  inner->finish();
  if (read.empty() || read.size() > 2 || read.front() > read.back()) {
    inner->add_problem("wants one span, or a least and a most");
    return {absent, absent};
  }
  return {read.front(), read.back()};
}

Fault read_trouble(SexpReader form, const Scenario& day) {
  Fault trouble{};
  const std::string name = form.positional(0, "a kind");
  bool known = false;
  for (auto& [word, kind] : kinds)
    if (name == word)
      trouble.kind = kind, known = true;
  if (!known) {
    std::string all;
    for (auto& [word, kind] : kinds)
      all += (all.empty() ? "" : ", ") + std::string(word);
    form.add_problem(name + " is none of " + all);
  }
  trouble.at = form.duration("at", 0ms, day.length);
  trouble.duration = form.duration("for", 1ms, 1h);
  const auto is = [&](std::initializer_list<FaultKind> of) {
    return std::find(of.begin(), of.end(), trouble.kind) != of.end();
  };
  if (is({FaultKind::crash, FaultKind::vanish, FaultKind::slow, FaultKind::fast_errors,
          FaultKind::neighbour, FaultKind::probe_fail, FaultKind::connection_squeeze,
          FaultKind::slow_handshakes, FaultKind::hot_caller, FaultKind::proxy_crash,
          FaultKind::proxy_roll}))
    trouble.target_share = form.number("part", 0, 1);
  if (is({FaultKind::slow, FaultKind::burst}))
    trouble.magnitude = form.number("times", 0.01, 1000);
  if (is({FaultKind::fast_errors, FaultKind::neighbour, FaultKind::probe_fail,
          FaultKind::hot_caller, FaultKind::bad_requests}))
    trouble.magnitude = form.number("share", 0, 0.99);
  if (is({FaultKind::neighbour}))
    trouble.extra = form.duration("every", 10ms, 1h, 2s).count() / 1e6;
  if (is({FaultKind::connection_squeeze}))
    trouble.magnitude = form.number("connections-an-umpire", 0.01, 1e6);
  if (is({FaultKind::slow_handshakes}))
    trouble.magnitude = form.duration("by", 0ms, 1min).count() / 1e6;
  if (is({FaultKind::slow_link})) {
    trouble.magnitude = form.duration("by", 0ms, 1min).count() / 1e6;
    trouble.extra = form.number("lost", 0, 1, 0.0);
  }
  if (is({FaultKind::slow_link, FaultKind::zone_cut})) {
    trouble.zone = form.text("zone");
    if (day.deployment.zone(trouble.zone) < 0)
      form.add_problem("zone", "is none of the deployment's");
  }
  if (is({FaultKind::bad_requests}))
    trouble.tenant = form.text("tenant", "");
  if (is({FaultKind::retry_abuse})) {
    trouble.tenant = form.text("tenant");
    trouble.magnitude = form.integer("tries", 1, 100);
    trouble.extra = form.number("patience", 0.01, 1);
  }
  if (!trouble.tenant.empty() && day.deployment.tenant(trouble.tenant) < 0)
    form.add_problem("tenant", "is none of the deployment's");
  if (is({FaultKind::watch_breaks}))
    trouble.magnitude = form.duration("every", 20ms, 1h).count() / 1e6;
  if (is({FaultKind::stale_list}))
    trouble.magnitude = form.duration("by", 0ms, 1h).count() / 1e6;
  if (is({FaultKind::proxy_roll})) {
    trouble.magnitude = form.number("batch", 0.001, 1);
    trouble.extra = form.duration("down", 0ms, 1min, 500ms).count() / 1e6;
  }
  if (is({FaultKind::controller_down})) {
    trouble.mode = form.enumerator<std::string>(
        "how", {{"silence", "silence"}, {"errors", "errors"}, {"stale", "stale"}});
    if (trouble.mode == "stale")
      trouble.magnitude = form.duration("by", 0ms, 1h).count() / 1e6;
    if (trouble.mode == "silence")
      trouble.magnitude = form.number("counted", 0, 1, 0.5);
  }
  form.finish();
  return trouble;
}

void read_load(SexpReader form, Scenario& day) {
  load::Settings& to = day.load;
  to.rate = form.number("rate", 0.1, 1e6);
  to.shape = form.enumerator<load::Shape>("shape",
                                          {{"steady", load::Shape::steady},
                                           {"wave", load::Shape::wave},
                                           {"ramp", load::Shape::ramp},
                                           {"bursty", load::Shape::bursty}},
                                          load::Shape::steady);
  to.swing = form.number("swing", 0, 0.95, 0.0);
  to.request_classes.resize(day.deployment.request_classes.size());
  std::vector<bool> given(to.request_classes.size(), false);
  double sum = 0;
  for (SexpReader& one : form.children("product", 1)) {
    const int p = day.deployment.request_class(one.positional(0, "a product"));
    if (p < 0 || given[p]) {
      one.add_problem(p < 0 ? "is none of the deployment's products" : "given twice");
      continue;
    }
    given[p] = true;
    load::RequestClass& request_class = to.request_classes[p];
    sum += request_class.share = one.number("share", 0, 1);
    request_class.work = one.duration("work", 1us, 1h);
    request_class.spread = one.enumerator<load::Spread>(
        "spread",
        {{"exponential", load::Spread::exponential}, {"lognormal", load::Spread::lognormal}},
        load::Spread::exponential);
    request_class.cv = one.number("cv", 0.01, 20, 1.0);
    one.finish();
  }
  for (std::size_t p = 0; p < to.request_classes.size(); ++p) {
    const RequestClass& of = day.deployment.request_classes[p].request_class;
    if (!given[p])
      form.add_problem("product " + day.deployment.request_classes[p].name + " is missing");
    to.request_classes[p].deadline = of.deadline;
    to.request_classes[p].dedup_window = of.dedup_window;
    to.request_classes[p].keyed = of.idempotency == Idempotency::idempotent_with_key;
    to.request_classes[p].repeats =
        of.idempotency == Idempotency::idempotent ? load::Repeats::always
        : of.idempotency == Idempotency::idempotent_with_key && of.dedup_scope == DedupScope::all
            ? load::Repeats::within_memory
            : load::Repeats::only_rejected;
  }
  if (sum < 0.999 || sum > 1.001)
    form.add_problem("the products' shares must add up to 1, not " + std::to_string(sum));
  form.finish();
  if (!day.deployment.tenants.empty()) {
    to.tenants.clear();
    for (auto& tenant : day.deployment.tenants)
      to.tenants.push_back(tenant.tenant.share);
  }
}

void read_clients(SexpReader form, load::Settings& to) {
  to.retries = form.integer("retries", 0, 100, 0);
  std::vector<double> patience = form.numbers("patience", 0.01, 1, 0);
  if (!patience.empty()) {
    to.patience_least = *std::min_element(patience.begin(), patience.end());
    to.patience_most = *std::max_element(patience.begin(), patience.end());
  }
  to.pause = form.enumerator<load::Pause>("backoff",
                                          {{"none", load::Pause::none},
                                           {"fixed", load::Pause::fixed},
                                           {"growing", load::Pause::growing}},
                                          load::Pause::none);
  std::tie(to.pause_least, to.pause_most) = range(form, "pause", 50ms);
  to.heeds = form.number("heed", 0, 1, 1.0);
  to.leaves = form.number("leave", 0, 1, 0.0);
  form.finish();
}

}  // namespace

const char* to_string(FaultKind kind) {
  for (auto& [word, which] : kinds)
    if (which == kind)
      return word;
  return "?";
}

Scenario read(SexpReader root) {
  Scenario day;
  day.deployment = deployment::read(root.child("deployment"));
  day.deployment_text = root.to_text("deployment");
  SexpReader form = root.child("day");
  day.length = form.duration("length", 1s, 1h);
  day.answer_slack = form.duration("answer-slack", 0ms, 1s, 20ms);
  SexpReader fleet = form.child("fleet");
  day.server_slots = fleet.integer("places", 1, 10000);
  day.cell_size = fleet.integer("cell-size", 1, 10000, 4);
  day.initial_build.number = fleet.integer("build", 1, 65000, 1);
  day.speed_spread = fleet.number("speed-spread", 0, 0.9, 0.0);
  std::tie(day.min_boot_time, day.max_boot_time) = range(fleet, "boot", 1s);
  day.capacity = machine::read_capacity(fleet.child("capacity"), day.deployment);
  day.cancellation = fleet.enumerator<machine::Cancelled>("cancelled",
                                                          {{"nothing", machine::Cancelled::nothing},
                                                           {"queued", machine::Cancelled::queued},
                                                           {"all", machine::Cancelled::all}},
                                                          machine::Cancelled::nothing);
  fleet.finish();
  if (auto list = form.optional_child("list")) {
    std::tie(day.min_registry_delay, day.max_registry_delay) = range(*list, "told-after", 0ms);
    day.silent_removal_delay = list->duration("silent-after", 0ms, 1h, 5s);
    list->finish();
  }
  if (auto controller = form.optional_child("controller")) {
    std::tie(day.min_publish_delay, day.max_publish_delay) = range(*controller, "told-after", 0ms);
    controller->finish();
  }
  if (auto reports = form.optional_child("reports")) {
    std::tie(day.min_report_delay, day.max_report_delay) = range(*reports, "after", 1s);
    day.false_report_share = reports->number("false", 0, 1, 0.0);
    reports->finish();
  }
  day.load.proxies = day.deployment.proxies;
  day.load.length = day.length;
  if (auto front = form.optional_child("front")) {
    day.load.notice = front->duration("notice", 0ms, 1h, 1s);
    front->finish();
  }
  read_load(form.child("load"), day);
  if (auto clients = form.optional_child("clients"))
    read_clients(*clients, day.load);
  if (auto database = form.optional_child("database")) {
    day.database = true;
    day.database_setup = database->text("setup");
    day.batch_slowdown = database->number("batch-slows", 1, 1000, 1.0);
    day.throttle_backfills = database->boolean("throttle", true);
    database->finish();
  }
  for (SexpReader& release : form.children("release")) {
    ScheduledRelease offer;
    offer.at = release.duration("at", 0ms, day.length);
    offer.needs = release.text("needs", "");
    if (auto plan = release.optional_child("plan")) {
      if (!day.database)
        release.add_problem("plan", "has no (database ...) to run against");
      offer.plan = release.to_text("plan");
      migration::Plan read =
          migration::read_plan(*plan, static_cast<int>(day.deployment.rollout.stages.size()));
      for (const migration::Step& step : read.steps)
        offer.steps.push_back(step.id);
    }
    offer.build = machine::read_build(release, day.deployment);
    if (offer.build.number <=
        (day.releases.empty() ? day.initial_build.number : day.releases.back().build.number))
      release.add_problem("its build is not newer than the one before");
    if (!day.releases.empty() && offer.at < day.releases.back().at)
      release.add_problem("at", "is before the release given before it");
    day.releases.push_back(offer);
  }
  for (SexpReader& trouble : form.children("trouble"))
    day.faults.push_back(read_trouble(trouble, day));
  form.finish();
  root.finish();
  return day;
}

}  // namespace robinhoist::day
