#include "emulator/simulated_proxy.h"

#include <algorithm>
#include <cmath>

#include "rollout/names.h"

namespace robinhoist::emulator {
namespace {
using namespace std::chrono_literals;
constexpr Duration tick = 1ms;  // as the router tells the module
constexpr WallTime wall_base{Duration(1'700'000'000'000'000)};

std::uint64_t order_of(const std::string& name) {
  // Any digest will do that is the same at every proxy.
  std::uint64_t sum = 1469598103934665603ull;
  for (unsigned char c : name)
    sum = (sum ^ c) * 1099511628211ull;
  return sum;
}
}  // namespace

SimulatedProxy::SimulatedProxy(Engine& engine, const deployment::Deployment& deployment,
                               const SimulatedProxySettings& settings, Fleet& fleet,
                               Network& network, Ways ways)
    : engine_(engine),
      deployment_(deployment),
      settings_(settings),
      fleet_(fleet),
      network_(network),
      ways_(std::move(ways)),
      next_attempt_id_(static_cast<std::uint64_t>(settings.number) << 40) {}

void SimulatedProxy::start() {
  ++life_;
  born_ = engine_.now();
  last_request_id_ = 0;
  heard_release_ = false;
  upstreams_.clear();
  upstream_of_.clear();
  policy_ = make_policy(
      settings_.policy, settings_.salt,
      deployment::endpoint_settings(deployment_, settings_.zone, settings_.number),
      deployment::canary_quota_settings(deployment_), deployment::analysis_settings(deployment_),
      deployment::request_settings(deployment_, tick));
  std::vector<registry::Endpoint> saved;
  for (auto& [name, entry] : listed_)
    saved.push_back(entry);
  if (!saved.empty())
    list(saved, true, true);
  pull();
}

void SimulatedProxy::kill() {
  if (!up())
    return;
  engine_.cancel(wake_);
  for (auto& [id, in_flight] : requests_)
    for (InFlightAttempt& out : in_flight.attempts) {
      engine_.cancel(out.timer);
      if (!out.ended)
        fleet_.gone(out.server, out.id);
    }
  for (Upstream& upstream : upstreams_)
    if (upstream.server >= 0)
      fleet_.connections(upstream.server) -= upstream.idle + upstream.busy;
  requests_.clear();
  request_of_.clear();
  attempt_of_.clear();
  policy_.reset();
}

void SimulatedProxy::take(const load::Try& one, TimePoint until) {
  const auto& request_class = deployment_.request_classes[one.request_class].request_class;
  RequestInfo request{};
  request.request_class = one.request_class;
  request.tenant = deployment_.tenants.empty() ? 0 : one.tenant;
  request.key = one.key;
  const Duration remaining =
      std::min(std::max(Duration(1), until - one.at), request_class.deadline);
  request.deadline = local() + remaining - settings_.reserve;
  request.request_id = last_request_id_ = last_request_id_ + 1;
  InFlightRequest in_flight;
  in_flight.one = one;
  in_flight.deadline = request.deadline;
  in_flight.until = until;
  requests_.emplace(request.request_id, std::move(in_flight));
  request_of_[one.id] = request.request_id;
  policy_->request_arrived(request, local());
  pull();
}

void SimulatedProxy::left(std::int64_t try_id) {
  auto at = request_of_.find(try_id);
  if (at == request_of_.end())
    return;
  const int request_id = at->second;
  InFlightRequest& in_flight = requests_.at(request_id);
  if (in_flight.answered)
    return;
  in_flight.answered = true;
  request_of_.erase(at);
  policy_->client_disconnected(request_id);
  forget(request_id);
  // The router pulls with its next input or wake-up; so does this.
}

int SimulatedProxy::upstream_index(const registry::Endpoint& entry) {
  const std::string id = entry.name + "@" + entry.address;
  if (auto at = upstream_of_.find(id); at != upstream_of_.end())
    return at->second;
  if (entry.phase == EndpointPhase::removed)
    return -1;
  const int server = ways_.server_of(entry.name);
  if (server < 0)
    return -1;
  // Places are not used again here: a run is over before there are too many.
  upstreams_.push_back({.server = server});
  return upstream_of_[id] = static_cast<int>(upstreams_.size()) - 1;
}

void SimulatedProxy::list(const std::vector<registry::Endpoint>& entries, bool whole, bool saved) {
  if (!up())
    return;
  if (whole)
    listed_.clear();
  std::vector<EndpointInfo> news;
  std::vector<bool> named(upstreams_.size(), false);
  for (const registry::Endpoint& entry : entries) {
    if (entry.phase == EndpointPhase::removed)
      listed_.erase(entry.name);
    else
      listed_[entry.name] = entry;
    const int index = upstream_index(entry);
    if (index < 0)
      continue;
    if (index >= static_cast<int>(named.size()))
      named.resize(index + 1, false);
    named[index] = true;
    upstreams_[index].phase = entry.phase;
    EndpointInfo endpoint{};
    endpoint.endpoint = index;
    endpoint.zone = std::max(0, deployment_.zone(entry.zone));
    endpoint.cell = entry.cell;
    endpoint.build = entry.build;
    endpoint.phase = entry.phase;
    endpoint.size = entry.size;
    if (entry.started != WallTime{})
      endpoint.started = TimePoint(entry.started - wall_base - born_.time_since_epoch());
    if (entry.started != WallTime{} && endpoint.started == TimePoint{})
      endpoint.started = TimePoint(Duration(1));
    endpoint.order = order_of(entry.name);
    news.push_back(endpoint);
  }
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    Upstream& upstream = upstreams_[i];
    if (whole && (i >= named.size() || !named[i]))
      upstream.phase = EndpointPhase::removed;
    if (upstream.phase == EndpointPhase::removed && upstream.idle > 0) {
      fleet_.connections(upstream.server) -= upstream.idle;
      upstream.idle = 0;
    }
  }
  if (!heard_release_ && !listed_.empty()) {
    int lowest = listed_.begin()->second.build;
    for (auto& [name, entry] : listed_)
      lowest = std::min(lowest, entry.build);
    policy_->release_updated(ReleaseUpdate{lowest, 0, ReleasePhase::released, 1, Duration{}},
                             local());
  }
  policy_->endpoints_updated(saved   ? EndpointUpdateKind::cached
                             : whole ? EndpointUpdateKind::complete
                                     : EndpointUpdateKind::incremental,
                             news, local());
  pull();
}

void SimulatedProxy::release(const ReleaseUpdate& update) {
  if (!up())
    return;
  heard_release_ = true;
  policy_->release_updated(update, local());
  pull();
}

void SimulatedProxy::vote_answered(Outcome outcome) {
  if (!up())
    return;
  policy_->vote_answered(outcome, local());
  pull();
}

void SimulatedProxy::found_wrong(int server) {
  if (!up())
    return;
  for (std::size_t i = 0; i < upstreams_.size(); ++i)
    if (upstreams_[i].server == server) {
      policy_->answer_found_wrong(static_cast<int>(i));
      return pull();
    }
}

void SimulatedProxy::pull() {
  if (pulling_)
    return;
  pulling_ = true;
  while (auto decision = policy_->next(local())) {
    ++decisions_;
    carry_out(*decision);
  }
  pulling_ = false;
}

void SimulatedProxy::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      forward(decision);
      break;
    case Action::reject: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      finish(in_flight,
             {.end = load::End::rejected,
              .status = 503,
              .why = in_flight.attempts.empty() ? "no-room" : rollout::api_name(in_flight.last),
              .stay_away = decision.duration});
      forget(decision.request_id);
      break;
    }
    case Action::fail: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      const bool late = in_flight.attempts.empty() || in_flight.last == Outcome::timeout;
      finish(in_flight,
             {.end = load::End::failed,
              .status = late ? 504 : 502,
              .why = in_flight.attempts.empty() ? "expired" : rollout::api_name(in_flight.last)});
      forget(decision.request_id);
      break;
    }
    case Action::cancel: {
      InFlightAttempt& out = requests_.at(decision.request_id).attempts.at(decision.attempt);
      if (out.ended)
        break;
      out.cancelled = true;
      engine_.cancel(out.timer);
      engine_.in(network_.way(),
                 [this, server = out.server, id = out.id] { fleet_.gone(server, id); });
      engine_.in(Duration{}, [this, id = out.id, life = life_] {
        if (life == life_ && up())
          ended(id, Outcome::cancelled, {});
      });
      break;
    }
    case Action::close: {
      Upstream& upstream = upstreams_[decision.endpoint];
      fleet_.connections(upstream.server) -= upstream.idle;
      upstream.idle = 0;
      break;
    }
    case Action::subscribe:
    case Action::fetch:
      ways_.refresh(settings_.number);
      break;
    case Action::vote:
      ways_.vote(settings_.number, decision.build, decision.stage, decision.verdict);
      break;
    case Action::wake:
      engine_.cancel(wake_);
      wake_ = engine_.in(decision.duration, [this] {
        wake_ = {};
        pull();
      });
      break;
    case Action::probe:
    case Action::log:
      break;
  }
}

