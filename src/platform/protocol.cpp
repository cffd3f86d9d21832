#include "platform/protocol.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "policy/statistics.h"
#include "settings/sexp_reader.h"

namespace robinhoist::platform {
namespace {

constexpr std::string_view id_header = "Request-Id", time_header = "Request-Timeout",
                           mark_header = "Idempotency-Key", repeat_header = "Client-Retry",
                           info_header = "Request-Info", load_header = "Server-Load",
                           not_run_header = "Not-Started";
constexpr std::size_t longest_id = 256;

// The header's value where it comes just once: of two nobody can tell which one the endpoint goes
// by.
std::optional<std::string_view> only(const http::Headers& headers, std::string_view name) {
  std::optional<std::string_view> found;
  for (auto& [key, value] : headers.all())
    if (http::equals_ignoring_case(key, name)) {
      if (found)
        return {};
      found = value;
    }
  return found;
}

// A number and its unit: 480m is 480 milliseconds, 480u microseconds.
std::optional<double> time_ms(std::string_view text) {
  if (text.size() < 2)
    return {};
  const char unit = text.back();
  const auto value = settings::parse_number(std::string(text.substr(0, text.size() - 1)));
  if (!value || (unit != 'm' && unit != 'u'))
    return {};
  return unit == 'm' ? *value : *value / 1000;
}

// name=value,name=value; nothing if any of it can't be read.
std::optional<std::vector<std::pair<std::string, double>>> figures_of(std::string_view text) {
  std::vector<std::pair<std::string, double>> figures;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view pair = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (!pair.empty() && pair.front() == ' ')
      pair.remove_prefix(1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0)
      return {};
    const auto value = settings::parse_number(std::string(pair.substr(equals + 1)));
    if (!value)
      return {};
    figures.emplace_back(pair.substr(0, equals), *value);
  }
  return figures;
}

bool graphic(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

}  // namespace

std::optional<http::Response> PlatformProtocol::admin_response(const http::Request& request,
                                                               bool routes) const {
  if (request.path() != "/up")
    return {};
  if (request.method != "GET")
    return http::text_response(405, "ask by GET\n");
  return routes ? http::text_response(200, "routes\n")
                : http::text_response(503, "knows no nodes yet\n");
}

proxy::ParsedRequest PlatformProtocol::read(http::Exchange& exchange, int request_id) const {
  http::Request& request = exchange.request;
  proxy::ParsedRequest parsed;
  auto refuse = [&](int status, const std::string& why) {
    parsed.rejection = proxy::Rejection{status, why};
    return std::move(parsed);
  };
  std::string_view path = request.path();
  if (path.empty() || path.front() != '/')
    return refuse(400, "the target is no path");
  path.remove_prefix(1);
  const int p = module_settings_.request_class(path.substr(0, path.find('/')));
  if (p < 0)
    return refuse(404, "no product of that name");
  const RequestClass& request_class = module_settings_.requests.request_classes[p];
  if (request.method != (request_class.idempotency == Idempotency::idempotent ? "GET" : "POST"))
    return refuse(405, "the product does not go by that method");
  if (request.method == "GET" && !request.body.empty())
    return refuse(400, "a GET has no body");
  const auto id = only(request.headers, id_header);
  if (!id || id->empty() || id->size() > longest_id || !graphic(*id))
    return refuse(400, "needs one Request-Id");
  const auto time = only(request.headers, time_header);
  const auto remaining = time ? time_ms(*time) : std::nullopt;
  if (!remaining || !(*remaining > 0))
    return refuse(400, "needs one Request-Timeout such as 480m");
  const auto mark = only(request.headers, mark_header);
  if (mark ? mark->empty() || !graphic(*mark) || mark->size() > longest_id
           : request_class.idempotency == Idempotency::idempotent_with_key ||
                 request.headers.has(mark_header))
    return refuse(400, "needs one Idempotency-Key");
  RequestInfo& info = parsed.info;
  info.request_id = request_id;
  info.request_class = p;
  if (request.headers.has(info_header))
    if (const auto metrics = figures_of(request.headers.get(info_header)))
      for (auto& [name, value] : *metrics) {
        if (name == "work_hint_ms" && value > 0)
          info.cost_hint_ms = value;
        if (name == "org" && value >= 0 &&
            value < static_cast<double>(module_settings_.tenants.size()))
          info.tenant = static_cast<int>(value);
      }
  info.is_retry = request.headers.get(repeat_header) == "1";
  // One tick is kept back for the answer's way.
  info.deadline = exchange.at +
                  from_millis(std::min(*remaining, to_millis(request_class.deadline))) -
                  module_settings_.requests.tick;
  parsed.id = *id;
  parsed.onward.method = request.method;
  parsed.onward.target = std::move(request.target);
  http::copy_end_to_end(request.headers, parsed.onward.headers);
  parsed.onward.body = std::move(request.body);
  return parsed;
}

void PlatformProtocol::prepare_attempt(http::Request& onward, std::size_t, Duration within) const {
  onward.headers.set(time_header, std::to_string(std::max<long>(1, within.count())) + "u");
}

proxy::AttemptResult PlatformProtocol::classify(http::CallResult how,
                                                const http::Response& response) const {
  const bool turned_away = (response.status == 503 || response.status == 504) &&
                           response.headers.get(not_run_header) == "1";
  const Outcome answered = response.status == 200 && !response.body.empty() ? Outcome::ok
                           : turned_away                                    ? Outcome::rejected
                                                                            : Outcome::error;
  proxy::AttemptResult classify{proxy::outcome_of(how, answered)};
  if (module_settings_.endpoints.reports == LoadReportSource::none)
    return classify;
  if (const auto load = figures_of(response.headers.get(load_header)))
    for (auto& [name, value] : *load)
      if (auto* place = module_settings::load_field(classify.load, name); place && value >= 0)
        *place = value;
  return classify;
}

http::Response PlatformProtocol::rejected_before_routing(const proxy::Rejection& rejection) const {
  http::Response response = http::text_response(rejection.status, rejection.why + "\n");
  response.keep_alive = false;
  return response;
}

http::Response PlatformProtocol::succeeded(http::Response&& from, const std::string&, int) const {
  http::Response passed;
  http::Headers headers;
  http::copy_end_to_end(from.headers, headers);
  for (auto& [name, value] : headers.all())
    if (!http::equals_ignoring_case(name, load_header))
      passed.headers.add(name, value);
  passed.body = std::move(from.body);
  return passed;
}

http::Response PlatformProtocol::rejected(Duration pause, const std::string& why) const {
  http::Response response =
      http::text_response(503, "declined, it is safe to try again: " + why + "\n");
  if (pause > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", to_seconds(pause));
    response.headers.add("Retry-After", text);
  }
  return response;
}

http::Response PlatformProtocol::failed(bool late, const std::string& why) const {
  return http::text_response(late ? 504 : 502,
                             "voided, it may have been carried out: " + why + "\n");
}

}  // namespace robinhoist::platform
