#include "module_settings/module_settings.h"

#include <algorithm>

namespace robinhoist::module_settings {
namespace {

using namespace json;

double positive(const Json& object, const char* field) {
  double value = number(object, field);
  if (!(value > 0))
    throw BadInput(std::string("setting ") + field + " must be above 0");
  return value;
}

double not_negative(const Json& object, const char* field) {
  double value = number(object, field);
  if (!(value >= 0))
    throw BadInput(std::string("setting ") + field + " must not be below 0");
  return value;
}

void request_settings(const Json& params, ModuleSettings& to) {
  RequestSettings& settings = to.requests;
  for (const Json& entry : array(params, "classes").GetArray()) {
    if (!entry.IsObject())
      mistyped("classes", "an array of objects");
    RequestClass request_class{};
    request_class.latency_objective = span(positive(entry, "goal_time_ms"));
    request_class.deadline = span(positive(entry, "deadline_ms"));
    request_class.dedup_window = span(not_negative(entry, "dedup_window_ms"));
    request_class.idempotency =
        enumerator<Idempotency>(entry, "effect",
                                {{"free", Idempotency::idempotent},
                                 {"guarded", Idempotency::idempotent_with_key},
                                 {"single_shot", Idempotency::non_idempotent}});
    request_class.dedup_scope = enumerator<DedupScope>(
        entry, "group",
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    request_class.priority_weight = not_negative(entry, "worth");
    request_class.late_weight_share = not_negative(entry, "late_share");
    request_class.stream = truth(entry, "streaming");
    settings.request_classes.push_back(request_class);
    to.request_classes.push_back(text_or(entry, "name", ""));
  }
  if (settings.request_classes.empty())
    throw BadInput("setting classes is empty");
  for (const Json& entry : array(params, "tenants").GetArray()) {
    if (!entry.IsObject())
      mistyped("tenants", "an array of objects");
    settings.tenants.push_back(
        {not_negative(entry, "fraction"), not_negative(entry, "allowance_per_s")});
    to.tenants.push_back(text_or(entry, "name", ""));
  }
  const Json& bounds = inner(params, "bounds");
  settings.max_attempts = whole(bounds, "max_attempts", 1);
  whole(params, "balancers", 1);  // checked in this order, used by the endpoint settings
  settings.hedging = truth(bounds, "second_copies");
  settings.cancelling = truth(bounds, "cancelling");
  settings.retry_after = truth(bounds, "retry_after");
  settings.retry_delay = span(not_negative(bounds, "max_retry_after_ms"));
  not_negative(inner(params, "safety"), "answer_slack_ms");  // checked, not used
  settings.tick = span(positive(params, "tick_ms"));
  not_negative(params, "over_share_worth");  // checked, not used
}

EndpointSettings endpoint_settings(const Json& params) {
  const Json& safety = inner(params, "safety");
  EndpointSettings settings{};
  settings.zone = whole(params, "zone");
  settings.proxy_index = whole(params, "me");
  settings.proxy_count = whole(params, "balancers", 1);
  settings.warm_up_time = duration_of(safety, "cold_ms");
  settings.collapse_window = span(positive(safety, "fall_ms"));
  not_negative(safety, "ask_within_ms");  // checked, not used
  settings.initial_warm_up_factor = positive(safety, "cold_from");
  if (settings.initial_warm_up_factor > 1)
    throw BadInput("setting cold_from must not be above 1");
  settings.collapse_multiple = positive(safety, "fall_multiple");
  settings.polls_list =
      enumerator<bool>(params, "registry_mode", {{"automatic", false}, {"subscribe", true}});
  settings.uses_sizes = enumerator<bool>(
      params, "weights", {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", true}});
  truth(inner(params, "bounds"), "probes");  // checked, not used
  settings.reports = enumerator<LoadReportSource>(inner(params, "load_report"), "source",
                                                  {{"piggyback", LoadReportSource::answers},
                                                   {"pull", LoadReportSource::probes},
                                                   {"silent", LoadReportSource::none}});
  return settings;
}

CanaryQuotaSettings canary_quota_settings(const Json& info) {
  CanaryQuotaSettings settings{};
  settings.window = span(positive(info, "window_ms"));
  settings.free_requests = not_negative(info, "free");
  settings.by_request_class =
      enumerator<bool>(info, "counts", {{"all", false}, {"each_class", true}});
  settings.one_way = truth(info, "one_way");
  settings.in_place =
      enumerator<bool>(info, "replace_mode", {{"parallel", false}, {"replace", true}});
  settings.safe_only_stages = whole(info, "safe_only_stages");
  for (const Json& cap : array(info, "caps").GetArray()) {
    if (!cap.IsNumber() || cap.GetDouble() < 0)
      mistyped("caps", "an array of numbers from 0");
    settings.caps.push_back(cap.GetDouble());
  }
  return settings;
}

AnalysisSettings analysis_settings(const Json& params, const Json& info) {
  AnalysisSettings settings{};
  settings.promotion_mode = enumerator<PromotionMode>(info, "gate_mode",
                                                      {{"first_voice", PromotionMode::first_vote},
                                                       {"by_count", PromotionMode::count},
                                                       {"automatic", PromotionMode::clock}});
  settings.bake = span(not_negative(info, "bake_ms"));
  settings.step = span(not_negative(info, "moves_after_ms"));
  settings.vote_lifetime = span(positive(info, "vote_stands_ms"));
  settings.call_timeout = span(positive(info, "call_timeout_ms"));
  settings.votes_per_s = not_negative(info, "calls_per_s");
  settings.wrong_answer_report_share = not_negative(info, "flag_share");
  settings.proxies = whole(params, "balancers", 1);
  settings.votes_to_promote = whole(info, "to_advance");
  settings.votes_to_hold = whole(info, "hold_votes");
  settings.votes_to_roll_back = whole(info, "votes_to_revert");
  return settings;
}

}  // namespace

int ModuleSettings::index(const std::vector<std::string>& among, std::string_view name) {
  auto at = std::find(among.begin(), among.end(), name);
  return at == among.end() ? -1 : static_cast<int>(at - among.begin());
}

ModuleSettings decode(const Json& object) {
  ModuleSettings to;
  const Json& info = inner(object, "family_info");
  request_settings(object, to);
  to.endpoints = endpoint_settings(object);
  to.canary_quota = canary_quota_settings(info);
  to.analysis = analysis_settings(object, info);
  const Json& bounds = inner(object, "bounds");
  to.connect_timeout = span(number_or(bounds, "connect_timeout_ms", 0));
  to.keep_idle = span(number_or(bounds, "keepalive_ms", 0));
  if (present(object, "failure_domains"))
    for (const Json& zone : array(object, "failure_domains").GetArray()) {
      if (!zone.IsString())
        mistyped("failure_domains", "an array of names");
      to.zones.emplace_back(zone.GetString(), zone.GetStringLength());
    }
  return to;
}

std::optional<double>* load_field(LoadReport& load, std::string_view name) {
  const std::pair<const char*, std::optional<double>*> places[] = {
      {"busy_reqs", &load.in_flight},    {"pending", &load.queued},
      {"cpu_share", &load.utilization},  {"svc_ms", &load.service_ms},
      {"served_ps", &load.served_per_s}, {"failed_ps", &load.failed_per_s}};
  for (auto& [word, place] : places)
    if (name == word)
      return place;
  return nullptr;
}

}  // namespace robinhoist::module_settings
