#include "emulator/simulated_proxy.h"

#include <algorithm>
#include <utility>

#include "rollout/names.h"

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;

constexpr Duration tick = 1ms;  // the router's timer resolution, passed to the decision module
// An attempt's id holds its proxy's number above these bits.
constexpr int attempt_bits = 40;

// Whether a connection stays open after an attempt with this outcome.
bool keeps_connection(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
}

}  // namespace

SimulatedProxy::SimulatedProxy(Engine& engine, const deployment::Deployment& deployment,
                               const SimulatedProxySettings& settings, Fleet& fleet,
                               Network& network, Outputs outputs)
    : engine_(engine),
      deployment_(deployment),
      settings_(settings),
      fleet_(fleet),
      network_(network),
      outputs_(std::move(outputs)),
      last_attempt_id_(static_cast<std::uint64_t>(settings.number) << attempt_bits) {}

void SimulatedProxy::start() {
  ++incarnation_;
  started_at_ = engine_.now();
  last_request_id_ = 0;
  release_known_ = false;
  upstreams_.clear();
  upstream_of_.clear();
  policy_ = make_policy(
      settings_.policy, settings_.salt,
      deployment::endpoint_settings(deployment_, settings_.zone, settings_.number),
      deployment::canary_quota_settings(deployment_), deployment::analysis_settings(deployment_),
      deployment::request_settings(deployment_, tick));
  std::vector<registry::Endpoint> cached;
  for (const auto& [name, endpoint] : endpoints_)
    cached.push_back(endpoint);
  if (!cached.empty())
    endpoints_updated(cached, EndpointUpdateKind::cached);
  run_policy();
}

void SimulatedProxy::kill() {
  if (!up())
    return;
  engine_.cancel(policy_timer_);
  for (auto& [id, request] : requests_) {
    for (InFlightAttempt& attempt : request.attempts) {
      engine_.cancel(attempt.timer);
      if (!attempt.ended)
        fleet_.cancel(attempt.server, attempt.id);
    }
  }
  for (const Upstream& upstream : upstreams_)
    if (upstream.server >= 0)
      fleet_.connections(upstream.server) -= upstream.idle + upstream.busy;
  requests_.clear();
  request_of_.clear();
  attempt_of_.clear();
  policy_.reset();
}

void SimulatedProxy::request_arrived(const load::ClientAttempt& request, TimePoint deadline) {
  const auto& request_class = deployment_.request_classes[request.request_class].request_class;
  const Duration remaining =
      std::min(std::max(Duration(1), deadline - request.at), request_class.deadline);
  RequestInfo info{};
  info.request_class = request.request_class;
  info.tenant = deployment_.tenants.empty() ? 0 : request.tenant;
  info.key = request.key;
  info.deadline = local_time() + remaining - settings_.reserve;
  info.request_id = ++last_request_id_;
  InFlightRequest in_flight;
  in_flight.client_request = request;
  in_flight.deadline = info.deadline;
  requests_.emplace(info.request_id, std::move(in_flight));
  request_of_[request.id] = info.request_id;
  policy_->request_arrived(info, local_time());
  run_policy();
}

// Like the router, leaves running the policy to the next input or timer.
void SimulatedProxy::client_disconnected(std::int64_t client_request) {
  const auto found = request_of_.find(client_request);
  if (found == request_of_.end())
    return;
  const int request_id = found->second;
  InFlightRequest& request = requests_.at(request_id);
  if (request.answered)
    return;
  request.answered = true;
  request_of_.erase(found);
  policy_->client_disconnected(request_id);
  forget_if_done(request_id);
}

// ---- Decisions of the policy

void SimulatedProxy::run_policy() {
  if (running_policy_)
    return;  // the outer call continues until there is no decision left
  running_policy_ = true;
  while (const auto decision = policy_->next(local_time())) {
    ++decisions_;
    carry_out(*decision);
  }
  running_policy_ = false;
}

void SimulatedProxy::carry_out(const Decision& decision) {
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
    case Action::close:
      close_idle(upstreams_[decision.endpoint]);
      break;
    case Action::subscribe:
    case Action::fetch:
      outputs_.refresh(settings_.number);
      break;
    case Action::vote:
      outputs_.vote(settings_.number, decision.build, decision.stage, decision.verdict);
      break;
    case Action::wake:
      schedule_policy(decision.duration);
      break;
    case Action::probe:
    case Action::log:
      break;
  }
}

