#include "module_settings/module_settings.h"

#include <algorithm>

namespace robinhoist::module_settings {
namespace {

using namespace json;

double positive(const Value& object, const char* field) {
  double value = number(object, field);
  if (!(value > 0))
    throw DecodeError(std::string("setting ") + field + " must be above 0");
  return value;
}

double not_negative(const Value& object, const char* field) {
  double value = number(object, field);
  if (!(value >= 0))
    throw DecodeError(std::string("setting ") + field + " must not be below 0");
  return value;
}

void request_settings(const Value& params, ModuleSettings& to) {
  RequestSettings& settings = to.requests;
  for (const Value& entry : array(params, "classes").GetArray()) {
    if (!entry.IsObject())
      throw_wrong_type("classes", "an array of objects");
    RequestClass request_class{};
    request_class.latency_objective = duration_from_ms(positive(entry, "goal_time_ms"));
    request_class.deadline = duration_from_ms(positive(entry, "deadline_ms"));
    request_class.dedup_window = duration_from_ms(not_negative(entry, "dedup_window_ms"));
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
    request_class.stream = boolean(entry, "streaming");
    settings.request_classes.push_back(request_class);
    to.request_classes.push_back(text_or(entry, "name", ""));
  }
  if (settings.request_classes.empty())
    throw DecodeError("setting classes is empty");
  for (const Value& entry : array(params, "tenants").GetArray()) {
    if (!entry.IsObject())
      throw_wrong_type("tenants", "an array of objects");
    settings.tenants.push_back(
        {not_negative(entry, "fraction"), not_negative(entry, "allowance_per_s")});
    to.tenants.push_back(text_or(entry, "name", ""));
  }
  const Value& bounds = nested_object(params, "bounds");
  settings.max_attempts = integer(bounds, "max_attempts", 1);
  integer(params, "balancers", 1);  // checked in this order, used by the endpoint settings
  settings.hedging = boolean(bounds, "second_copies");
  settings.cancelling = boolean(bounds, "cancelling");
  settings.retry_after = boolean(bounds, "retry_after");
  settings.retry_delay = duration_from_ms(not_negative(bounds, "max_retry_after_ms"));
  not_negative(nested_object(params, "safety"), "answer_slack_ms");  // checked, not used
  settings.tick = duration_from_ms(positive(params, "tick_ms"));
  not_negative(params, "over_share_worth");  // checked, not used
}

EndpointSettings endpoint_settings(const Value& params) {
  const Value& safety = nested_object(params, "safety");
  EndpointSettings settings{};
  settings.zone = integer(params, "zone");
  settings.proxy_index = integer(params, "me");
  settings.proxy_count = integer(params, "balancers", 1);
  settings.warm_up_time = duration(safety, "cold_ms");
  settings.collapse_window = duration_from_ms(positive(safety, "fall_ms"));
  not_negative(safety, "ask_within_ms");  // checked, not used
  settings.initial_warm_up_factor = positive(safety, "cold_from");
  if (settings.initial_warm_up_factor > 1)
    throw DecodeError("setting cold_from must not be above 1");
  settings.collapse_multiple = positive(safety, "fall_multiple");
  settings.polls_list =
      enumerator<bool>(params, "registry_mode", {{"automatic", false}, {"subscribe", true}});
  settings.uses_sizes = enumerator<bool>(
      params, "weights", {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", true}});
  boolean(nested_object(params, "bounds"), "probes");  // checked, not used
  settings.reports = enumerator<LoadReportSource>(nested_object(params, "load_report"), "source",
                                                  {{"piggyback", LoadReportSource::answers},
                                                   {"pull", LoadReportSource::probes},
                                                   {"silent", LoadReportSource::none}});
  return settings;
}

CanaryQuotaSettings canary_quota_settings(const Value& info) {
  CanaryQuotaSettings settings{};
  settings.window = duration_from_ms(positive(info, "window_ms"));
  settings.free_requests = not_negative(info, "free");
  settings.by_request_class =
      enumerator<bool>(info, "counts", {{"all", false}, {"each_class", true}});
  settings.one_way = boolean(info, "one_way");
  settings.in_place =
      enumerator<bool>(info, "replace_mode", {{"parallel", false}, {"replace", true}});
  settings.safe_only_stages = integer(info, "safe_only_stages");
  for (const Value& cap : array(info, "caps").GetArray()) {
    if (!cap.IsNumber() || cap.GetDouble() < 0)
      throw_wrong_type("caps", "an array of numbers from 0");
    settings.caps.push_back(cap.GetDouble());
  }
  return settings;
}

AnalysisSettings analysis_settings(const Value& params, const Value& info) {
  AnalysisSettings settings{};
  settings.promotion_mode = enumerator<PromotionMode>(info, "gate_mode",
                                                      {{"first_voice", PromotionMode::first_vote},
                                                       {"by_count", PromotionMode::count},
                                                       {"automatic", PromotionMode::clock}});
  settings.bake = duration_from_ms(not_negative(info, "bake_ms"));
  settings.step = duration_from_ms(not_negative(info, "moves_after_ms"));
  settings.vote_lifetime = duration_from_ms(positive(info, "vote_stands_ms"));
  settings.call_timeout = duration_from_ms(positive(info, "call_timeout_ms"));
  settings.votes_per_s = not_negative(info, "calls_per_s");
  settings.wrong_answer_report_share = not_negative(info, "flag_share");
  settings.proxies = integer(params, "balancers", 1);
  settings.votes_to_promote = integer(info, "to_advance");
  settings.votes_to_hold = integer(info, "hold_votes");
  settings.votes_to_roll_back = integer(info, "votes_to_revert");
  return settings;
}

}  // namespace

int ModuleSettings::index(const std::vector<std::string>& among, std::string_view name) {
  auto at = std::find(among.begin(), among.end(), name);
  return at == among.end() ? -1 : static_cast<int>(at - among.begin());
}

ModuleSettings decode(const Value& object) {
  ModuleSettings to;
  const Value& info = nested_object(object, "family_info");
  request_settings(object, to);
  to.endpoints = endpoint_settings(object);
  to.canary_quota = canary_quota_settings(info);
  to.analysis = analysis_settings(object, info);
  const Value& bounds = nested_object(object, "bounds");
  to.connect_timeout = duration_from_ms(number_or(bounds, "connect_timeout_ms", 0));
  to.keep_idle = duration_from_ms(number_or(bounds, "keepalive_ms", 0));
  if (has_value(object, "failure_domains"))
    for (const Value& zone : array(object, "failure_domains").GetArray()) {
      if (!zone.IsString())
        throw_wrong_type("failure_domains", "an array of names");
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
