#include "proxy/http_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "http/request_rules.h"
#include "proxy/wire_names.h"
#include "time/units.h"

namespace robinhoist::proxy {
namespace {

constexpr const char* outcome_header = "Robinhoist-Outcome";
constexpr const char* reason_header = "Robinhoist-Why";
constexpr const char* request_header = "Robinhoist-Txn";
constexpr const char* attempt_header = "Robinhoist-Submission";
constexpr const char* endpoint_header = "Robinhoist-Node";
constexpr const char* build_header = "Robinhoist-Build";
constexpr const char* retry_after_header = "Retry-After";
constexpr const char* retry_after_ms_header = "Robinhoist-Retry-After-Ms";
constexpr const char* load_header = "endpoint-load-metrics";
constexpr std::string_view load_text_prefix = "TEXT ";

// NaN if the text is not a number, `absent` if it is empty.
double number_or(std::string_view text, double absent) {
  if (text.empty())
    return absent;
  return settings::parse_number(std::string(text)).value_or(std::nan(""));
}

// The field of the load report for a metric, or null if the metric is not used.
std::optional<double>* load_metric(LoadReport& load, std::string_view name) {
  if (name == "cpu_utilization")
    return &load.utilization;
  if (name == "named_metrics.held")
    return &load.in_flight;
  if (name == "named_metrics.waiting")
    return &load.queued;
  if (name == "rps_fractional")
    return &load.served_per_s;
  if (name == "eps")
    return &load.failed_per_s;
  return nullptr;
}

// Removes the part up to the next comma from the front of the text and returns it without leading
// blanks.
std::string_view next_item(std::string_view& text) {
  const std::size_t end = std::min(text.find(','), text.size());
  std::string_view item = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  while (!item.empty() && item.front() == ' ')
    item.remove_prefix(1);
  return item;
}

// Unknown metrics and invalid values are skipped.
LoadReport parse_load(std::string_view header) {
  LoadReport load;
  if (!header.starts_with(load_text_prefix))
    return load;
  header.remove_prefix(load_text_prefix.size());
  while (!header.empty()) {
    const std::string_view item = next_item(header);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos)
      continue;
    const auto value = settings::parse_number(std::string(item.substr(equals + 1)));
    if (!value || *value < 0)
      continue;
    if (auto* metric = load_metric(load, item.substr(0, equals)))
      *metric = value;
  }
  return load;
}

http::Response with_outcome(http::Response&& response, const char* outcome,
                            const std::string& reason) {
  response.headers.add(outcome_header, outcome);
  if (!reason.empty())
    response.headers.add(reason_header, reason);
  return std::move(response);
}

}  // namespace

ParsedRequest HttpProtocol::read(http::Exchange& exchange, int request_id) const {
  const http::Request& request = exchange.request;
  ParsedRequest parsed;
  parsed.info.request_id = request_id;
  parsed.rejection = read_identity(request, parsed);
  if (!parsed.rejection)
    parsed.rejection = read_hints(exchange, parsed);
  if (parsed.rejection)
    return parsed;
  parsed.forwarded.method = request.method;
  parsed.forwarded.target = request.target;
  http::copy_end_to_end_headers(request.headers, parsed.forwarded.headers);
  parsed.forwarded.headers.set(request_header, settings_.name + "." + std::to_string(request_id));
  parsed.forwarded.body = std::move(exchange.request.body);
  return parsed;
}

// Reads the request class, the tenant, and the idempotency and routing keys.
std::optional<Rejection> HttpProtocol::read_identity(const http::Request& request,
                                                     ParsedRequest& parsed) const {
  const deployment::Deployment& deployment = settings_.deployment;
  const HeaderNames& names = settings_.headers;
  RequestInfo& info = parsed.info;
  if (const auto error = http::check_host_present(request))
    return Rejection{error->status, error->reason};
  const auto misplaced =
      http::check_header_placement(request, {names.tenant, names.idempotency_key, names.routing_key,
                                             names.remaining_time, names.cost_hint, names.retry});
  if (misplaced)
    return Rejection{misplaced->status, misplaced->reason};
  info.request_class = deployment.match_request_class(request.method, request.path());
  if (info.request_class < 0)
    return Rejection{404, "no product takes " + request.method + " " + std::string(request.path())};
  if (!deployment.tenants.empty()) {
    info.tenant = deployment.tenant_index(request.headers.get(names.tenant));
    if (info.tenant < 0)
      return Rejection{400, "header " + names.tenant + " names no known tenant"};
  }
  const auto& named_class =
      deployment.request_classes[static_cast<std::size_t>(info.request_class)];
  parsed.idempotency_key = request.headers.get(names.idempotency_key);
  // Endpoints recognize a retry of such a request by its key.
  const bool needs_key = named_class.request_class.idempotency == Idempotency::idempotent_with_key;
  if (needs_key && parsed.idempotency_key.empty())
    return Rejection{400,
                     "product " + named_class.name + " needs the header " + names.idempotency_key};
  const std::string_view routing_key = request.headers.get(names.routing_key);
  info.key = routing_key.empty() ? parsed.idempotency_key : routing_key;
  return {};
}

