#include "policy/decision_engine.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {
constexpr Duration judge_every = 50ms, look_every = 100ms;
constexpr std::size_t firsts_kept = 40;
}  // namespace

DecisionEngine::DecisionEngine(unsigned salt, const EndpointSettings& endpoints,
                               const CanaryQuotaSettings& canary_quota,
                               const AnalysisSettings& analysis, const RequestSettings& requests)
    : random_(salt),
      endpoints_(endpoints, requests.request_classes),
      canary_quota_(canary_quota, static_cast<int>(requests.request_classes.size()), requests.tick),
      analysis_(analysis, static_cast<int>(requests.request_classes.size())),
      vote_scheduler_(analysis),
      requests_(requests, endpoints_, canary_quota_, random_),
      firsts_(firsts_kept) {}

void DecisionEngine::request_arrived(const RequestInfo& request, TimePoint now) {
  canary_quota_.request_arrived(request.request_class, now);
  if (!request.is_retry)
    firsts_.push(now);
  requests_.arrived(request);
}

void DecisionEngine::attempt_ended(int id, int index, Outcome outcome, bool succeeded,
                                   const LoadReport& load, TimePoint now) {
  const ScheduledRequest* request = requests_.find(id);
  if (!request || index >= static_cast<int>(request->attempts.size()))
    return;
  const Attempt one = request->attempts[index];
  const RequestInfo info = request->info;
  Duration took = now - one.sent;
  // What another endpoint has failed already tells nothing of this one or its build: guards against
  // requests that fail anywhere, which as repeats would gather at the machines with room.
  bool failed_before = std::any_of(request->attempts.begin(), request->attempts.end(),
                                   [](auto& s) { return s.failed; });
  const Outcome tells = failed_before && outcome == Outcome::error ? Outcome::obsolete : outcome;
  endpoints_.ended(one, tells, info, now);
  endpoints_.report(one.endpoint, load, now);
  const EndpointState& endpoint = endpoints_.all()[one.endpoint];
  // What a machine swallows once it stops answering counts as one failure of the build. Late
  // answers of cold machines, or on the way to another zone, tell nothing.
  bool warm = endpoints_.warmth(one.endpoint, one.sent) >= 1;
  bool counts = tells == Outcome::ok || tells == Outcome::error ||
                (lost(outcome) && endpoint.dead_run <= 1 && warm && endpoints_.near(one.endpoint));
  if (counts && endpoint.build == one.build) {
    analysis_.attempt_ended(
        one.build,
        {now, one.sent, one.endpoint, info.request_class, info.tenant, outcome == Outcome::error,
         lost(outcome), warm, endpoints_.ratio(info.request_class, took, info.cost_hint_ms),
         endpoints_.objective_ratio(info.request_class, took)});
    if (outcome == Outcome::ok && warm && !analysis_.under_analysis(one.build))
      endpoints_.learn(info.request_class, took, info.cost_hint_ms);
  }
  if (outcome == Outcome::ok) {
    analysis_.answer_passed_on(one.build);
    canary_quota_.request_answered(info.key, one.build);
  }
  requests_.ended(id, index, outcome, succeeded, now);
}

void DecisionEngine::release_updated(const ReleaseUpdate& release, TimePoint now) {
  canary_quota_.release_updated(release);
  analysis_.release_updated(release, now);
  vote_scheduler_.release_updated(release);
}

std::optional<Decision> DecisionEngine::next(TimePoint now) {
  if (now >= judged_at_ + judge_every) {
    judged_at_ = now;
    const double pace = rate_of(firsts_, now), load = pace / std::max(0.1, endpoints_.able(now));
    const AnalysisResult result =
        analysis_.judge(endpoints_.all(), pace * requests_.canary_share(now), load, now);
    vote_scheduler_.set_verdict(result.verdict, now, random_);
    const AnalysisReport report{result, analysis_.release()};
    if (!last_report_ || !same_mode(report, *last_report_))
      reports_to_log_.push_back(report);
    last_report_ = report;
  }
  if (!reports_to_log_.empty()) {
    const AnalysisReport report = reports_to_log_.front();
    reports_to_log_.pop_front();
    Decision decision{.action = Action::log, .text = to_string(report), .report = report};
    return decision;
  }
  if (auto decision = endpoints_.next(now, random_))
    return decision;
  if (auto decision = vote_scheduler_.next(now, random_))
    return decision;
  if (auto decision = requests_.next(now))
    return decision;
  TimePoint due = now + look_every;
  if (auto look = requests_.next_look())
    due = std::min(due, *look);
  if (wake_at_ > now && wake_at_ <= due)
    return {};
  wake_at_ = std::max(due, now + Duration(1));
  return Decision{.action = Action::wake, .span = wake_at_ - now};
}

}  // namespace robinhoist
