#include "platform/protocol.h"

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <utility>
#include <vector>

#include "http/request_rules.h"
#include "platform/wire_names.h"
#include "settings/sexp_reader.h"
#include "time/units.h"

namespace robinhoist::platform {
namespace {

constexpr std::size_t max_id_length = 256;

// The header's value if it occurs exactly once. With two values, it is unknown which one an
// endpoint would use.
std::optional<std::string_view> single_value(const http::Headers& headers, std::string_view name) {
  std::optional<std::string_view> found;
  for (const auto& [key, value] : headers.all()) {
    if (!http::equals_ignoring_case(key, name))
      continue;
    if (found)
      return {};
    found = value;
  }
  return found;
}

// Parses a number with a unit: 480m is 480 milliseconds, 480u is 480 microseconds.
std::optional<double> parse_time_ms(std::string_view text) {
  if (text.size() < 2)
    return {};
  const char unit = text.back();
  const auto value = settings::parse_number(std::string(text.substr(0, text.size() - 1)));
  if (!value || (unit != 'm' && unit != 'u'))
    return {};
  return unit == 'm' ? *value : *value / 1000;
}

struct Metric {
  std::string name;
  double value;
};

// Parses name=value,name=value. Returns nothing if any part is malformed.
std::optional<std::vector<Metric>> parse_metrics(std::string_view text) {
  std::vector<Metric> metrics;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (!item.empty() && item.front() == ' ')
      item.remove_prefix(1);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos || equals == 0)
      return {};
    const auto value = settings::parse_number(std::string(item.substr(equals + 1)));
    if (!value)
      return {};
    metrics.push_back({std::string(item.substr(0, equals)), *value});
  }
  return metrics;
}

// Whether all characters are printable and none is blank.
bool is_graphic(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool is_valid_id(const std::optional<std::string_view>& id) {
  return id && !id->empty() && id->size() <= max_id_length && is_graphic(*id);
}

// An idempotency key has to be valid if present; it may be absent unless the request class requires
// one.
bool is_valid_key(const http::Headers& headers, Idempotency idempotency) {
  if (headers.has(wire_names::idempotency_key))
    return is_valid_id(single_value(headers, wire_names::idempotency_key));
  return idempotency != Idempotency::idempotent_with_key;
}

}  // namespace

std::optional<http::Response> PlatformProtocol::admin_response(const http::Request& request,
                                                               bool ready) const {
  if (request.path() != wire_names::readiness_path)
    return {};
  if (request.method != "GET")
    return http::text_response(405, "ask by GET\n");
  return ready ? http::text_response(200, "routes\n")
               : http::text_response(503, "knows no nodes yet\n");
}

proxy::ParsedRequest PlatformProtocol::read(http::Exchange& exchange, int request_id) const {
  http::Request& request = exchange.request;
  proxy::ParsedRequest parsed;
  parsed.info.request_id = request_id;
  parsed.rejection = read_class(request, parsed.info);
  if (!parsed.rejection)
    parsed.rejection = read_headers(exchange, parsed);
  if (parsed.rejection)
    return parsed;
  read_hints(request.headers.get(wire_names::request_info), parsed.info);
  parsed.forwarded.method = request.method;
  parsed.forwarded.target = std::move(request.target);
  http::copy_end_to_end_headers(request.headers, parsed.forwarded.headers);
  parsed.forwarded.body = std::move(request.body);
  return parsed;
}

const RequestClass& PlatformProtocol::class_of(const RequestInfo& info) const {
  return module_settings_.requests.request_classes[static_cast<std::size_t>(info.request_class)];
}

std::optional<proxy::Rejection> PlatformProtocol::read_class(const http::Request& request,
                                                             RequestInfo& info) const {
  if (request.version != http::http_1_1)
    return proxy::Rejection{505, "clients speak HTTP/1.1"};
  std::string_view path = request.path();
  if (path.empty() || path.front() != '/')
    return proxy::Rejection{400, "the target is no path"};
  path.remove_prefix(1);
  info.request_class = module_settings_.request_class_index(path.substr(0, path.find('/')));
  if (info.request_class < 0)
    return proxy::Rejection{404, "no product of that name"};
  const bool is_read = class_of(info).idempotency == Idempotency::idempotent;
  if (request.method != (is_read ? "GET" : "POST"))
    return proxy::Rejection{405, "the product does not go by that method"};
  if (request.method == "GET" && !request.body.empty())
    return proxy::Rejection{400, "a GET has no body"};
  return {};
}

