#include "emulator/simulated_clients.h"

#include <algorithm>
#include <vector>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {

// A client learns this soon that nobody listens.
constexpr Duration refusal_time = std::chrono::milliseconds(1);

}  // namespace

SimulatedClients::SimulatedClients(Simulation& simulation, Fleet& fleet, long seed)
    : simulation_(simulation),
      fleet_(fleet),
      load_(simulation.day.load, static_cast<unsigned>(seed * 2 + 101)) {}

void SimulatedClients::send_due() {
  simulation_.engine.cancel(load_timer_);
  while (const auto request = load_.next(simulation_.load_time()))
    send(*request);
  if (const auto next = load_.next_at())
    load_timer_ = simulation_.engine.at(simulation_.engine_time(*next), [this] { send_due(); });
}

void SimulatedClients::send(const load::Try& request) {
  Summary& summary = simulation_.summary;
  Engine& engine = simulation_.engine;
  const day::Scenario& day = simulation_.day;
  ++summary.tries;
  if (request.number == 0) {
    ++summary.asked;
    summary.max_weight +=
        day.deployment.request_classes[request.request_class].request_class.priority_weight;
  }
  const std::int64_t id = request.id;
  OpenRequest& open = open_[id];
  open.sent = request;
  const SimulatedProxy& proxy = *simulation_.proxies[request.proxy];
  open.incarnation = proxy.incarnation();
  if (!proxy.up()) {
    engine.in(refusal_time, [this, id] { break_off(id, load::End::unreached); });
    return;
  }
  const TimePoint deadline = simulation_.engine_time(request.until);
  open.timeout = engine.at(deadline + 2 * day.answer_slack, [this, id] { give_up(id); });
  if (request.leaves > TimePoint{})
    open.leave = engine.at(simulation_.engine_time(request.leaves), [this, id] { leave(id); });
  engine.in(simulation_.network.way(), [this, id] { arrive(id); });
}

// The request reaches its proxy.
void SimulatedClients::arrive(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const OpenRequest& open = found->second;
  SimulatedProxy& proxy = *simulation_.proxies[open.sent.proxy];
  if (!proxy.up() || proxy.incarnation() != open.incarnation) {
    break_off(id, load::End::broken);
    return;
  }
  load::Try request = open.sent;
  const TimePoint deadline = simulation_.engine_time(request.until);
  request.at = simulation_.engine_time(request.at);
  proxy.request_arrived(request, deadline);
}

void SimulatedClients::give_up(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::Try request = found->second.sent;
  simulation_.proxies[request.proxy]->client_disconnected(id);
  finish(request, load::End::timed_out, {.status = 0});
}

void SimulatedClients::leave(std::int64_t id) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::Try request = found->second.sent;
  SimulatedProxy& proxy = *simulation_.proxies[request.proxy];
  if (proxy.up())
    proxy.client_disconnected(id);
  finish(request, load::End::left, {.status = 0});
}

// The request ends without a response.
void SimulatedClients::break_off(std::int64_t id, load::End end) {
  const auto found = open_.find(id);
  if (found == open_.end())
    return;
  const load::Try request = found->second.sent;
  finish(request, end, {.status = 0});
}

void SimulatedClients::answer(std::int64_t request, const FinalAnswer& answer) {
  const auto found = open_.find(request);
  if (found == open_.end())
    return;
  const load::Try sent = found->second.sent;
  finish(sent, answer.end, answer);
}

void SimulatedClients::finish(const load::Try& request, load::End end, const FinalAnswer& answer) {
  const auto found = open_.find(request.id);
  if (found == open_.end())
    return;
  simulation_.engine.cancel(found->second.timeout);
  simulation_.engine.cancel(found->second.leave);
  open_.erase(found);
  count(request, end, answer);
  record(request, end, answer);
  if (end == load::End::succeeded)
    report_wrong_answer(request, answer);
  load_.ended(request.id, end, answer.stay_away, simulation_.load_time());
  send_due();
}

void SimulatedClients::count(const load::Try& request, load::End end, const FinalAnswer& answer) {
  Summary& summary = simulation_.summary;
  const auto& request_class =
      simulation_.day.deployment.request_classes[request.request_class].request_class;
  const Duration took = simulation_.engine.now() - simulation_.engine_time(request.at);
  switch (end) {
    case load::End::succeeded:
      ++summary.succeeded;
      summary.wrong += answer.right ? 0 : 1;
      summary.took_ms.push_back(static_cast<double>(took.count()) / 1e3);
      if (answer.right)
        summary.priority_weight +=
            request_class.priority_weight *
            (took <= request_class.latency_objective ? 1 : request_class.late_weight_share);
      break;
    case load::End::rejected:
      ++summary.rejected;
      break;
    case load::End::failed:
      ++summary.failed;
      break;
    case load::End::unreached:
      ++summary.unreached;
      break;
    case load::End::broken:
      ++summary.broken;
      break;
    case load::End::left:
      ++summary.left;
      break;
    case load::End::timed_out:
      ++summary.timed_out;
      break;
    case load::End::rejected_before_routing:
      break;
  }
}

void SimulatedClients::record(const load::Try& request, load::End end, const FinalAnswer& answer) {
  if (!simulation_.log.clients)
    return;
  const bool from_server = answer.server >= 0;
  record::tried(
      *simulation_.log.clients,
      {.from = simulation_.engine_time(request.at),
       .to = simulation_.engine.now(),
       .until = simulation_.engine_time(request.until),
       .id = request.id,
       .first = request.first,
       .number = request.number,
       .request_class = request.request_class,
       .tenant = request.tenant,
       .proxy = proxy_name(request.proxy),
       .key = request.key,
       .poison = request.poison,
       .end = load::to_string(end),
       .status = answer.status,
       .why = answer.why,
       .endpoint = from_server ? fleet_.spec(answer.server).name : std::string_view(),
       .build = from_server ? static_cast<double>(fleet_.spec(answer.server).build.number) : -1.0,
       .right = answer.right});
}

// Some clients report a wrong answer, and some a right one.
void SimulatedClients::report_wrong_answer(const load::Try& request, const FinalAnswer& answer) {
  const day::Scenario& day = simulation_.day;
  const double share =
      answer.right ? day.false_report_share : day.deployment.wrong_answer_report_share;
  if (simulation_.uniform_sample() >= share)
    return;
  SimulatedProxy& proxy = *simulation_.proxies[request.proxy];
  simulation_.engine.in(simulation_.sample_between(day.min_report_delay, day.max_report_delay),
                        [&proxy, server = answer.server] { proxy.wrong_answer_reported(server); });
}

void SimulatedClients::proxy_started(int proxy) {
  load_.proxy(proxy, true, simulation_.load_time());
}

void SimulatedClients::proxy_stopped(int proxy) {
  load_.proxy(proxy, false, simulation_.load_time());
  std::vector<std::int64_t> lost;
  for (const auto& [id, open] : open_)
    if (open.sent.proxy == proxy)
      lost.push_back(id);
  std::sort(lost.begin(), lost.end());
  for (const std::int64_t id : lost)
    simulation_.engine.in(simulation_.network.way(),
                          [this, id] { break_off(id, load::End::broken); });
}

}  // namespace robinhoist::emulator