void SimulatedProxy::schedule_policy(Duration delay) {
  engine_.cancel(policy_timer_);
  policy_timer_ = engine_.in(delay, [this] {
    policy_timer_ = {};
    run_policy();
  });
}

void SimulatedProxy::reject(const Decision& decision) {
  InFlightRequest& request = requests_.at(decision.request_id);
  finish(request, {.result = load::ClientResult::rejected,
                   .status = 503,
                   .reason = request.attempts.empty() ? "no-room" : rollout::api_name(request.last),
                   .retry_after = decision.duration});
  forget_if_done(decision.request_id);
}

void SimulatedProxy::fail(const Decision& decision) {
  InFlightRequest& request = requests_.at(decision.request_id);
  const bool late = request.attempts.empty() || request.last == Outcome::timeout;
  finish(request,
         {.result = load::ClientResult::failed,
          .status = late ? 504 : 502,
          .reason = request.attempts.empty() ? "expired" : rollout::api_name(request.last)});
  forget_if_done(decision.request_id);
}

void SimulatedProxy::cancel(const Decision& decision) {
  InFlightAttempt& attempt = requests_.at(decision.request_id).attempts.at(decision.attempt);
  if (attempt.ended)
    return;
  attempt.cancelled = true;
  engine_.cancel(attempt.timer);
  engine_.in(network_.sample_delay(),
             [this, server = attempt.server, id = attempt.id] { fleet_.cancel(server, id); });
  fail_attempt_later(attempt.id, Duration{}, Outcome::cancelled);
}

void SimulatedProxy::close_idle(Upstream& upstream) {
  fleet_.connections(upstream.server) -= upstream.idle;
  upstream.idle = 0;
}

void SimulatedProxy::forward(const Decision& decision) {
  InFlightRequest& request = requests_.at(decision.request_id);
  const std::size_t index = request.attempts.size();
  Upstream& upstream = upstreams_[decision.endpoint];
  ++attempt_count_;
  const std::uint64_t id = ++last_attempt_id_;
  request.attempts.push_back({id, upstream.server, decision.endpoint});
  attempt_of_[id] = {decision.request_id, index};
  Duration timeout = std::max(Duration(1), request.deadline - local_time());
  if (decision.duration > Duration{})
    timeout = std::min(timeout, decision.duration);

  const Duration network_delay = network_.sample_delay();
  const Connection connection = take_connection(upstream, network_delay);
  if (!connection.available) {
    request.attempts[index].upstream = no_upstream;
    fail_attempt_later(id, connection.failure_delay, connection.failure);
    return;
  }
  request.attempts[index].timer = engine_.in(timeout, [this, id] { attempt_timed_out(id); });
  // A new connection takes a round trip before the request is sent.
  const Duration arrives_in = connection.fresh ? 3 * network_delay : network_delay;
  engine_.in(arrives_in, [this, id, server = upstream.server, incarnation = incarnation_,
                          fresh = connection.fresh] {
    if (incarnation == incarnation_ && up())
      deliver(id, server, fresh);
  });
}

// ---- Connections and ends of attempts

SimulatedProxy::Connection SimulatedProxy::take_connection(Upstream& upstream,
                                                           Duration network_delay) {
  if (upstream.idle > 0) {
    --upstream.idle;
    ++upstream.busy;
    return {.available = true};
  }
  if (upstream.busy >= settings_.connections_per_server)
    return {.failure = Outcome::connect_failure};
  // Refused by a server that is not running; closed at once by one at its connection limit.
  if (!fleet_.is_running(upstream.server))
    return {.failure_delay = 2 * network_delay, .failure = Outcome::connect_failure};
  const int max_connections = fleet_.max_connections(upstream.server);
  if (max_connections > 0 && fleet_.connections(upstream.server) >= max_connections)
    return {.failure_delay = 2 * network_delay, .failure = Outcome::reset};
  ++upstream.busy;
  ++fleet_.connections(upstream.server);
  return {.available = true, .fresh = true};
}

