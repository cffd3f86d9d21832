#include "audit/audit.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

using FirstAttempts = std::map<long, const ClientRequest*>;

void count_result(ClientResult result, RequestCounts& counts) {
  switch (result) {
    case ClientResult::succeeded:
      ++counts.succeeded;
      break;
    case ClientResult::rejected:
      ++counts.rejected;
      break;
    case ClientResult::failed:
      ++counts.failed;
      break;
    case ClientResult::rejected_before_routing:
      ++counts.rejected_before_routing;
      break;
    case ClientResult::unreached:
      ++counts.unreached;
      break;
    case ClientResult::client_disconnected:
      ++counts.client_disconnected;
      break;
    case ClientResult::lost:
      ++counts.lost;
      break;
  }
}

void count_attempts(const Events& events, Report& report) {
  for (const ClientRequest& request : events.requests) {
    ++report.requests.attempts;
    count_result(request.result, report.requests);
    if (request.result != ClientResult::succeeded)
      continue;
    report.requests.wrong += request.correct ? 0 : 1;
    report.request_classes[request.request_class].latencies_ms.push_back(
        static_cast<double>((request.ended - request.sent).count()) / 1e3);
  }
}

// For each request, its first attempt, and the first to end of those that succeeded with a correct
// answer.
struct Outcomes {
  FirstAttempts first{};
  FirstAttempts first_success{};
};

Outcomes outcomes_of(const Events& events) {
  Outcomes outcomes;
  for (const ClientRequest& request : events.requests) {
    if (request.poison)
      continue;
    const auto [first, is_new] = outcomes.first.emplace(request.first_id, &request);
    if (!is_new && request.sent < first->second->sent)
      first->second = &request;
    if (request.result != ClientResult::succeeded || !request.correct)
      continue;
    const auto [success, is_first] = outcomes.first_success.emplace(request.first_id, &request);
    if (!is_first && request.ended < success->second->ended)
      success->second = &request;
  }
  return outcomes;
}

void count_requests(const Events& events, Report& report) {
  const Outcomes outcomes = outcomes_of(events);
  for (const auto& [id, request] : outcomes.first) {
    const auto& request_class = events.meta.request_classes[request->request_class];
    ClassStatistics& statistics = report.request_classes[request->request_class];
    ++report.requests.requested;
    ++statistics.requested;
    report.weight_offered += request_class.priority_weight;
    const auto success = outcomes.first_success.find(id);
    if (success == outcomes.first_success.end() ||
        success->second->ended > request->sent + request_class.latency_objective)
      continue;
    ++statistics.succeeded_in_time;
    report.weight_in_time += request_class.priority_weight;
  }
}

}  // namespace

void RuleReport::add_violation(const std::string& what) {
  if (violations++ == 0)
    first_violation = what;
}

bool Report::passed() const {
  return steps.passed() && std::all_of(rules.begin(), rules.end(),
                                       [](const RuleReport& rule) { return rule.passed(); });
}

Report audit(const std::string& folder) {
  constexpr std::array<const char*, 5> names = {"no txn lost", "no effect twice", "drains kept",
                                                "no cold node pushed over",
                                                "exposure within the cap"};
  const Events events = read_events(folder);
  Report report;
  for (std::size_t i = 0; i < names.size(); ++i)
    report.rules[i].name = names[i];
  check_no_request_lost(events, report.rule(Rule::no_request_lost));
  check_no_effect_twice(events, report.rule(Rule::no_effect_twice));
  check_drains_kept(events, report.rule(Rule::drains_kept));
  check_slow_start_kept(events, report.rule(Rule::slow_start_kept));
  report.max_quota_use = check_quota_kept(events, report.rule(Rule::quota_kept));
  check_steps(events, report.steps);

  report.meta = events.meta;
  report.releases = events.release_changes;
  report.votes = events.votes;
  report.max_slow_start_use = events.max_slow_start_use;
  report.proxy_attempts = static_cast<long>(events.arrivals.size());
  if (events.cut_files > 0)
    report.notes.push_back(std::to_string(events.cut_files) +
                           " of the files end with an incomplete line");
  report.request_classes.resize(events.meta.request_classes.size());
  count_attempts(events, report);
  count_requests(events, report);
  return report;
}

}  // namespace robinhoist::audit
