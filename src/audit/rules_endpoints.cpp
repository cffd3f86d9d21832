#include <map>
#include <set>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

// What a proxy knows of the endpoints, from what it has been notified of; moved on in time.
class EndpointKnowledge {
 public:
  struct Endpoint {
    std::string phase;
    TimePoint since;
    long started;
  };

  EndpointKnowledge(const Events& events, std::string proxy)
      : events_(events), proxy_(std::move(proxy)) {}

  void advance(TimePoint to) {
    const TimePoint began = life_began(events_, proxy_, to);
    if (began != life_) {
      life_ = began;
      endpoints_.clear();
    }
    const auto notifications = events_.endpoint_notifications.find(proxy_);
    if (notifications == events_.endpoint_notifications.end())
      return;
    for (; next_ < notifications->second.size() && notifications->second[next_].at <= to; ++next_)
      if (notifications->second[next_].at >= began)
        apply(notifications->second[next_]);
  }

  /// Null: the proxy does not know it.
  const Endpoint* find(const std::string& name) const {
    const auto found = endpoints_.find(name);
    return found == endpoints_.end() ? nullptr : &found->second;
  }

 private:
  void apply(const EndpointNotification& notification) {
    std::set<std::string> named;
    for (const NotifiedEndpoint& notified : notification.endpoints) {
      named.insert(notified.name);
      Endpoint& endpoint = endpoints_[notified.name];
      if (endpoint.phase != notified.phase)
        endpoint = {notified.phase, notification.at, notified.started};
      endpoint.started = notified.started;
    }
    if (!notification.complete)
      return;
    for (auto& [name, endpoint] : endpoints_)
      if (named.count(name) == 0 && endpoint.phase != removed)
        endpoint = {removed, notification.at, endpoint.started};
  }

  static constexpr const char* removed = "out";  // the record's word

  const Events& events_;
  std::string proxy_;
  std::size_t next_ = 0;
  TimePoint life_{Duration(-1)};
  std::map<std::string, Endpoint> endpoints_{};
};

class KnowledgeOfProxies {
 public:
  explicit KnowledgeOfProxies(const Events& events) : events_(events) {}

  const EndpointKnowledge& at(const std::string& proxy, TimePoint time) {
    EndpointKnowledge& knowledge = proxies_.try_emplace(proxy, events_, proxy).first->second;
    knowledge.advance(time);
    return knowledge;
  }

 private:
  const Events& events_;
  std::map<std::string, EndpointKnowledge> proxies_{};
};

// Work that came to a server in its window before it fell over.
struct WindowWork {
  Duration all{};
  Duration from_notified{};  // from proxies that knew of its start
};

WindowWork work_before(const Events& events, const Collapse& collapse) {
  const ServerStart* start = server_start_at(events, collapse.server, collapse.at);
  KnowledgeOfProxies proxies(events);
  WindowWork work;
  for (const AttemptArrival& arrival : events.arrivals) {
    if (arrival.at > collapse.at)
      break;
    if (arrival.server != collapse.server ||
        arrival.at <= collapse.at - events.meta.collapse_window)
      continue;
    const auto* known = proxies.at(arrival.proxy, arrival.at).find(collapse.server);
    work.all += arrival.work;
    if (known && start && known->started == start->started)
      work.from_notified += arrival.work;
  }
  return work;
}

}  // namespace

void check_drains_kept(const Events& events, RuleReport& report) {
  KnowledgeOfProxies proxies(events);
  for (const AttemptArrival& arrival : events.arrivals) {
    const auto* known = proxies.at(arrival.proxy, arrival.at).find(arrival.server);
    ++report.checked;
    if (!known || known->phase == "in")
      continue;
    if (arrival.at > known->since + events.meta.drain_grace + uncertainty)
      report.add_violation(arrival.proxy + " sent new work to " + arrival.server + " at " +
                           to_text(arrival.at) + ", told at " + to_text(known->since) +
                           " that it is " + known->phase);
  }
}

void check_slow_start_kept(const Events& events, RuleReport& report) {
  report.checked = static_cast<long>(events.server_starts.size());
  for (const Collapse& collapse : events.collapses) {
    const WindowWork work = work_before(events, collapse);
    const bool caused_by_notified = 3 * work.from_notified >= 2 * work.all;
    if (caused_by_notified)
      report.add_violation(collapse.server + " fell over at " + to_text(collapse.at) + ", " +
                           to_text(work.all) + " of work in its last window, " +
                           to_text(work.from_notified) +
                           " of it from umpires that knew of its start");
    else
      ++report.excused;
  }
}

}  // namespace robinhoist::audit