void SimulatedProxy::release_connection(const InFlightAttempt& attempt, Outcome outcome) {
  if (attempt.upstream == no_upstream)
    return;
  Upstream& upstream = upstreams_[attempt.upstream];
  --upstream.busy;
  if (!fleet_.is_running(upstream.server))
    return;
  const int max_connections = fleet_.max_connections(upstream.server);
  const bool stays_open =
      keeps_connection(outcome) && upstream.phase != EndpointPhase::removed &&
      (max_connections == 0 || fleet_.connections(upstream.server) <= max_connections);
  if (stays_open)
    ++upstream.idle;
  else
    --fleet_.connections(upstream.server);
}

void SimulatedProxy::fail_attempt_later(std::uint64_t id, Duration delay, Outcome outcome) {
  engine_.in(delay, [this, id, outcome, incarnation = incarnation_] {
    if (incarnation == incarnation_ && up())
      attempt_ended(id, outcome, {});
  });
}

void SimulatedProxy::attempt_timed_out(std::uint64_t id) {
  const auto found = attempt_of_.find(id);
  if (found == attempt_of_.end())
    return;
  const AttemptPosition position = found->second;
  const int server = requests_.at(position.request_id).attempts[position.index].server;
  engine_.in(network_.sample_delay(), [this, server, id] { fleet_.cancel(server, id); });
  attempt_ended(id, Outcome::timeout, {});
}

// The request of an attempt reaches its server.
void SimulatedProxy::deliver(std::uint64_t id, int server, bool fresh_connection) {
  const auto found = attempt_of_.find(id);
  if (found == attempt_of_.end())
    return;
  const AttemptPosition position = found->second;
  const InFlightRequest& request = requests_.at(position.request_id);
  const InFlightAttempt& attempt = request.attempts[position.index];
  if (attempt.ended || attempt.cancelled)
    return;
  if (!fleet_.is_running(server)) {
    attempt_ended(id, Outcome::reset, {});
    return;
  }
  const load::ClientAttempt& client_request = request.client_request;
  fleet_.arrive(server, {.id = id,
                         .proxy = settings_.number,
                         .request_class = client_request.request_class,
                         .attempt = static_cast<int>(position.index),
                         .request_id = position.request_id,
                         .client_attempt_id = client_request.id,
                         .work = client_request.work,
                         .key = client_request.key,
                         .poison = client_request.poison,
                         .fresh_connection = fresh_connection});
}

void SimulatedProxy::attempt_ended(std::uint64_t id, Outcome outcome,
                                   const ServerResponse& response) {
  const auto found = attempt_of_.find(id);
  if (found == attempt_of_.end())
    return;
  const AttemptPosition position = found->second;
  InFlightRequest& request = requests_.at(position.request_id);
  InFlightAttempt& attempt = request.attempts[position.index];
  if (attempt.ended)
    return;
  attempt.ended = true;
  engine_.cancel(attempt.timer);
  attempt_of_.erase(found);
  release_connection(attempt, outcome);
  request.last = outcome;
  LoadReport load;
  if (response.in_flight >= 0) {
    load.utilization = response.utilization;
    load.in_flight = response.in_flight;
  }
  const bool completes_request = outcome == Outcome::ok && !request.answered;
  policy_->attempt_ended(position.request_id, static_cast<int>(position.index), outcome,
                         request.answered || completes_request, load, local_time());
  if (completes_request)
    finish(request, {.result = load::ClientResult::succeeded,
                     .status = 200,
                     .reason = "answered",
                     .server = attempt.server,
                     .correct = response.correct});
  forget_if_done(position.request_id);
  run_policy();
}

void SimulatedProxy::server_killed(int server) {
  if (!up())
    return;
  for (Upstream& upstream : upstreams_)
    if (upstream.server == server)
      upstream.idle = 0;
  std::vector<std::uint64_t> broken;
  for (const auto& [id, position] : attempt_of_)
    if (requests_.at(position.request_id).attempts[position.index].server == server)
      broken.push_back(id);
  std::sort(broken.begin(), broken.end());
  for (const std::uint64_t id : broken)
    fail_attempt_later(id, network_.sample_delay(), Outcome::reset);
}

void SimulatedProxy::finish(InFlightRequest& request, const ClientResponse& response) {
  if (request.answered)
    return;
  request.answered = true;
  request_of_.erase(request.client_request.id);
  outputs_.respond(request.client_request.id, response);
}

void SimulatedProxy::forget_if_done(int request_id) {
  const auto found = requests_.find(request_id);
  if (found != requests_.end() && found->second.answered && !policy_->has_request(request_id))
    requests_.erase(found);
}

}  // namespace robinhoist::emulator
