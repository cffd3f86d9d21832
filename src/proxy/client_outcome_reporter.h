/// Reports the outcomes of clients' requests to the controller once a second. Migration steps that
/// run during live traffic are throttled by these reports.
#pragma once
#include "net/loop.h"
#include "proxy/proxy_counters.h"
#include "proxy/release_source.h"

namespace robinhoist::proxy {

class ClientOutcomeReporter {
 public:
  /// The counters and the release source must outlive the reporter.
  ClientOutcomeReporter(net::Loop& loop, ReleaseSource& releases, const ProxyCounters& counters)
      : loop_(loop), releases_(releases), counters_(counters) {}
  ~ClientOutcomeReporter() { loop_.cancel(timer_); }
  ClientOutcomeReporter(const ClientOutcomeReporter&) = delete;
  ClientOutcomeReporter& operator=(const ClientOutcomeReporter&) = delete;

  /// Reports now and then periodically. Nothing is sent for an interval without requests.
  void start() { report(); }

 private:
  void report();

  net::Loop& loop_;
  ReleaseSource& releases_;
  const ProxyCounters& counters_;
  long reported_requests_ = 0;
  long reported_unsuccessful_ = 0;
  net::Loop::Timer timer_ = net::Loop::no_timer;
};

}  // namespace robinhoist::proxy
