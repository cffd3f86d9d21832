#include "emulator/simulated_clients.h"

#include <algorithm>
#include <vector>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {

// Time until a client's connection to a proxy that is down is refused.
constexpr Duration refusal_time = std::chrono::milliseconds(1);

}  // namespace

SimulatedClients::SimulatedClients(Simulation& simulation, Fleet& fleet, long seed)
    : simulation_(simulation),
      fleet_(fleet),
      load_(simulation.day.load, static_cast<unsigned>(seed * 2 + 101)) {}

void SimulatedClients::send_due() {
  simulation_.engine.cancel(load_timer_);
  while (const auto attempt = load_.next(simulation_.load_time()))
    send(*attempt);
  if (const auto next = load_.next_at())
    load_timer_ = simulation_.engine.at(simulation_.engine_time(*next), [this] { send_due(); });
}

void SimulatedClients::send(const load::ClientAttempt& attempt) {
  Summary& summary = simulation_.summary;
  Engine& engine = simulation_.engine;
  const day::Scenario& day = simulation_.day;
  ++summary.client_attempts;
  if (attempt.number == 0) {
    ++summary.requested;
    summary.weight_offered +=
        day.deployment.request_classes[attempt.request_class].request_class.priority_weight;
  }
  const std::int64_t id = attempt.id;
  OpenRequest& open = open_[id];
  open.attempt = attempt;
  const SimulatedProxy& proxy = *simulation_.proxies[attempt.proxy];
  open.incarnation = proxy.incarnation();
  if (!proxy.up()) {
    engine.in(refusal_time,
              [this, id] { end_without_response(id, load::ClientResult::unreached); });
    return;
  }
  const TimePoint deadline = simulation_.engine_time(attempt.deadline);
  open.timeout_timer = engine.at(deadline + 2 * day.answer_slack, [this, id] { time_out(id); });
  if (attempt.disconnects_at > TimePoint{})
    open.disconnect_timer =
        engine.at(simulation_.engine_time(attempt.disconnects_at), [this, id] { disconnect(id); });
  engine.in(simulation_.network.sample_delay(), [this, id] { arrive(id); });
}

// The request reaches its proxy.
void SimulatedClients::arrive(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const OpenRequest& open = found->second;
  SimulatedProxy& proxy = *simulation_.proxies[open.attempt.proxy];
  if (!proxy.up() || proxy.incarnation() != open.incarnation) {
    end_without_response(id, load::ClientResult::connection_lost);
    return;
  }
  load::ClientAttempt attempt = open.attempt;
  const TimePoint deadline = simulation_.engine_time(attempt.deadline);
  attempt.at = simulation_.engine_time(attempt.at);
  proxy.request_arrived(attempt, deadline);
}

void SimulatedClients::time_out(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::ClientAttempt attempt = found->second.attempt;
  simulation_.proxies[attempt.proxy]->client_disconnected(id);
  finish(attempt, load::ClientResult::timed_out, {.status = 0});
}

void SimulatedClients::disconnect(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::ClientAttempt attempt = found->second.attempt;
  SimulatedProxy& proxy = *simulation_.proxies[attempt.proxy];
  if (proxy.up())
    proxy.client_disconnected(id);
  finish(attempt, load::ClientResult::client_disconnected, {.status = 0});
}

// The request ends without a response.
void SimulatedClients::end_without_response(std::int64_t id, load::ClientResult result) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::ClientAttempt attempt = found->second.attempt;
  finish(attempt, result, {.status = 0});
}

void SimulatedClients::answer(std::int64_t id, const ClientResponse& response) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::ClientAttempt attempt = found->second.attempt;
  finish(attempt, response.result, response);
}

void SimulatedClients::finish(const load::ClientAttempt& attempt, load::ClientResult result,
                              const ClientResponse& response) {
  const auto found = open_.find(attempt.id);
  if (found == open_.end())
    return;
  simulation_.engine.cancel(found->second.timeout_timer);
  simulation_.engine.cancel(found->second.disconnect_timer);
  open_.erase(found);
  count(attempt, result, response);
  record(attempt, result, response);
  if (result == load::ClientResult::succeeded)
    report_wrong_answer(attempt, response);
  load_.attempt_ended(attempt.id, result, response.retry_after, simulation_.load_time());
  send_due();
}

