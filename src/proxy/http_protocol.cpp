#include "proxy/http_protocol.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist::proxy {
namespace {

double number(std::string_view text, double absent) {
  if (text.empty())
    return absent;
  return settings::parse_number(std::string(text)).value_or(std::nan(""));
}

// Endpoint's load from the header that proxies of the field use (Open Request Cost Aggregation,
// text form).
LoadReport load_of(std::string_view header) {
  LoadReport load;
  if (header.substr(0, 5) != "TEXT ")
    return load;
  header.remove_prefix(5);
  while (!header.empty()) {
    std::size_t end = std::min(header.find(','), header.size());
    std::string_view pair = header.substr(0, end);
    header.remove_prefix(std::min(end + 1, header.size()));
    while (!pair.empty() && pair.front() == ' ')
      pair.remove_prefix(1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      continue;
    auto value = settings::parse_number(std::string(pair.substr(equals + 1)));
    if (!value || *value < 0)
      continue;
    std::string_view name = pair.substr(0, equals);
    if (name == "cpu_utilization")
      load.utilization = value;
    else if (name == "named_metrics.held")
      load.in_flight = value;
    else if (name == "named_metrics.waiting")
      load.queued = value;
    else if (name == "rps_fractional")
      load.served_per_s = value;
    else if (name == "eps")
      load.failed_per_s = value;
  }
  return load;
}

http::Response worded(http::Response&& response, const char* outcome, const std::string& why) {
  response.headers.add("Robinhoist-Outcome", outcome);
  if (!why.empty())
    response.headers.add("Robinhoist-Why", why);
  return std::move(response);
}

}  // namespace

ParsedRequest HttpProtocol::read(http::Exchange& exchange, int request_id) const {
  const http::Request& request = exchange.request;
  const deployment::Deployment& all = settings_.deployment;
  const HeaderNames& names = settings_.headers;
  ParsedRequest parsed;
  auto refuse = [&](int status, const std::string& why) {
    parsed.rejection = Rejection{status, why};
    return std::move(parsed);
  };
  const int p = all.match_request_class(request.method, request.path());
  if (p < 0)
    return refuse(404, "no product takes " + request.method + " " + std::string(request.path()));
  const RequestClass& request_class = all.request_classes[p].request_class;
  RequestInfo& info = parsed.info;
  info.request_id = request_id;
  info.request_class = p;
  if (!all.tenants.empty()) {
    info.tenant = all.tenant(request.headers.get(names.tenant));
    if (info.tenant < 0)
      return refuse(400, "header " + names.tenant + " names no known tenant");
  }
  parsed.mark = request.headers.get(names.key);
  // Without its key no endpoint could tell a repeat of it.
  if (request_class.idempotency == Idempotency::idempotent_with_key && parsed.mark.empty())
    return refuse(400, "product " + all.request_classes[p].name + " needs the header " + names.key);
  std::string_view routing = request.headers.get(names.routing_key);
  info.key = routing.empty() ? parsed.mark : routing;
  const double most_ms = to_millis(request_class.deadline);
  const double remaining = number(request.headers.get(names.remaining), most_ms);
  if (!(remaining > 0))
    return refuse(400, "header " + names.remaining + " is not a number above 0");
  info.cost_hint_ms = number(request.headers.get(names.cost), 0);
  if (!(info.cost_hint_ms >= 0))
    return refuse(400, "header " + names.cost + " is not a number from 0");
  info.is_retry = request.headers.has(names.repeat);
  info.deadline = exchange.at + from_millis(std::min(remaining, most_ms)) - settings_.reserve;
  parsed.onward.method = request.method;
  parsed.onward.target = request.target;
  http::copy_end_to_end(request.headers, parsed.onward.headers);
  parsed.onward.headers.set("Robinhoist-Txn",
                            settings_.name + "." + std::to_string(info.request_id));
  parsed.onward.body = std::move(exchange.request.body);
  return parsed;
}

void HttpProtocol::prepare_attempt(http::Request& onward, std::size_t number, Duration) const {
  onward.headers.set("Robinhoist-Submission", std::to_string(number));
}

AttemptResult HttpProtocol::classify(http::CallResult how, const http::Response& response) const {
  const Outcome answered =
      response.status < 500 ? Outcome::ok
      : response.status == 503 && response.headers.has(settings_.headers.not_run)
          ? Outcome::rejected
          : Outcome::error;
  return {outcome_of(how, answered), load_of(response.headers.get("endpoint-load-metrics"))};
}

http::Response HttpProtocol::rejected_before_routing(const Rejection& rejection) const {
  return worded(http::text_response(rejection.status, rejection.why + "\n"), "not-taken", "");
}

http::Response HttpProtocol::succeeded(http::Response&& from, const std::string& endpoint,
                                       int build) const {
  http::Response passed;
  passed.status = from.status;
  http::copy_end_to_end(from.headers, passed.headers);
  passed.headers.add("Robinhoist-Node", endpoint);
  passed.headers.add("Robinhoist-Build", std::to_string(build));
  passed.body = std::move(from.body);
  return worded(std::move(passed), "settled", "answered");
}

http::Response HttpProtocol::rejected(Duration pause, const std::string& why) const {
  http::Response response = http::text_response(503, "declined: it is safe to try again\n");
  if (pause > Duration{}) {
    response.headers.add("Retry-After",
                         std::to_string(static_cast<long>(std::ceil(to_seconds(pause)))));
    response.headers.add("Robinhoist-Retry-After-Ms",
                         std::to_string(static_cast<long>(to_millis(pause))));
  }
  return worded(std::move(response), "declined", why);
}

http::Response HttpProtocol::failed(bool late, const std::string& why) const {
  return worded(
      http::text_response(late ? 504 : 502, "voided: it may or may not have been carried out\n"),
      "voided", why);
}

}  // namespace robinhoist::proxy