// Reads the remaining time, the expected cost, and whether this is a retry by the client.
std::optional<Rejection> HttpProtocol::read_hints(const http::Exchange& exchange,
                                                  ParsedRequest& parsed) const {
  const http::Headers& headers = exchange.request.headers;
  const HeaderNames& names = settings_.headers;
  RequestInfo& info = parsed.info;
  const auto& named_class =
      settings_.deployment.request_classes[static_cast<std::size_t>(info.request_class)];
  const double max_ms = to_millis(named_class.request_class.deadline);
  const double remaining_ms = number_or(headers.get(names.remaining_time), max_ms);
  if (!(remaining_ms > 0))
    return Rejection{400, "header " + names.remaining_time + " is not a number above 0"};
  info.cost_hint_ms = number_or(headers.get(names.cost_hint), 0);
  if (!(info.cost_hint_ms >= 0))
    return Rejection{400, "header " + names.cost_hint + " is not a number from 0"};
  info.is_retry = headers.has(names.retry);
  info.deadline = exchange.received_at + from_millis(std::min(remaining_ms, max_ms)) -
                  settings_.response_reserve;
  return {};
}

void HttpProtocol::prepare_attempt(http::Request& forwarded, std::size_t attempt, Duration) const {
  forwarded.headers.set(attempt_header, std::to_string(attempt));
}

AttemptResult HttpProtocol::classify(http::CallResult how, const http::Response& response) const {
  const bool proves_not_run =
      response.status == 503 && response.headers.has(settings_.headers.not_run);
  const Outcome server_error = proves_not_run ? Outcome::rejected : Outcome::error;
  const Outcome response_outcome = response.status < 500 ? Outcome::ok : server_error;
  return {.outcome = outcome_of(how, response_outcome),
          .load = parse_load(response.headers.get(load_header))};
}

http::Response HttpProtocol::rejected_before_routing(const Rejection& rejection) const {
  return with_outcome(http::text_response(rejection.status, rejection.reason + "\n"),
                      wire_names::rejected_before_routing, "");
}

http::Response HttpProtocol::succeeded(http::Response&& from, const std::string& endpoint,
                                       int build) const {
  http::Response response;
  response.status = from.status;
  http::copy_end_to_end_headers(from.headers, response.headers);
  response.headers.add(endpoint_header, endpoint);
  response.headers.add(build_header, std::to_string(build));
  response.body = std::move(from.body);
  return with_outcome(std::move(response), wire_names::succeeded, wire_names::response_received);
}

http::Response HttpProtocol::rejected(Duration retry_after, const std::string& reason) const {
  http::Response response = http::text_response(503, "declined: it is safe to try again\n");
  if (retry_after > Duration{}) {
    const auto whole_seconds = static_cast<long>(std::ceil(to_seconds(retry_after)));
    const auto whole_ms = static_cast<long>(to_millis(retry_after));
    response.headers.add(retry_after_header, std::to_string(whole_seconds));
    response.headers.add(retry_after_ms_header, std::to_string(whole_ms));
  }
  return with_outcome(std::move(response), wire_names::rejected, reason);
}

http::Response HttpProtocol::failed(bool timed_out, const std::string& reason) const {
  const int status = timed_out ? 504 : 502;
  return with_outcome(
      http::text_response(status, "voided: it may or may not have been carried out\n"),
      wire_names::failed, reason);
}

}  // namespace robinhoist::proxy
