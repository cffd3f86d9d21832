// A day's clients on a loop of their own: they send what the load says, to proxies on loopback, and
// note what came of it.
#pragma once
#include <map>
#include <memory>

#include "day/scenario.h"
#include "http/connection_pool.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::day {

struct ProxyPorts {
  int front = 0, admin = 0;
};

class Clients {
 public:
  Clients(net::Loop& loop, const Scenario& day, unsigned salt,
          const std::vector<ProxyPorts>& proxies, record::Writer& record);
  void begin(TimePoint from);
  bool over() const { return load_.over(); }
  std::size_t open() const { return load_.open(); }
  void proxy(int number, bool up);
  // Second answers and other words that no client asked for, noted at the end.
  void note_unasked();

 private:
  void pull();
  void send(const load::Try& one);
  void ended(const load::Try& one, http::CallResult how, const http::Response& response);
  void begin_trouble(const Fault& trouble);
  void report(int proxy, const std::string& node);
  TimePoint now() const { return TimePoint(loop_.now() - from_); }
  /// A point in time of the load as one of the loop.
  TimePoint loop_time(TimePoint day_time) const { return from_ + day_time.time_since_epoch(); }

  net::Loop& loop_;
  const Scenario& day_;
  load::Load load_;
  std::minstd_rand random_;
  record::Writer& record_;
  std::vector<std::unique_ptr<http::ConnectionPool>> fronts_{}, admins_{};
  std::map<std::int64_t, std::pair<int, http::ConnectionPool::Id>> calls_{};
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint from_{};
  bool begun_ = false;
};

}  // namespace robinhoist::day
