/// Reports to the controller, once a second, how clients' requests fared: migration steps that run
/// beside live traffic back off by it.
#pragma once
#include "net/loop.h"
#include "proxy/proxy_counters.h"
#include "proxy/release_source.h"

namespace robinhoist::proxy {

class ClientOutcomeReporter {
 public:
  /// The counters and the release source outlive the reporter.
  ClientOutcomeReporter(net::Loop& loop, ReleaseSource& releases, const ProxyCounters& counters)
      : loop_(loop), releases_(releases), counters_(counters) {}
  ~ClientOutcomeReporter() { loop_.cancel(timer_); }
  ClientOutcomeReporter(const ClientOutcomeReporter&) = delete;
  ClientOutcomeReporter& operator=(const ClientOutcomeReporter&) = delete;

  /// Reports now and then periodically; an interval without requests sends nothing.
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
