/// The clients of a scenario: they send the requests of its load to proxies on the loopback
/// interface, and record the outcomes.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "day/scenario.h"
#include "http/connection_pool.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::day {

struct ProxyPorts {
  int service = 0, admin = 0;
};

/// Takes part in an event loop of its own.
class Clients {
 public:
  Clients(net::Loop& loop, const Scenario& scenario, unsigned salt,
          const std::vector<ProxyPorts>& proxies, record::Writer& record);
  void start(TimePoint start_time);
  bool over() const { return load_.is_finished(); }
  std::size_t open() const { return load_.open(); }
  void set_proxy_up(int number, bool up);
  /// Records second responses and other unsolicited bytes, which are violations. To be called at
  /// the end.
  void record_unsolicited();

 private:
  void send_due();
  void send(const load::ClientAttempt& client_try);
  void finish(const load::ClientAttempt& client_try, http::CallResult result,
              const http::Response& response);
  void begin_fault(const Fault& fault);
  void report_wrong_answer(int proxy, const std::string& node);
  /// The load's clock starts at the scenario's start.
  TimePoint now() const { return TimePoint(loop_.now() - start_time_); }
  TimePoint loop_time(TimePoint load_time) const {
    return start_time_ + load_time.time_since_epoch();
  }

  net::Loop& loop_;
  const Scenario& scenario_;
  load::LoadGenerator load_;
  std::minstd_rand random_;
  record::Writer& record_;
  std::vector<std::unique_ptr<http::ConnectionPool>> service_pools_{}, admin_pools_{};  // by proxy
  std::map<std::int64_t, std::pair<int, http::ConnectionPool::Id>> calls_{};  // proxy and call
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint start_time_{};
  bool begun_ = false;
};

}  // namespace robinhoist::day
