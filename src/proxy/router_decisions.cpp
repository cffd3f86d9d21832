// The part of Router that carries out the engine's decisions and completes attempts and requests.
#include <algorithm>
#include <utility>

#include "proxy/mode_names.h"
#include "proxy/router.h"
#include "proxy/wire_names.h"
#include "rollout/names.h"

namespace robinhoist::proxy {
// ---- Decisions of the engine

// Carrying out a decision may pass new events to the engine and call this function again. Only the
// outermost call runs the loop, until no decision is left.
void Router::run_engine() {
  if (engine_running_)
    return;
  engine_running_ = true;
  while (const auto decision = engine_.next(loop_.now()))
    carry_out(*decision);
  engine_running_ = false;
  drain_monitor_.check();
}

void Router::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      forward(decision);
      break;
    case Action::reject:
      reject(decision);
      break;
    case Action::fail:
      fail(decision);
      break;
    case Action::cancel:
      cancel(decision);
      break;
    case Action::probe:
      break;  // the router's module settings never enable health checks
    case Action::close:
      upstreams_.at(decision.endpoint).connections->close_idle();
      break;
    case Action::subscribe:
    case Action::fetch:
      endpoint_source_.refresh();
      break;
    case Action::vote:
      vote(decision);
      break;
    case Action::wake:
      schedule_engine(decision.duration);
      break;
    case Action::log:
      set_mode(decision);
      break;
  }
}

void Router::forward(const Decision& decision) {
  InFlightRequest& request = in_flight_.at(decision.request_id);
  const AttemptId id{.request_id = decision.request_id, .attempt = request.attempts.size()};
  Upstream& upstream = upstreams_.at(decision.endpoint);
  ++counters_.attempts;
  if (id.attempt > 0) {
    ++counters_.further_attempts;
    request_log_.retried(request, upstream.name, loop_.now());
  }
  ++upstream.in_flight;
  Duration timeout = std::max(Duration(1), request.deadline - loop_.now());
  if (decision.duration > Duration{})
    timeout = std::min(timeout, decision.duration);
  tracer_.attempt_started(request, upstream, timeout, loop_.now());
  auto on_end = [this, id](http::CallResult how, http::Response&& response) {
    attempt_ended(id, protocol_.classify(how, response), std::move(response));
  };
  // Headers are set when the attempt is written, as its connection may take long to be established.
  auto prepare = [this, id, write_before = decision.write_before](http::Request& forwarded,
                                                                  Duration time_left) {
    protocol_.prepare_attempt(forwarded, id.attempt, time_left);
    return write_before == TimePoint{} || loop_.now() < write_before;
  };
  const http::ConnectionPool::Id call =
      upstream.connections->call(request.forwarded, timeout, std::move(on_end), std::move(prepare));
  request.attempts.push_back(
      {.endpoint = decision.endpoint, .build = upstream.build, .call = call, .ended = false});
}

void Router::reject(const Decision& decision) {
  InFlightRequest& request = in_flight_.at(decision.request_id);
  const char* reason =
      request.attempts.empty() ? wire_names::no_capacity : rollout::api_name(request.last_outcome);
  ++counters_.rejected;
  request_log_.not_served(request, wire_names::rejected, reason, loop_.now());
  finish(request, protocol_.rejected(decision.duration, reason),
         {.outcome = wire_names::rejected, .reason = reason, .retry_after = decision.duration});
  forget_if_done(decision.request_id);
}

void Router::fail(const Decision& decision) {
  InFlightRequest& request = in_flight_.at(decision.request_id);
  const bool timed_out = request.attempts.empty() || request.last_outcome == Outcome::timeout;
  const char* reason = request.attempts.empty() ? wire_names::deadline_passed
                                                : rollout::api_name(request.last_outcome);
  ++counters_.failed;
  request_log_.not_served(request, wire_names::failed, reason, loop_.now());
  finish(request, protocol_.failed(timed_out, reason),
         {.outcome = wire_names::failed, .reason = reason});
  forget_if_done(decision.request_id);
}

void Router::cancel(const Decision& decision) {
  const AttemptId id{.request_id = decision.request_id,
                     .attempt = static_cast<std::size_t>(decision.attempt)};
  const InFlightRequest& request = in_flight_.at(id.request_id);
  const InFlightAttempt& attempt = request.attempts.at(id.attempt);
  if (attempt.ended)
    return;
  ++counters_.cancellations;
  const Upstream& upstream = upstreams_.at(attempt.endpoint);
  tracer_.attempt_cancelled(request, id.attempt, upstream, loop_.now());
  upstream.connections->cancel(attempt.call);
  loop_.in(Duration(0), [this, id] { attempt_ended(id, {Outcome::cancelled}, {}); });
}

