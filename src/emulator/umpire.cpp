#include "emulator/umpire.h"

#include <algorithm>
#include <cmath>

#include "rollout/words.h"

namespace robinhoist::emulator {
namespace {
using namespace std::chrono_literals;
constexpr Span tick = 1ms;  // as the router tells the module
constexpr Span wall_base = Span(1'700'000'000'000'000);

std::uint64_t order_of(const std::string& name) {
  // Any digest will do that is the same at every umpire.
  std::uint64_t sum = 1469598103934665603ull;
  for (unsigned char c : name) sum = (sum ^ c) * 1099511628211ull;
  return sum;
}
}  // namespace

UmpireHost::UmpireHost(Engine& engine, const deployment::Deployment& deployment,
                       const UmpireSettings& settings, Fleet& fleet, Network& network, Ways ways)
    : engine_(engine), deployment_(deployment), settings_(settings), fleet_(fleet), network_(network),
      ways_(std::move(ways)), next_attempt_id_(static_cast<std::uint64_t>(settings.number) << 40) {}

void UmpireHost::start() {
  ++life_;
  born_ = engine_.now();
  last_request_id_ = 0;
  heard_release_ = false;
  peers_.clear();
  peer_index_.clear();
  umpire_ = make_policy(settings_.policy, settings_.salt,
                        deployment::node_settings(deployment_, settings_.zone, settings_.number),
                        deployment::exposure_settings(deployment_), deployment::gate_settings(deployment_),
                        deployment::request_settings(deployment_, tick));
  std::vector<list::Entry> saved;
  for (auto& [name, entry] : listed_) saved.push_back(entry);
  if (!saved.empty()) list(saved, true, true);
  pull();
}

void UmpireHost::kill() {
  if (!up()) return;
  engine_.cancel(wake_);
  for (auto& [id, in_flight] : requests_)
    for (InFlightAttempt& out : in_flight.attempts) {
      engine_.cancel(out.timer);
      if (!out.ended) fleet_.gone(out.box, out.id);
    }
  for (Peer& peer : peers_)
    if (peer.box >= 0) fleet_.connections(peer.box) -= peer.idle + peer.busy;
  requests_.clear();
  request_of_.clear();
  attempt_of_.clear();
  umpire_.reset();
}

void UmpireHost::take(const load::Try& one, Span until) {
  const auto& request_class = deployment_.request_classes[one.request_class].request_class;
  RequestInfo request{};
  request.request_class = one.request_class;
  request.tenant = deployment_.tenants.empty() ? 0 : one.tenant;
  request.key = one.key;
  const Span remaining = std::min(std::max(Span(1), until - one.at), request_class.deadline);
  request.deadline = local() + remaining - settings_.reserve;
  request.request_id = last_request_id_ = last_request_id_ + 1;
  InFlightRequest in_flight;
  in_flight.one = one;
  in_flight.deadline = request.deadline;
  in_flight.until = until;
  requests_.emplace(request.request_id, std::move(in_flight));
  request_of_[one.id] = request.request_id;
  umpire_->request_arrived(request, local());
  pull();
}

void UmpireHost::left(std::int64_t try_id) {
  auto at = request_of_.find(try_id);
  if (at == request_of_.end()) return;
  const int request_id = at->second;
  InFlightRequest& in_flight = requests_.at(request_id);
  if (in_flight.answered) return;
  in_flight.answered = true;
  request_of_.erase(at);
  umpire_->client_disconnected(request_id);
  forget(request_id);
  // The router pulls with its next input or wake-up; so does this.
}

int UmpireHost::peer_of(const list::Entry& entry) {
  const std::string id = entry.name + "@" + entry.address;
  if (auto at = peer_index_.find(id); at != peer_index_.end()) return at->second;
  if (entry.phase == NodePhase::out) return -1;
  const int box = ways_.box_of(entry.name);
  if (box < 0) return -1;
  // Places are not used again here: a run is over before there are too many.
  peers_.push_back({.box = box});
  return peer_index_[id] = static_cast<int>(peers_.size()) - 1;
}

void UmpireHost::list(const std::vector<list::Entry>& entries, bool whole, bool saved) {
  if (!up()) return;
  if (whole) listed_.clear();
  std::vector<NodeNews> news;
  std::vector<bool> named(peers_.size(), false);
  for (const list::Entry& entry : entries) {
    if (entry.phase == NodePhase::out) listed_.erase(entry.name);
    else listed_[entry.name] = entry;
    const int index = peer_of(entry);
    if (index < 0) continue;
    if (index >= static_cast<int>(named.size())) named.resize(index + 1, false);
    named[index] = true;
    peers_[index].phase = entry.phase;
    NodeNews node{};
    node.node = index;
    node.zone = std::max(0, deployment_.zone(entry.zone));
    node.cell = entry.cell;
    node.build = entry.build;
    node.phase = entry.phase;
    node.size = entry.size;
    if (entry.started != Span{}) node.started = entry.started - wall_base - born_;
    if (entry.started != Span{} && node.started == Span{}) node.started = Span(1);
    node.order = order_of(entry.name);
    news.push_back(node);
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    Peer& peer = peers_[i];
    if (whole && (i >= named.size() || !named[i])) peer.phase = NodePhase::out;
    if (peer.phase == NodePhase::out && peer.idle > 0) {
      fleet_.connections(peer.box) -= peer.idle;
      peer.idle = 0;
    }
  }
  if (!heard_release_ && !listed_.empty()) {
    int lowest = listed_.begin()->second.build;
    for (auto& [name, entry] : listed_) lowest = std::min(lowest, entry.build);
    umpire_->release_news(RelNews{lowest, 0, RelPhase::released, 1, Span{}}, local());
  }
  umpire_->list_news(saved ? ListNews::saved : whole ? ListNews::whole : ListNews::changes, news, local());
  pull();
}

void UmpireHost::release(const RelNews& rel) {
  if (!up()) return;
  heard_release_ = true;
  umpire_->release_news(rel, local());
  pull();
}

void UmpireHost::vote_answered(Outcome outcome) {
  if (!up()) return;
  umpire_->vote_answered(outcome, local());
  pull();
}

void UmpireHost::found_wrong(int box) {
  if (!up()) return;
  for (std::size_t i = 0; i < peers_.size(); ++i)
    if (peers_[i].box == box) {
      umpire_->answer_flagged(static_cast<int>(i));
      return pull();
    }
}

void UmpireHost::pull() {
  if (pulling_) return;
  pulling_ = true;
  while (auto decision = umpire_->next(local())) {
    ++decisions_;
    carry_out(*decision);
  }
  pulling_ = false;
}

void UmpireHost::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      forward(decision);
      break;
    case Action::reject: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      finish(in_flight, {.end = load::End::rejected,
                    .status = 503,
                    .why = in_flight.attempts.empty() ? "no-room" : rollout::word(in_flight.last),
                    .stay_away = decision.span});
      forget(decision.request_id);
      break;
    }
    case Action::fail: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      const bool late = in_flight.attempts.empty() || in_flight.last == Outcome::timeout;
      finish(in_flight, {.end = load::End::failed,
                    .status = late ? 504 : 502,
                    .why = in_flight.attempts.empty() ? "expired" : rollout::word(in_flight.last)});
      forget(decision.request_id);
      break;
    }
    case Action::cancel: {
      InFlightAttempt& out = requests_.at(decision.request_id).attempts.at(decision.attempt);
      if (out.ended) break;
      out.cancelled = true;
      engine_.cancel(out.timer);
      engine_.in(network_.way(), [this, box = out.box, id = out.id] { fleet_.gone(box, id); });
      engine_.in(Span{}, [this, id = out.id, life = life_] {
        if (life == life_ && up()) ended(id, Outcome::cancelled, {});
      });
      break;
    }
    case Action::close: {
      Peer& peer = peers_[decision.node];
      fleet_.connections(peer.box) -= peer.idle;
      peer.idle = 0;
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
      wake_ = engine_.in(decision.span, [this] {
        wake_ = {};
        pull();
      });
      break;
    case Action::probe:
    case Action::log:
      break;
  }
}

