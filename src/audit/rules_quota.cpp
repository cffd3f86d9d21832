#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

constexpr double no_cap = std::numeric_limits<double>::infinity();
constexpr double rounding = 1e-9;

using Times = std::vector<TimePoint>;

// Times of the requests that one proxy accepted, as its clients sent them: by request class and in
// total.
struct AcceptedRequests {
  std::vector<Times> by_class;
  Times all;
};

std::map<std::string, AcceptedRequests> accepted_requests(const Events& events) {
  std::map<std::string, AcceptedRequests> by_proxy;
  for (const ClientRequest& request : events.requests) {
    if (request.result == ClientResult::unreached ||
        request.result == ClientResult::rejected_before_routing)
      continue;
    AcceptedRequests& accepted = by_proxy[request.proxy];
    accepted.by_class.resize(events.meta.request_classes.size());
    accepted.by_class[request.request_class].push_back(request.sent);
    accepted.all.push_back(request.sent);
  }
  for (auto& [proxy, accepted] : by_proxy) {
    for (Times& times : accepted.by_class)
      std::sort(times.begin(), times.end());
    std::sort(accepted.all.begin(), accepted.all.end());
  }
  return by_proxy;
}

// The cap that applies to a build after this notification.
double cap_of(const ReleaseNotification& release, int build, const record::Meta& meta) {
  if (build < release.build)
    return no_cap;
  if (build > release.build)
    return meta.caps.front();
  if (release.phase == "released")
    return no_cap;
  return release.phase == "trial" ? release.cap : 0;
}

// Checks the quota of one proxy, arrival by arrival.
class QuotaCheck {
 public:
  QuotaCheck(const Events& events, std::string proxy, const AcceptedRequests& accepted,
             const std::set<int>& builds, RuleReport& report)
      : events_(events),
        proxy_(std::move(proxy)),
        accepted_(accepted),
        builds_(builds),
        report_(report) {
    const auto found = events.release_notifications.find(proxy_);
    if (found != events.release_notifications.end())
      notifications_ = &found->second;
  }

  void check(const AttemptArrival& arrival) {
    reset_after_restart(arrival.at);
    advance(arrival.at);
    if (!release_)
      return;
    const BuildLimit& limit = limits_[arrival.build];
    const record::Meta& meta = events_.meta;
    const bool in_grace = limit.lowered_at >= TimePoint{} &&
                          arrival.at <= limit.lowered_at + meta.drain_grace + uncertainty;
    const double cap = in_grace ? std::max(limit.cap, limit.earlier_cap) : limit.cap;
    if (cap == no_cap)
      return;
    ++report_.checked;
    if (!in_grace)
      check_safe_only(arrival, limit);
    check_count(arrival, limit, cap, in_grace);
  }

  double max_use() const { return max_use_; }

 private:
  struct BuildLimit {
    double cap = no_cap;
    double earlier_cap = no_cap;
    TimePoint lowered_at{Duration(-1)};
    int stage = 0;
  };
  using CountKey = std::pair<int, int>;  // build and request class, -1 for all classes

  void reset_after_restart(TimePoint at) {
    const TimePoint started = process_started_at(events_, proxy_, at);
    if (started == process_start_)
      return;
    process_start_ = started;
    release_.reset();
    limits_.clear();
    sent_.clear();
  }

  void advance(TimePoint to) {
    if (!notifications_)
      return;
    for (; next_ < notifications_->size() && (*notifications_)[next_].at <= to; ++next_) {
      const ReleaseNotification& notification = (*notifications_)[next_];
      if (notification.at < process_start_)
        continue;
      // The first notification of a process lowers no cap; before it, a build counts as in its
      // first stage.
      const bool first = !release_;
      release_ = notification;
      for (const int build : builds_)
        update_limit(build, first);
    }
  }

