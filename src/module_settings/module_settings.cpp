#include "module_settings/module_settings.h"

#include <algorithm>
#include <utility>

#include "module_settings/wire_names.h"

namespace robinhoist::module_settings {
namespace {

using json::DecodeError;
using json::Value;

DecodeError invalid_setting(const char* name, const char* problem) {
  return DecodeError(std::string("setting ") + name + " " + problem);
}

double positive(const Value& object, const char* name) {
  const double value = json::number(object, name);
  if (!(value > 0))
    throw invalid_setting(name, "must be above 0");
  return value;
}

double non_negative(const Value& object, const char* name) {
  const double value = json::number(object, name);
  if (!(value >= 0))
    throw invalid_setting(name, "must not be negative");
  return value;
}

Duration positive_ms(const Value& object, const char* name) {
  return json::duration_from_ms(positive(object, name));
}

Duration non_negative_ms(const Value& object, const char* name) {
  return json::duration_from_ms(non_negative(object, name));
}

RequestClass decode_request_class(const Value& entry) {
  RequestClass request_class{};
  request_class.latency_objective = positive_ms(entry, field::latency_objective_ms);
  request_class.deadline = positive_ms(entry, field::deadline_ms);
  request_class.dedup_window = non_negative_ms(entry, field::dedup_window_ms);
  request_class.idempotency =
      json::enumerator<Idempotency>(entry, field::idempotency,
                                    {{"free", Idempotency::idempotent},
                                     {"guarded", Idempotency::idempotent_with_key},
                                     {"single_shot", Idempotency::non_idempotent}});
  request_class.dedup_scope = json::enumerator<DedupScope>(
      entry, field::dedup_scope,
      {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
  request_class.priority_weight = non_negative(entry, field::priority_weight);
  request_class.late_weight_share = non_negative(entry, field::late_weight_share);
  request_class.stream = json::boolean(entry, field::stream);
  return request_class;
}

void decode_request_classes(const Value& object, ModuleSettings& settings) {
  for (const Value& entry : json::array(object, field::request_classes).GetArray()) {
    if (!entry.IsObject())
      json::throw_wrong_type(field::request_classes, "an array of objects");
    settings.requests.request_classes.push_back(decode_request_class(entry));
    settings.request_class_names.push_back(json::text_or(entry, field::name, ""));
  }
  if (settings.requests.request_classes.empty())
    throw invalid_setting(field::request_classes, "is empty");
}

void decode_tenants(const Value& object, ModuleSettings& settings) {
  for (const Value& entry : json::array(object, field::tenants).GetArray()) {
    if (!entry.IsObject())
      json::throw_wrong_type(field::tenants, "an array of objects");
    Tenant tenant{};
    tenant.share = non_negative(entry, field::tenant_share);
    tenant.allowance_per_s = non_negative(entry, field::tenant_allowance_per_s);
    settings.requests.tenants.push_back(tenant);
    settings.tenant_names.push_back(json::text_or(entry, field::name, ""));
  }
}

void decode_zones(const Value& object, ModuleSettings& settings) {
  if (!json::has_value(object, field::zones))
    return;
  for (const Value& zone : json::array(object, field::zones).GetArray()) {
    if (!zone.IsString())
      json::throw_wrong_type(field::zones, "an array of names");
    settings.zone_names.emplace_back(zone.GetString(), zone.GetStringLength());
  }
}

// Decodes the request settings other than the request classes and tenants.
void decode_request_limits(const Value& object, RequestSettings& settings) {
  const Value& bounds = json::nested_object(object, field::bounds);
  settings.max_attempts = json::integer(bounds, field::max_attempts, 1);
  // Used by the endpoint settings; validated here because the first invalid field is reported.
  json::integer(object, field::proxies, 1);
  settings.hedging = json::boolean(bounds, field::hedging);
  settings.cancelling = json::boolean(bounds, field::cancelling);
  settings.retry_after = json::boolean(bounds, field::retry_after);
  settings.retry_delay = non_negative_ms(bounds, field::max_retry_after_ms);
  // Validated but not used.
  non_negative(json::nested_object(object, field::safety), field::answer_slack_ms);
  settings.tick = positive_ms(object, field::tick_ms);
  non_negative(object, field::over_quota_weight);  // validated but not used
}

EndpointSettings decode_endpoint_settings(const Value& object) {
  const Value& safety = json::nested_object(object, field::safety);
  EndpointSettings settings{};
  settings.zone = json::integer(object, field::zone);
  settings.proxy_index = json::integer(object, field::proxy_index);
  settings.proxy_count = json::integer(object, field::proxies, 1);
  settings.warm_up_time = json::duration(safety, field::warm_up_time_ms);
  settings.collapse_window = positive_ms(safety, field::collapse_window_ms);
  non_negative(safety, field::poll_within_ms);  // validated but not used
  settings.initial_warm_up_factor = positive(safety, field::initial_warm_up_factor);
  if (settings.initial_warm_up_factor > 1)
    throw invalid_setting(field::initial_warm_up_factor, "must not be above 1");
  settings.collapse_multiple = positive(safety, field::collapse_multiple);
  settings.subscribes_to_list =
      json::enumerator<bool>(object, field::list_mode, {{"automatic", false}, {"subscribe", true}});
  settings.uses_sizes = json::enumerator<bool>(
      object, field::sizes,
      {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", true}});
  // Validated but not used.
  json::boolean(json::nested_object(object, field::bounds), field::probes);
  settings.load_report_source = json::enumerator<LoadReportSource>(
      json::nested_object(object, field::load_report), field::load_report_source,
      {{"piggyback", LoadReportSource::answers},
       {"pull", LoadReportSource::probes},
       {"silent", LoadReportSource::none}});
  return settings;
}

CanaryQuotaSettings decode_canary_quota(const Value& release) {
  CanaryQuotaSettings settings{};
  settings.window = positive_ms(release, field::quota_window_ms);
  settings.uncapped_attempts = non_negative(release, field::uncapped_attempts);
  settings.by_request_class =
      json::enumerator<bool>(release, field::quota_counts, {{"all", false}, {"each_class", true}});
  settings.sticky_keys = json::boolean(release, field::sticky_keys);
  settings.in_place = json::enumerator<bool>(release, field::replace_mode,
                                             {{"parallel", false}, {"replace", true}});
  settings.idempotent_only_stages = json::integer(release, field::idempotent_only_stages);
  for (const Value& cap : json::array(release, field::caps).GetArray()) {
    if (!cap.IsNumber() || cap.GetDouble() < 0)
      json::throw_wrong_type(field::caps, "an array of non-negative numbers");
    settings.caps.push_back(cap.GetDouble());
  }
  return settings;
}

AnalysisSettings decode_analysis(const Value& object, const Value& release) {
  AnalysisSettings settings{};
  settings.promotion_mode =
      json::enumerator<PromotionMode>(release, field::promotion_mode,
                                      {{"first_voice", PromotionMode::first_vote},
                                       {"by_count", PromotionMode::count},
                                       {"automatic", PromotionMode::clock}});
  settings.bake = non_negative_ms(release, field::bake_ms);
  settings.step = non_negative_ms(release, field::step_ms);
  settings.vote_lifetime = positive_ms(release, field::vote_lifetime_ms);
  settings.call_timeout = positive_ms(release, field::call_timeout_ms);
  settings.votes_per_s = non_negative(release, field::votes_per_s);
  settings.wrong_answer_report_share = non_negative(release, field::wrong_answer_report_share);
  settings.proxies = json::integer(object, field::proxies, 1);
  settings.votes_to_promote = json::integer(release, field::votes_to_promote);
  settings.votes_to_hold = json::integer(release, field::votes_to_hold);
  settings.votes_to_roll_back = json::integer(release, field::votes_to_roll_back);
  return settings;
}

int index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

}  // namespace

int ModuleSettings::request_class_index(std::string_view name) const {
  return index_of(request_class_names, name);
}

int ModuleSettings::zone_index(std::string_view name) const {
  return index_of(zone_names, name);
}

ModuleSettings decode(const Value& object) {
  ModuleSettings settings;
  const Value& release = json::nested_object(object, field::release);
  decode_request_classes(object, settings);
  decode_tenants(object, settings);
  decode_request_limits(object, settings.requests);
  settings.endpoints = decode_endpoint_settings(object);
  settings.canary_quota = decode_canary_quota(release);
  settings.analysis = decode_analysis(object, release);
  const Value& bounds = json::nested_object(object, field::bounds);
  settings.connect_timeout =
      json::duration_from_ms(json::number_or(bounds, field::connect_timeout_ms, 0));
  settings.endpoint_idle_timeout =
      json::duration_from_ms(json::number_or(bounds, field::idle_timeout_ms, 0));
  decode_zones(object, settings);
  return settings;
}

std::optional<double>* load_field(LoadReport& report, std::string_view name) {
  const std::pair<const char*, std::optional<double>*> values[] = {
      {load::in_flight, &report.in_flight},       {load::queued, &report.queued},
      {load::utilization, &report.utilization},   {load::service_ms, &report.service_ms},
      {load::served_per_s, &report.served_per_s}, {load::failed_per_s, &report.failed_per_s}};
  for (const auto& [known, value] : values)
    if (name == known)
      return value;
  return nullptr;
}

}  // namespace robinhoist::module_settings
