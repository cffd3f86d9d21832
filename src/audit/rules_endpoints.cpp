#include <map>
#include <set>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

// The endpoints that a proxy has been notified of. advance() applies notifications up to a time.
class NotifiedEndpoints {
 public:
  struct Endpoint {
    std::string phase;
    TimePoint since;
    long started;
  };

  NotifiedEndpoints(const Events& events, std::string proxy)
      : events_(events), proxy_(std::move(proxy)) {}

  void advance(TimePoint to) {
    const TimePoint started = process_started_at(events_, proxy_, to);
    if (started != process_start_) {
      process_start_ = started;
      endpoints_.clear();
    }
    const auto notifications = events_.endpoint_notifications.find(proxy_);
    if (notifications == events_.endpoint_notifications.end())
      return;
    for (; next_ < notifications->second.size() && notifications->second[next_].at <= to; ++next_)
      if (notifications->second[next_].at >= started)
        apply(notifications->second[next_]);
  }

  /// Null: the proxy has not been notified of it.
  const Endpoint* find(const std::string& name) const {
    const auto found = endpoints_.find(name);
    return found == endpoints_.end() ? nullptr : &found->second;
  }

 private:
  void apply(const EndpointNotification& notification) {
    std::set<std::string> listed;
    for (const NotifiedEndpoint& notified : notification.endpoints) {
      listed.insert(notified.name);
      Endpoint& endpoint = endpoints_[notified.name];
      if (endpoint.phase != notified.phase)
        endpoint = {notified.phase, notification.at, notified.started};
      endpoint.started = notified.started;
    }
    if (!notification.complete)
      return;
    for (auto& [name, endpoint] : endpoints_)
      if (listed.count(name) == 0 && endpoint.phase != removed)
        endpoint = {removed, notification.at, endpoint.started};
  }

  static constexpr const char* removed = "out";  // as in the event log

  const Events& events_;
  std::string proxy_;
  std::size_t next_ = 0;
  TimePoint process_start_{Duration(-1)};
  std::map<std::string, Endpoint> endpoints_{};
};

class NotifiedEndpointsByProxy {
 public:
  explicit NotifiedEndpointsByProxy(const Events& events) : events_(events) {}

  const NotifiedEndpoints& at(const std::string& proxy, TimePoint time) {
    NotifiedEndpoints& endpoints = proxies_.try_emplace(proxy, events_, proxy).first->second;
    endpoints.advance(time);
    return endpoints;
  }

 private:
  const Events& events_;
  std::map<std::string, NotifiedEndpoints> proxies_{};
};

// Work that arrived at a server in the window before it collapsed.
struct WindowWork {
  Duration all{};
  Duration from_notified{};  // from proxies that were notified of its start
};

WindowWork work_before(const Events& events, const Collapse& collapse) {
  const ServerStart* start = server_start_at(events, collapse.server, collapse.at);
  NotifiedEndpointsByProxy proxies(events);
  WindowWork work;
  for (const AttemptArrival& arrival : events.arrivals) {
    if (arrival.at > collapse.at)
      break;
    if (arrival.server != collapse.server ||
        arrival.at <= collapse.at - events.meta.collapse_window)
      continue;
    const auto* notified = proxies.at(arrival.proxy, arrival.at).find(collapse.server);
    work.all += arrival.work;
    if (notified && start && notified->started == start->started)
      work.from_notified += arrival.work;
  }
  return work;
}

}  // namespace

void check_drains_kept(const Events& events, RuleReport& report) {
  NotifiedEndpointsByProxy proxies(events);
  for (const AttemptArrival& arrival : events.arrivals) {
    const auto* notified = proxies.at(arrival.proxy, arrival.at).find(arrival.server);
    ++report.checked;
    if (!notified || notified->phase == "in")
      continue;
    if (arrival.at > notified->since + events.meta.drain_grace + uncertainty)
      report.add_violation(arrival.proxy + " sent new work to " + arrival.server + " at " +
                           to_text(arrival.at) + ", notified at " + to_text(notified->since) +
                           " that it is " + notified->phase);
  }
}

void check_slow_start_kept(const Events& events, RuleReport& report) {
  report.checked = static_cast<long>(events.server_starts.size());
  for (const Collapse& collapse : events.collapses) {
    const WindowWork work = work_before(events, collapse);
    const bool caused_by_notified = 3 * work.from_notified >= 2 * work.all;
    if (caused_by_notified)
      report.add_violation(collapse.server + " collapsed at " + to_text(collapse.at) + ", " +
                           to_text(work.all) + " of work in the window before, " +
                           to_text(work.from_notified) +
                           " of it from proxies that were notified of its start");
    else
      ++report.excused;
  }
}

}  // namespace robinhoist::audit