  void update_limit(int build, bool first) {
    BuildLimit& limit = limits_[build];
    const double cap = cap_of(*release_, build, events_.meta);
    if (cap < limit.cap && !first) {
      // If the cap is lowered again within the grace period, the higher earlier cap still applies.
      const bool grace_is_over = limit.lowered_at < TimePoint{} ||
                                 release_->at >= limit.lowered_at + events_.meta.drain_grace;
      if (grace_is_over)
        limit.earlier_cap = limit.cap;
      limit.lowered_at = release_->at;
    }
    limit.cap = cap;
    limit.stage = build == release_->build ? release_->stage : 0;
  }

  void check_safe_only(const AttemptArrival& arrival, const BuildLimit& limit) {
    const record::Meta& meta = events_.meta;
    if (arrival.request_class < 0 || limit.stage >= meta.idempotent_only_stages ||
        meta.request_classes[arrival.request_class].idempotency == Idempotency::idempotent)
      return;
    report_.add_violation(proxy_ + " sent a txn with an effect to build " +
                          std::to_string(arrival.build) + " at " + to_text(arrival.at) +
                          ", in wave " + std::to_string(limit.stage));
  }

  void check_count(const AttemptArrival& arrival, const BuildLimit& limit, double cap,
                   bool in_grace) {
    const record::Meta& meta = events_.meta;
    const int request_class =
        meta.by_request_class ? std::max(0, arrival.request_class) : all_classes;
    Times& sent = sent_[{arrival.build, request_class}];
    sent.push_back(arrival.at);
    TimePoint from = arrival.at - meta.quota_window + uncertainty;
    if (limit.lowered_at >= TimePoint{} && !in_grace)
      from = std::max(from, limit.lowered_at + meta.drain_grace);
    const auto count =
        static_cast<double>(sent.end() - std::upper_bound(sent.begin(), sent.end(), from));
    const double accepted = accepted_in_window(request_class, arrival.at);
    const double allowed = meta.uncapped_attempts + cap * accepted;
    if (cap > 0 && !in_grace)
      max_use_ = std::max(max_use_, count / std::max(1.0, allowed));
    if (count > allowed + rounding)
      report_.add_violation(proxy_ + " sent " + std::to_string(static_cast<long>(count)) +
                            " submissions to build " + std::to_string(arrival.build) +
                            " in the window up to " + to_text(arrival.at) + ", allowed are " +
                            std::to_string(meta.uncapped_attempts) + " and " + std::to_string(cap) +
                            " of " + std::to_string(static_cast<long>(accepted)) + " txns");
  }

  double accepted_in_window(int request_class, TimePoint to) const {
    if (request_class != all_classes && accepted_.by_class.empty())
      return 0;
    const Times& times =
        request_class == all_classes ? accepted_.all : accepted_.by_class[request_class];
    const TimePoint from = to - events_.meta.quota_window - uncertainty;
    return static_cast<double>(std::upper_bound(times.begin(), times.end(), to + uncertainty) -
                               std::lower_bound(times.begin(), times.end(), from));
  }

  static constexpr int all_classes = -1;

  const Events& events_;
  std::string proxy_;
  const AcceptedRequests& accepted_;
  const std::set<int>& builds_;
  RuleReport& report_;
  const std::vector<ReleaseNotification>* notifications_ = nullptr;
  std::size_t next_ = 0;
  TimePoint process_start_{Duration(-1)};
  std::optional<ReleaseNotification> release_{};
  std::map<int, BuildLimit> limits_{};
  std::map<CountKey, Times> sent_{};
  double max_use_ = 0;
};

}  // namespace

double check_quota_kept(const Events& events, RuleReport& report) {
  auto accepted = accepted_requests(events);
  std::set<int> builds;
  std::map<std::string, std::vector<const AttemptArrival*>> arrivals_by_proxy;
  for (const AttemptArrival& arrival : events.arrivals) {
    builds.insert(arrival.build);
    arrivals_by_proxy[arrival.proxy].push_back(&arrival);
  }
  double max_use = 0;
  for (const auto& [proxy, arrivals] : arrivals_by_proxy) {
    QuotaCheck quota(events, proxy, accepted[proxy], builds, report);
    for (const AttemptArrival* arrival : arrivals)
      quota.check(*arrival);
    max_use = std::max(max_use, quota.max_use());
  }
  return max_use;
}

}  // namespace robinhoist::audit
