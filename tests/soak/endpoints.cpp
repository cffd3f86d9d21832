#include "endpoints.h"

#include <chrono>
#include <cstdlib>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

constexpr Duration dedup_window = 200ms;  // as in tests/platform/config.json

RequestKind kind_of(const std::string& target) {
  if (target == "/look")
    return RequestKind::idempotent;
  return target == "/book" ? RequestKind::idempotent_with_key : RequestKind::non_idempotent;
}

// Parses a timeout such as 1234u, in microseconds.
Duration parse_timeout(std::string_view text) {
  return Duration(std::atol(std::string(text).c_str()));
}

http::Response rejection() {
  http::Response response = http::text_response(503, "full");
  response.headers.add("Not-Started", "1");
  return response;
}

}  // namespace

Endpoints::Endpoints(net::Loop& loop, const Plan& plan, Observer& observer)
    : loop_(loop), timers_(loop), plan_(plan), observer_(observer), random_(plan.seed + 1) {
  for (const EndpointPlan& endpoint : plan.endpoints) {
    servers_.push_back(std::make_unique<http::Server>(
        loop, http::ServerSettings{},
        [this, &endpoint](const http::ExchangePtr& exchange) { handle(endpoint, exchange); }));
    observer.endpoint_started(endpoint.name, endpoint.build);
  }
}

void Endpoints::handle(const EndpointPlan& endpoint, const http::ExchangePtr& exchange) {
  const http::Headers& headers = exchange->request.headers;
  const Arrival arrival{.endpoint = endpoint.name,
                        .build = endpoint.build,
                        .request_id = std::string(headers.get("Request-Id")),
                        .key = std::string(headers.get("Idempotency-Key")),
                        .kind = kind_of(exchange->request.target),
                        .timeout = parse_timeout(headers.get("Request-Timeout"))};
  const bool rejected = chance(endpoint.reject_share);
  const long attempt_id = observer_.attempt_arrived(arrival, rejected);
  if (rejected) {
    exchange->answer(rejection());
    return;
  }
  if (chance(endpoint.hang_share)) {
    unanswered_.push_back(exchange);
    return;
  }
  const RunOutcome outcome{.has_effect = begin_effect(arrival),
                           .fails = chance(endpoint.error_share)};
  const Duration delay(std::uniform_int_distribution<std::int64_t>(
      endpoint.min_delay.count(), endpoint.max_delay.count())(random_));
  timers_.in(delay, [this, &endpoint, exchange, arrival, attempt_id, outcome] {
    run(endpoint, exchange, arrival, attempt_id, outcome);
  });
}

void Endpoints::run(const EndpointPlan& endpoint, const http::ExchangePtr& exchange,
                    const Arrival& arrival, long attempt_id, RunOutcome outcome) {
  if (outcome.has_effect && !arrival.key.empty())
    keys_[arrival.key] = loop_.now();
  observer_.attempt_ran(endpoint.name, attempt_id, outcome.has_effect ? "well" : "repeat",
                        outcome.has_effect);
  exchange->answer(outcome.fails ? http::text_response(500, "failed")
                                 : http::text_response(200, arrival.request_id));
}

// Whether a run that starts now has an effect. A request that arrives while its key is remembered,
// or while another run with the same key is in progress, is a duplicate regardless of its duration.
bool Endpoints::begin_effect(const Arrival& arrival) {
  if (arrival.kind != RequestKind::idempotent_with_key)
    return arrival.kind == RequestKind::non_idempotent;
  const auto known = keys_.find(arrival.key);
  if (known != keys_.end() && (!known->second || loop_.now() < *known->second + dedup_window))
    return false;
  keys_[arrival.key] = std::nullopt;
  return true;
}

http::Server& Endpoints::draw_server() {
  return *servers_[std::uniform_int_distribution<std::size_t>(0, servers_.size() - 1)(random_)];
}

void Endpoints::reset_some() {
  draw_server().reset_connections();
}

void Endpoints::close_some_idle() {
  draw_server().close_idle(0);
}

}  // namespace robinhoist::soak