void SimulatedProxy::forward(const Decision& decision) {
  InFlightRequest& in_flight = requests_.at(decision.request_id);
  const std::size_t index = in_flight.attempts.size();
  Upstream& upstream = upstreams_[decision.endpoint];
  ++attempt_count_;
  const std::uint64_t id = ++next_attempt_id_;
  in_flight.attempts.push_back({id, upstream.server, decision.endpoint});
  attempt_of_[id] = {decision.request_id, index};
  Duration within = std::max(Duration(1), in_flight.deadline - local());
  if (decision.duration > Duration{})
    within = std::min(within, decision.duration);
  const auto fails = [&](Duration after, Outcome outcome) {
    engine_.in(after, [this, id, outcome, life = life_] {
      if (life == life_ && up())
        ended(id, outcome, {});
    });
  };
  Sent sent{.id = id,
            .proxy = settings_.number,
            .request_class = in_flight.one.request_class,
            .attempt = static_cast<int>(index),
            .request_id = decision.request_id,
            .try_id = in_flight.one.id,
            .work = in_flight.one.work,
            .key = in_flight.one.key,
            .poison = in_flight.one.poison};
  const Duration there = network_.way();
  if (upstream.idle > 0) {
    --upstream.idle;
    ++upstream.busy;
  } else {
    if (upstream.busy >= settings_.connections_per_server) {
      in_flight.attempts[index].upstream = -1;
      return fails(Duration{}, Outcome::connect_failure);
    }
    // A new one: refused where nobody listens, closed at once where there are too many.
    if (!fleet_.runs(upstream.server)) {
      in_flight.attempts[index].upstream = -1;
      return fails(2 * there, Outcome::connect_failure);
    }
    const int most = fleet_.max_connections(upstream.server);
    if (most > 0 && fleet_.connections(upstream.server) >= most) {
      in_flight.attempts[index].upstream = -1;
      return fails(2 * there, Outcome::reset);
    }
    ++upstream.busy;
    ++fleet_.connections(upstream.server);
    sent.first = true;
  }
  in_flight.attempts[index].timer = engine_.in(within, [this, id] {
    auto at = attempt_of_.find(id);
    if (at == attempt_of_.end())
      return;
    const int server = requests_.at(at->second.first).attempts[at->second.second].server;
    engine_.in(network_.way(), [this, server, id] { fleet_.gone(server, id); });
    ended(id, Outcome::timeout, {});
  });
  // A connection takes a way there and back before the request goes.
  engine_.in(sent.first ? 3 * there : there,
             [this, server = upstream.server, id, life = life_, first = sent.first] {
               if (life != life_ || !up())
                 return;
               auto at = attempt_of_.find(id);
               if (at == attempt_of_.end())
                 return;
               const auto [request_id, place] = at->second;
               const InFlightRequest& of = requests_.at(request_id);
               if (of.attempts[place].ended || of.attempts[place].cancelled)
                 return;
               if (!fleet_.runs(server))
                 return ended(id, Outcome::reset, {});
               fleet_.arrive(server, {.id = id,
                                      .proxy = settings_.number,
                                      .request_class = of.one.request_class,
                                      .attempt = static_cast<int>(place),
                                      .request_id = request_id,
                                      .try_id = of.one.id,
                                      .work = of.one.work,
                                      .key = of.one.key,
                                      .poison = of.one.poison,
                                      .first = first});
             });
}