void SimulatedClients::count(const load::ClientAttempt& attempt, load::ClientResult result,
                             const ClientResponse& response) {
  Summary& summary = simulation_.summary;
  const auto& request_class =
      simulation_.day.deployment.request_classes[attempt.request_class].request_class;
  const Duration took = simulation_.engine.now() - simulation_.engine_time(attempt.at);
  switch (result) {
    case load::ClientResult::succeeded:
      ++summary.succeeded;
      summary.wrong += response.correct ? 0 : 1;
      summary.latencies_ms.push_back(static_cast<double>(took.count()) / 1e3);
      if (response.correct)
        summary.weight_in_time +=
            request_class.priority_weight *
            (took <= request_class.latency_objective ? 1 : request_class.late_weight_share);
      break;
    case load::ClientResult::rejected:
      ++summary.rejected;
      break;
    case load::ClientResult::failed:
      ++summary.failed;
      break;
    case load::ClientResult::unreached:
      ++summary.unreached;
      break;
    case load::ClientResult::connection_lost:
      ++summary.connection_lost;
      break;
    case load::ClientResult::client_disconnected:
      ++summary.client_disconnected;
      break;
    case load::ClientResult::timed_out:
      ++summary.timed_out;
      break;
    case load::ClientResult::rejected_before_routing:
      break;
  }
}

void SimulatedClients::record(const load::ClientAttempt& attempt, load::ClientResult result,
                              const ClientResponse& response) {
  if (!simulation_.log.clients)
    return;
  const bool from_server = response.server >= 0;
  record::client_attempt_ended(
      *simulation_.log.clients,
      {.sent = simulation_.engine_time(attempt.at),
       .ended = simulation_.engine.now(),
       .deadline = simulation_.engine_time(attempt.deadline),
       .id = attempt.id,
       .first_id = attempt.first_id,
       .number = attempt.number,
       .request_class = attempt.request_class,
       .tenant = attempt.tenant,
       .proxy = proxy_name(attempt.proxy),
       .key = attempt.key,
       .poison = attempt.poison,
       .result = load::to_string(result),
       .status = response.status,
       .reason = response.reason,
       .endpoint = from_server ? fleet_.spec(response.server).name : std::string_view(),
       .build = from_server ? static_cast<double>(fleet_.spec(response.server).build.number) : -1.0,
       .correct = response.correct});
}

// A share of the clients reports wrong answers; a few report correct ones by mistake.
void SimulatedClients::report_wrong_answer(const load::ClientAttempt& attempt,
                                           const ClientResponse& response) {
  const day::Scenario& day = simulation_.day;
  const double share =
      response.correct ? day.false_report_share : day.deployment.wrong_answer_report_share;
  if (simulation_.uniform_sample() >= share)
    return;
  SimulatedProxy& proxy = *simulation_.proxies[attempt.proxy];
  simulation_.engine.in(
      simulation_.sample_between(day.min_report_delay, day.max_report_delay),
      [&proxy, server = response.server] { proxy.wrong_answer_reported(server); });
}

void SimulatedClients::proxy_started(int proxy) {
  load_.set_proxy_up(proxy, true, simulation_.load_time());
}

void SimulatedClients::proxy_stopped(int proxy) {
  load_.set_proxy_up(proxy, false, simulation_.load_time());
  std::vector<std::int64_t> lost;
  for (const auto& [id, open] : open_)
    if (open.attempt.proxy == proxy)
      lost.push_back(id);
  std::sort(lost.begin(), lost.end());
  for (const std::int64_t id : lost)
    simulation_.engine.in(simulation_.network.sample_delay(), [this, id] {
      end_without_response(id, load::ClientResult::connection_lost);
    });
}

}  // namespace robinhoist::emulator