void Router::vote(const Decision& decision) {
  ++counters_.votes;
  log_.info("vote", {{"build", log::text(decision.build)},
                     {"stage", log::text(decision.stage)},
                     {"verdict", to_string(decision.verdict)}});
  const Vote vote{.build = decision.build, .stage = decision.stage, .verdict = decision.verdict};
  release_source_.vote(vote, [this](Outcome outcome) {
    engine_.vote_answered(outcome, loop_.now());
    run_engine();
  });
}

void Router::schedule_engine(Duration delay) {
  loop_.cancel(engine_timer_);
  engine_timer_ = loop_.in(delay, [this] {
    engine_timer_ = net::Loop::no_timer;
    run_engine();
  });
}

void Router::set_mode(const Decision& decision) {
  if (decision.report)
    mode_ = api_mode(*decision.report);
  log_.info("mode", {{"is", decision.text}});
}

// ---- Ends of attempts and requests

void Router::attempt_ended(AttemptId id, const AttemptResult& result, http::Response&& response) {
  InFlightRequest* request = in_flight_.find(id.request_id);
  if (!request)
    return;
  InFlightAttempt& attempt = request->attempts[id.attempt];
  if (attempt.ended)
    return;
  attempt.ended = true;
  Upstream& upstream = upstreams_.at(attempt.endpoint);
  --upstream.in_flight;
  request->last_outcome = result.outcome;
  ++counters_.attempts_by_outcome.at(static_cast<std::size_t>(result.outcome));
  if (result.outcome != Outcome::ok)
    request_log_.attempt_failed(*request, id.attempt, upstream.name, result.outcome, loop_.now());
  const bool is_response = result.outcome == Outcome::ok && !request->answered;
  tracer_.attempt_ended(*request, id, upstream, response.status, is_response, loop_.now());
  // The engine is updated before the response is sent, so that the client's next request is decided
  // with this result.
  engine_.attempt_ended(id.request_id, static_cast<int>(id.attempt), result.outcome,
                        request->answered || is_response, result.load, loop_.now());
  if (is_response) {
    ++counters_.succeeded;
    const auto& classes = module_settings_.requests.request_classes;
    const Duration objective =
        classes[static_cast<std::size_t>(request->request_class)].latency_objective;
    const bool is_late = loop_.now() - request->received_at > objective;
    counters_.late += is_late ? 1 : 0;
    finish(*request, protocol_.succeeded(std::move(response), upstream.name, upstream.build),
           {.outcome = wire_names::succeeded, .reason = wire_names::response_received});
    withdraw_unsent_attempts(id.request_id);
  }
  forget_if_done(id.request_id);
  run_engine();
}

void Router::finish(InFlightRequest& request, http::Response response, const RequestEnd& end) {
  if (request.answered)
    return;
  in_flight_.mark_answered(request);
  if (request.trace) {
    response.headers.add("Robinhoist-Trace", request.trace->trace_id);
    RequestEnd traced_end = end;
    traced_end.status = response.status;
    tracer_.finished(request, traced_end, loop_.now());
  }
  const http::ExchangePtr exchange = std::exchange(request.exchange, nullptr);
  exchange->on_disconnect = nullptr;
  exchange->answer(std::move(response));
}

// Withdraws the attempts of a finished request that still wait for a connection.
void Router::withdraw_unsent_attempts(int request_id) {
  for (std::size_t i = 0;; ++i) {
    // The request may be forgotten when its last attempt ends.
    const InFlightRequest* request = in_flight_.find(request_id);
    if (!request || i >= request->attempts.size())
      return;
    const InFlightAttempt& attempt = request->attempts[i];
    if (!attempt.ended &&
        upstreams_.at(attempt.endpoint).connections->cancel_if_unsent(attempt.call))
      attempt_ended({.request_id = request_id, .attempt = i}, {Outcome::obsolete}, {});
  }
}

// Withdraws attempts that are not written yet and were chosen with outdated information. They are
// returned to the engine as obsolete.
void Router::recall_unsent_attempts(const std::function<bool(const InFlightAttempt&)>& outdated) {
  std::vector<AttemptId> recalled;
  for (const AttemptId& id : in_flight_.open_attempts()) {
    const InFlightAttempt& attempt = in_flight_.at(id.request_id).attempts[id.attempt];
    if (outdated(attempt) &&
        upstreams_.at(attempt.endpoint).connections->cancel_if_unsent(attempt.call))
      recalled.push_back(id);
  }
  std::sort(recalled.begin(), recalled.end());
  for (const AttemptId& id : recalled)
    attempt_ended(id, {Outcome::obsolete}, {});
}

void Router::forget_if_done(int request_id) {
  const InFlightRequest* request = in_flight_.find(request_id);
  if (request && request->answered && !engine_.has_request(request_id))
    in_flight_.forget(request_id);
}

}  // namespace robinhoist::proxy
