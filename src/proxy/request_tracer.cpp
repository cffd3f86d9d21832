#include "proxy/request_tracer.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "json/writer.h"
#include "log/logger.h"
#include "proxy/wire_names.h"
#include "rollout/names.h"
#include "time/units.h"

namespace robinhoist::proxy {
namespace {

// Names of events in stored traces; they must not change.
constexpr const char* event_accepted = "taken";
constexpr const char* event_attempt_started = "submitted";
constexpr const char* event_attempt_cancelled = "called off";
constexpr const char* event_attempt_ended = "ended";
constexpr const char* event_client_disconnected = "client left";

constexpr const char* trace_header = "traceparent";

// Five digits are precise enough for times and shares.
std::string number_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.5g", value);
  return text;
}

std::string yes_or_no(bool value) {
  return value ? "yes" : "no";
}

// Why an attempt was made: the first one, a hedge while others are in flight, or a retry.
std::string attempt_reason(const InFlightRequest& request) {
  if (request.attempts.empty())
    return "first";
  const bool is_hedge = std::any_of(request.attempts.begin(), request.attempts.end(),
                                    [](const InFlightAttempt& attempt) { return !attempt.ended; });
  if (is_hedge)
    return "second copy";
  return std::string("again after ") + rollout::api_name(request.last_outcome);
}

}  // namespace

RequestTracer::RequestTracer(std::string proxy_name, const tracing::Settings& settings,
                             unsigned seed, WallTime wall_start,
                             const module_settings::ModuleSettings& module_settings)
    : proxy_name_(std::move(proxy_name)),
      wall_start_(wall_start),
      module_settings_(module_settings),
      traces_(settings, seed) {}

void RequestTracer::accepted(InFlightRequest& request, const RequestInfo& info,
                             std::string_view idempotency_key, const ArrivalContext& context) {
  if (!traces_.enabled())
    return;
  http::Headers& headers = request.forwarded.headers;
  const auto parent = tracing::parse_traceparent(headers.get(trace_header));
  const std::string name = proxy_name_ + "." + std::to_string(info.request_id);
  request.trace = traces_.begin(name, parent, request.exchange->received_at);
  if (!request.trace)
    return;
  headers.set(trace_header,
              tracing::format_traceparent({request.trace->trace_id, request.trace->span_id, true}));
  const auto& tenants = module_settings_.tenant_names;
  request.trace->add(
      context.now, event_accepted,
      {{"method", request.forwarded.method},
       {"path", std::string(request.forwarded.path())},
       {"product",
        module_settings_.request_class_names[static_cast<std::size_t>(info.request_class)]},
       {"tenant", tenants.empty() ? "" : tenants[static_cast<std::size_t>(info.tenant)]},
       {"key", std::string(idempotency_key)},
       {"parent", parent ? parent->span_id : ""},
       {"expires_in_ms", number_text(to_millis(info.deadline - context.now))},
       {"told_build", log::text(release_.build)},
       {"told_wave", log::text(release_.stage)},
       {"told_phase", rollout::api_name(release_.phase)},
       {"told_cap", number_text(release_.cap)},
       {"mode", context.mode},
       {"open", log::text(context.unanswered)}});
}

void RequestTracer::attempt_started(const InFlightRequest& request, const Upstream& upstream,
                                    Duration timeout, TimePoint now) const {
  if (!request.trace)
    return;
  const bool is_canary = upstream.build == release_.build && release_.phase == ReleasePhase::canary;
  request.trace->add(now, event_attempt_started,
                     {{wire_names::attempt, log::text(request.attempts.size())},
                      {wire_names::endpoint, upstream.name},
                      {"build", log::text(upstream.build)},
                      {"why", attempt_reason(request)},
                      {"on_trial", yes_or_no(is_canary)},
                      {"cap", number_text(release_.cap)},
                      {"out_at_node", log::text(upstream.in_flight)},
                      {"within_ms", number_text(to_millis(timeout))}});
}

void RequestTracer::attempt_cancelled(const InFlightRequest& request, std::size_t attempt,
                                      const Upstream& upstream, TimePoint now) const {
  if (request.trace)
    request.trace->add(
        now, event_attempt_cancelled,
        {{wire_names::attempt, log::text(attempt)}, {wire_names::endpoint, upstream.name}});
}

void RequestTracer::attempt_ended(const InFlightRequest& request, AttemptId id,
                                  const Upstream& upstream, int status, bool used,
                                  TimePoint now) const {
  if (request.trace)
    request.trace->add(now, event_attempt_ended,
                       {{wire_names::attempt, log::text(id.attempt)},
                        {wire_names::endpoint, upstream.name},
                        {"build", log::text(upstream.build)},
                        {"outcome", rollout::api_name(request.last_outcome)},
                        {"status", log::text(status)},
                        {"used", yes_or_no(used)}});
}

void RequestTracer::client_disconnected(const InFlightRequest& request, TimePoint now) const {
  if (!request.trace)
    return;
  request.trace->add(now, event_client_disconnected, {});
  request.trace->outcome = wire_names::client_disconnected;
}

void RequestTracer::finished(const InFlightRequest& request, const RequestEnd& end,
                             TimePoint now) const {
  if (!request.trace)
    return;
  const bool has_retry_after = end.retry_after > Duration{};
  request.trace->add(
      now, end.outcome,
      {{"why", end.reason},
       {"status", log::text(end.status)},
       {"retry_after_ms", has_retry_after ? log::text(end.retry_after.count() / 1000) : ""},
       {wire_names::attempts, log::text(request.attempts.size())}});
  request.trace->outcome = end.outcome;
}

std::string RequestTracer::json(const tracing::Trace& trace) const {
  const WallTime began = wall_start_ + trace.began.time_since_epoch();
  json::Writer out;
  out.begin_object();
  out.put(wire_names::proxy, proxy_name_);
  out.put(wire_names::request, trace.request_name);
  out.put("trace", trace.trace_id);
  out.put("span", trace.span_id);
  out.put("outcome", trace.outcome.empty() ? "open" : trace.outcome);
  out.put("began_ms", static_cast<long>(began.time_since_epoch().count() / 1000));
  out.put("events_dropped", trace.dropped());
  out.begin_array("events");
  for (const tracing::Event& event : trace.events()) {
    out.begin_object();
    out.put_ms("at_ms", event.at);
    out.put("is", event.name);
    for (const tracing::Attribute& attribute : event.attributes)
      if (!attribute.value.empty())
        out.put(attribute.name.c_str(), attribute.value);
    out.end_object();
  }
  out.end_array();
  out.end_object();
  return out.text();
}

std::string RequestTracer::json(const std::string& id) const {
  const tracing::TracePtr trace = traces_.find(id);
  return trace ? json(*trace) : "";
}

std::string RequestTracer::all_json() const {
  std::string lines;
  for (const tracing::TracePtr& trace : traces_.all())
    lines += json(*trace) + "\n";
  return lines;
}

}  // namespace robinhoist::proxy