void UmpireHost::forward(const Decision& decision) {
  InFlightRequest& in_flight = requests_.at(decision.request_id);
  const std::size_t index = in_flight.attempts.size();
  Peer& peer = peers_[decision.node];
  ++attempt_count_;
  const std::uint64_t id = ++next_attempt_id_;
  in_flight.attempts.push_back({id, peer.box, decision.node});
  attempt_of_[id] = {decision.request_id, index};
  Span within = std::max(Span(1), in_flight.deadline - local());
  if (decision.span > Span{}) within = std::min(within, decision.span);
  const auto fails = [&](Span after, Outcome outcome) {
    engine_.in(after, [this, id, outcome, life = life_] {
      if (life == life_ && up()) ended(id, outcome, {});
    });
  };
  Sent sent{.id = id,
            .umpire = settings_.number,
            .request_class = in_flight.one.request_class,
            .attempt = static_cast<int>(index),
            .request_id = decision.request_id,
            .try_id = in_flight.one.id,
            .work = in_flight.one.work,
            .key = in_flight.one.key,
            .poison = in_flight.one.poison};
  const Span there = network_.way();
  if (peer.idle > 0) {
    --peer.idle;
    ++peer.busy;
  } else {
    if (peer.busy >= settings_.connections_a_box) {
      in_flight.attempts[index].peer = -1;
      return fails(Span{}, Outcome::connect_failure);
    }
    // A new one: refused where nobody listens, closed at once where there are too many.
    if (!fleet_.runs(peer.box)) {
      in_flight.attempts[index].peer = -1;
      return fails(2 * there, Outcome::connect_failure);
    }
    const int most = fleet_.most_connections(peer.box);
    if (most > 0 && fleet_.connections(peer.box) >= most) {
      in_flight.attempts[index].peer = -1;
      return fails(2 * there, Outcome::reset);
    }
    ++peer.busy;
    ++fleet_.connections(peer.box);
    sent.first = true;
  }
  in_flight.attempts[index].timer = engine_.in(within, [this, id] {
    auto at = attempt_of_.find(id);
    if (at == attempt_of_.end()) return;
    const int box = requests_.at(at->second.first).attempts[at->second.second].box;
    engine_.in(network_.way(), [this, box, id] { fleet_.gone(box, id); });
    ended(id, Outcome::timeout, {});
  });
  // A connection takes a way there and back before the request goes.
  engine_.in(sent.first ? 3 * there : there, [this, box = peer.box, id, life = life_, first = sent.first] {
    if (life != life_ || !up()) return;
    auto at = attempt_of_.find(id);
    if (at == attempt_of_.end()) return;
    const auto [request_id, place] = at->second;
    const InFlightRequest& of = requests_.at(request_id);
    if (of.attempts[place].ended || of.attempts[place].cancelled) return;
    if (!fleet_.runs(box)) return ended(id, Outcome::reset, {});
    fleet_.arrive(box, {.id = id,
                        .umpire = settings_.number,
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

void UmpireHost::ended(std::uint64_t id, Outcome outcome, const Answer& answer) {
  auto at = attempt_of_.find(id);
  if (at == attempt_of_.end()) return;
  const auto [request_id, index] = at->second;
  attempt_ended(request_id, index, outcome, answer);
}

void UmpireHost::attempt_ended(int request_id, std::size_t index, Outcome outcome, const Answer& answer) {
  InFlightRequest& in_flight = requests_.at(request_id);
  InFlightAttempt& out = in_flight.attempts[index];
  if (out.ended) return;
  out.ended = true;
  engine_.cancel(out.timer);
  attempt_of_.erase(out.id);
  if (out.peer >= 0) {
    Peer& peer = peers_[out.peer];
    --peer.busy;
    // Kept open after an answer; gone with anything else.
    const bool keeps = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
    const int most = fleet_.most_connections(peer.box);
    if (fleet_.runs(peer.box)) {
      if (keeps && peer.phase != NodePhase::out && (most == 0 || fleet_.connections(peer.box) <= most))
        ++peer.idle;
      else --fleet_.connections(peer.box);
    }
  }
  in_flight.last = outcome;
  Load load;
  if (answer.held >= 0) {
    load.busy = answer.busy;
    load.held = answer.held;
  }
  const bool answers = outcome == Outcome::ok && !in_flight.answered;
  umpire_->attempt_ended(request_id, static_cast<int>(index), outcome, in_flight.answered || answers, load, local());
  if (answers)
    finish(
        in_flight,
        {.end = load::End::succeeded, .status = 200, .why = "answered", .box = out.box, .right = answer.right});
  forget(request_id);
  pull();
}

void UmpireHost::box_killed(int box) {
  if (!up()) return;
  for (Peer& peer : peers_)
    if (peer.box == box) peer.idle = 0;
  std::vector<std::uint64_t> broken;
  for (auto& [id, where] : attempt_of_)
    if (requests_.at(where.first).attempts[where.second].box == box) broken.push_back(id);
  std::sort(broken.begin(), broken.end());
  for (std::uint64_t id : broken)
    engine_.in(network_.way(), [this, id, life = life_] {
      if (life == life_ && up()) ended(id, Outcome::reset, {});
    });
}

void UmpireHost::finish(InFlightRequest& in_flight, FinalAnswer how) {
  if (in_flight.answered) return;
  in_flight.answered = true;
  request_of_.erase(in_flight.one.id);
  ways_.answer(in_flight.one.id, how);
}

void UmpireHost::forget(int request_id) {
  auto at = requests_.find(request_id);
  if (at != requests_.end() && at->second.answered && !umpire_->knows(request_id)) requests_.erase(at);
}

}  // namespace robinhoist::emulator
