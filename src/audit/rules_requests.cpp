#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

using Arrivals = std::vector<const AttemptArrival*>;

// The arrivals of a client's attempts, in order of time.
std::unordered_map<long, Arrivals> arrivals_by_request(const Events& events) {
  std::unordered_map<long, Arrivals> by_request;
  for (const AttemptArrival& arrival : events.arrivals)
    by_request[arrival.client_request_id].push_back(&arrival);
  return by_request;
}

std::string describe(const Events& events, const ClientRequest& request) {
  return "try " + std::to_string(request.id) + " (" +
         events.meta.request_classes[request.request_class].name + ", " + request.proxy +
         ", sent at " + to_text(request.sent) + ")";
}

bool is_answer(ClientResult result) {
  return result == ClientResult::succeeded || result == ClientResult::rejected ||
         result == ClientResult::failed || result == ClientResult::rejected_before_routing;
}

// Whether no process of the proxy ran for the whole interval.
bool interrupted(const Events& events, const std::string& proxy, TimePoint from, TimePoint to) {
  const auto lives = events.proxy_lives.find(proxy);
  if (lives == events.proxy_lives.end())
    return true;
  return std::none_of(lives->second.begin(), lives->second.end(),
                      [&](const ProxyLife& life) { return life.from <= from && to <= life.to; });
}

void check_answer(const Events& events, const ClientRequest& request, RuleReport& report) {
  ++report.checked;
  if (is_answer(request.result)) {
    if (request.ended > request.deadline + events.meta.answer_slack)
      report.add_violation(describe(events, request) + " was " + request.result_name + " " +
                           to_text(request.ended - request.deadline) + " after its client's time");
    return;
  }
  if (request.result == ClientResult::client_disconnected ||
      request.result == ClientResult::unreached)
    return;
  if (interrupted(events, request.proxy, request.sent - uncertainty, request.ended + uncertainty))
    ++report.excused;
  else
    report.add_violation(describe(events, request) + " got no answer: " + request.result_name +
                         " after " + to_text(request.ended - request.sent));
}

void check_nothing_after_answer(const Events& events, const ClientRequest& request,
                                const Arrivals& arrivals, RuleReport& report) {
  if (!is_answer(request.result))
    return;
  const auto late = std::find_if(arrivals.begin(), arrivals.end(), [&](const auto* arrival) {
    return arrival->at > request.ended + uncertainty;
  });
  if (late != arrivals.end())
    report.add_violation(describe(events, request) + " was " + request.result_name + " at " +
                         to_text(request.ended) + " and still sent to " + (*late)->server + " at " +
                         to_text((*late)->at));
}

bool in_dedup_scope(const Events& events, DedupScope scope, const AttemptArrival& first,
                    const AttemptArrival& second) {
  if (scope == DedupScope::all)
    return true;
  const ServerStart* a = server_start_at(events, first.server, first.at);
  const ServerStart* b = server_start_at(events, second.server, second.at);
  if (!a || !b)
    return true;
  return scope == DedupScope::zone ? a->zone == b->zone : a->cell == b->cell;
}

// Why a retry could have a second effect, given an attempt that may have run; empty: it could not.
std::string second_effect(const Events& events, const record::Meta::RequestClass& request_class,
                          const AttemptArrival& ran, const AttemptArrival& retry) {
  if (request_class.idempotency == Idempotency::non_idempotent)
    return " may have run at " + ran.server + " at " + to_text(ran.at) +
           " and was sent again, to " + retry.server + " at " + to_text(retry.at);
  if (retry.at > ran.at + request_class.dedup_window)
    return " was sent again to " + retry.server + " " + to_text(retry.at - ran.at) +
           " after it may have run; repeats are remembered for " +
           to_text(request_class.dedup_window);
  if (!in_dedup_scope(events, request_class.dedup_scope, ran, retry))
    return " was sent again to " + retry.server + ", outside the group of " + ran.server;
  return {};
}

void check_retries(const Events& events, const ClientRequest& request, const Arrivals& arrivals,
                   RuleReport& report) {
  const auto& request_class = events.meta.request_classes[request.request_class];
  ++report.checked;
  if (request.result == ClientResult::rejected_before_routing) {
    report.add_violation(describe(events, request) + " was not taken, yet sent to " +
                         arrivals.front()->server);
    return;
  }
  if (request_class.idempotency == Idempotency::idempotent)
    return;
  const AttemptArrival* ran = nullptr;  // the first that may have run
  for (const AttemptArrival* arrival : arrivals) {
    if (ran) {
      const std::string violation = second_effect(events, request_class, *ran, *arrival);
      if (!violation.empty()) {
        report.add_violation(describe(events, request) + violation);
        return;
      }
    } else if (!arrival->refused) {
      ran = arrival;
    }
  }
  const bool client_may_retry = request_class.idempotency != Idempotency::non_idempotent &&
                                request_class.dedup_scope == DedupScope::all;
  if (ran && request.result == ClientResult::rejected && !client_may_retry)
    report.add_violation(describe(events, request) + " was declined though it may have run at " +
                         ran->server);
}

// Servers drop repeats of a key, so that no request may have two effects.
void check_effects(const Events& events,
                   const std::unordered_map<long, const ClientRequest*>& requests,
                   RuleReport& report) {
  std::unordered_map<long, const AttemptArrival*> arrival_of_work;
  for (const AttemptArrival& arrival : events.arrivals)
    arrival_of_work[arrival.work_id] = &arrival;
  std::map<long, TimePoint> first_effects;
  for (const Effect& effect : events.effects) {
    const auto arrival = arrival_of_work.find(effect.work_id);
    if (arrival == arrival_of_work.end())
      continue;
    const auto request = requests.find(arrival->second->client_request_id);
    if (request == requests.end())
      continue;
    const ClientRequest& client_request = *request->second;
    ++report.checked;
    // A client uses one key for all attempts of a request.
    const bool keyed = events.meta.request_classes[client_request.request_class].idempotency ==
                       Idempotency::idempotent_with_key;
    const auto [first, is_first] =
        first_effects.emplace(keyed ? client_request.first_id : client_request.id, effect.at);
    if (!is_first)
      report.add_violation(describe(events, client_request) + " had an effect at " +
                           to_text(first->second) + " and again at " + to_text(effect.at));
  }
}

}  // namespace

void check_no_request_lost(const Events& events, RuleReport& report) {
  const auto arrivals = arrivals_by_request(events);
  std::set<long> seen;
  for (const ClientRequest& request : events.requests) {
    if (!seen.insert(request.id).second)
      report.add_violation(describe(events, request) + " had two final answers");
    check_answer(events, request, report);
    const auto sent = arrivals.find(request.id);
    if (sent != arrivals.end())
      check_nothing_after_answer(events, request, sent->second, report);
  }
  for (const auto& [proxy, count] : events.unsolicited)
    report.add_violation(proxy + " sent " + std::to_string(count) +
                         " answers that no client waited for");
}

void check_no_effect_twice(const Events& events, RuleReport& report) {
  const auto arrivals = arrivals_by_request(events);
  std::unordered_map<long, const ClientRequest*> requests;
  for (const ClientRequest& request : events.requests) {
    requests.emplace(request.id, &request);
    const auto sent = arrivals.find(request.id);
    if (sent != arrivals.end())
      check_retries(events, request, sent->second, report);
  }
  check_effects(events, requests, report);
}

}  // namespace robinhoist::audit