void SimulatedProxy::ended(std::uint64_t id, Outcome outcome, const Answer& answer) {
  auto at = attempt_of_.find(id);
  if (at == attempt_of_.end())
    return;
  const auto [request_id, index] = at->second;
  attempt_ended(request_id, index, outcome, answer);
}

void SimulatedProxy::attempt_ended(int request_id, std::size_t index, Outcome outcome,
                                   const Answer& answer) {
  InFlightRequest& in_flight = requests_.at(request_id);
  InFlightAttempt& out = in_flight.attempts[index];
  if (out.ended)
    return;
  out.ended = true;
  engine_.cancel(out.timer);
  attempt_of_.erase(out.id);
  if (out.upstream >= 0) {
    Upstream& upstream = upstreams_[out.upstream];
    --upstream.busy;
    // Kept open after an answer; gone with anything else.
    const bool keeps =
        outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
    const int most = fleet_.max_connections(upstream.server);
    if (fleet_.runs(upstream.server)) {
      if (keeps && upstream.phase != EndpointPhase::removed &&
          (most == 0 || fleet_.connections(upstream.server) <= most))
        ++upstream.idle;
      else
        --fleet_.connections(upstream.server);
    }
  }
  in_flight.last = outcome;
  LoadReport load;
  if (answer.held >= 0) {
    load.utilization = answer.busy;
    load.in_flight = answer.held;
  }
  const bool answers = outcome == Outcome::ok && !in_flight.answered;
  policy_->attempt_ended(request_id, static_cast<int>(index), outcome,
                         in_flight.answered || answers, load, local());
  if (answers)
    finish(in_flight, {.end = load::End::succeeded,
                       .status = 200,
                       .why = "answered",
                       .server = out.server,
                       .right = answer.right});
  forget(request_id);
  pull();
}

void SimulatedProxy::server_killed(int server) {
  if (!up())
    return;
  for (Upstream& upstream : upstreams_)
    if (upstream.server == server)
      upstream.idle = 0;
  std::vector<std::uint64_t> broken;
  for (auto& [id, where] : attempt_of_)
    if (requests_.at(where.first).attempts[where.second].server == server)
      broken.push_back(id);
  std::sort(broken.begin(), broken.end());
  for (std::uint64_t id : broken)
    engine_.in(network_.way(), [this, id, life = life_] {
      if (life == life_ && up())
        ended(id, Outcome::reset, {});
    });
}

void SimulatedProxy::finish(InFlightRequest& in_flight, FinalAnswer how) {
  if (in_flight.answered)
    return;
  in_flight.answered = true;
  request_of_.erase(in_flight.one.id);
  ways_.answer(in_flight.one.id, how);
}

void SimulatedProxy::forget(int request_id) {
  auto at = requests_.find(request_id);
  if (at != requests_.end() && at->second.answered && !policy_->knows(request_id))
    requests_.erase(at);
}

}  // namespace robinhoist::emulator