std::optional<proxy::Rejection> PlatformProtocol::read_headers(const http::Exchange& exchange,
                                                               proxy::ParsedRequest& parsed) const {
  const http::Headers& headers = exchange.request.headers;
  const RequestClass& request_class = class_of(parsed.info);
  if (const auto error = http::check_host_present(exchange.request))
    return proxy::Rejection{error->status, error->reason};
  const auto misplaced = http::check_header_placement(
      exchange.request,
      {wire_names::request_id, wire_names::request_timeout, wire_names::idempotency_key,
       wire_names::client_retry, wire_names::request_info});
  if (misplaced)
    return proxy::Rejection{misplaced->status, misplaced->reason};
  const auto id = single_value(headers, wire_names::request_id);
  if (!is_valid_id(id))
    return proxy::Rejection{400, "needs one Request-Id"};
  parsed.client_id = *id;
  const auto timeout = single_value(headers, wire_names::request_timeout);
  const auto timeout_ms = timeout ? parse_time_ms(*timeout) : std::nullopt;
  if (!timeout_ms || !(*timeout_ms > 0))
    return proxy::Rejection{400, "needs one Request-Timeout such as 480m"};
  if (!is_valid_key(headers, request_class.idempotency))
    return proxy::Rejection{400, "needs one Idempotency-Key"};
  const double time_left_ms = std::min(*timeout_ms, to_millis(request_class.deadline));
  // One tick is reserved for sending the response to the client.
  parsed.info.deadline =
      exchange.received_at + from_millis(time_left_ms) - module_settings_.requests.tick;
  parsed.info.is_retry = headers.get(wire_names::client_retry) == "1";
  return {};
}

// Hints are optional: invalid ones are ignored.
void PlatformProtocol::read_hints(std::string_view header, RequestInfo& info) const {
  const auto metrics = parse_metrics(header);
  if (!metrics)
    return;
  const auto tenants = static_cast<double>(module_settings_.tenant_names.size());
  for (const Metric& metric : *metrics) {
    if (metric.name == wire_names::cost_hint_ms && metric.value > 0)
      info.cost_hint_ms = metric.value;
    if (metric.name == wire_names::tenant && metric.value >= 0 && metric.value < tenants)
      info.tenant = static_cast<int>(metric.value);
  }
}

void PlatformProtocol::prepare_attempt(http::Request& forwarded, std::size_t,
                                       Duration timeout) const {
  const long microseconds = std::max<long>(1, timeout.count());
  forwarded.headers.set(wire_names::request_timeout, std::to_string(microseconds) + "u");
}

proxy::AttemptResult PlatformProtocol::classify(http::CallResult how,
                                                const http::Response& response) const {
  const bool not_started = (response.status == 503 || response.status == 504) &&
                           response.headers.get(wire_names::not_started) == "1";
  const bool succeeded = response.status == 200 && !response.body.empty();
  const Outcome unsuccessful = not_started ? Outcome::rejected : Outcome::error;
  proxy::AttemptResult result{.outcome =
                                  proxy::outcome_of(how, succeeded ? Outcome::ok : unsuccessful)};
  if (module_settings_.endpoints.load_report_source == LoadReportSource::none)
    return result;
  const auto metrics = parse_metrics(response.headers.get(wire_names::server_load));
  if (!metrics)
    return result;
  for (const Metric& metric : *metrics) {
    auto* field = module_settings::load_field(result.load, metric.name);
    if (field && metric.value >= 0)
      *field = metric.value;
  }
  return result;
}

http::Response PlatformProtocol::rejected_before_routing(const proxy::Rejection& rejection) const {
  http::Response response = http::text_response(rejection.status, rejection.reason + "\n");
  response.keep_alive = false;
  return response;
}

http::Response PlatformProtocol::succeeded(http::Response&& from, const std::string&, int) const {
  http::Headers end_to_end;
  http::copy_end_to_end_headers(from.headers, end_to_end);
  http::Response response;
  for (const auto& [name, value] : end_to_end.all())
    if (!http::equals_ignoring_case(name, wire_names::server_load))
      response.headers.add(name, value);
  response.body = std::move(from.body);
  return response;
}

http::Response PlatformProtocol::rejected(Duration retry_after, const std::string& reason) const {
  http::Response response =
      http::text_response(503, "declined, it is safe to try again: " + reason + "\n");
  if (retry_after > Duration{}) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", to_seconds(retry_after));
    response.headers.add(wire_names::retry_after, seconds);
  }
  return response;
}

http::Response PlatformProtocol::failed(bool timed_out, const std::string& reason) const {
  const int status = timed_out ? 504 : 502;
  return http::text_response(status, "voided, it may have been carried out: " + reason + "\n");
}

}  // namespace robinhoist::platform
