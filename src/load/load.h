// What clients do, free of I/O and clocks: when requests arrive, what they are, over which proxy
// they go, how long a client waits, and when it comes again. An open loop: arrivals are drawn ahead
// of time and do not wait for answers. The host sends what next(now) hands out and says how each
// try ended.
#pragma once
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::load {

enum class Shape { steady, wave, ramp, bursty };
enum class Spread { exponential, lognormal };
enum class Pause { none, fixed, growing };
enum class Repeats { always, within_memory, only_rejected };

struct RequestClass {
  double share = 1;
  Duration work{}, deadline{}, dedup_window{};
  Spread spread = Spread::exponential;
  double cv = 1;  // of a lognormal spread
  Repeats repeats = Repeats::always;
  bool keyed = false;
};

struct Settings {
  double rate = 100;  // requests a second, first tries
  Shape shape = Shape::steady;
  double swing = 0;  // of the rate, up and down
  Duration length{};
  std::vector<RequestClass> request_classes{};
  std::vector<double> tenants{1};  // shares
  int proxies = 1, retries = 0;
  double patience_least = 1, patience_most = 1;  // of the expiry, for one try
  Pause pause = Pause::fixed;
  Duration pause_least{}, pause_most{};
  double heeds = 1;   // share of clients that stay away as long as they are told
  double leaves = 0;  // share of tries that their client gives up in the middle
  Duration notice{};  // the front layer goes on with a dead proxy for so long
};

struct Try {
  std::int64_t id = 0, first = 0;  // of the request's first try
  int number = 0, request_class = 0, tenant = 0, proxy = 0;
  TimePoint at{}, until{};  // sent, and when its client gives this try up
  TimePoint leaves{};       // 0, or when it hangs up before
  Duration work{};
  std::string key{};
  bool poison = false;  // fails wherever it goes
};

enum class End {
  succeeded,
  rejected,
  failed,
  rejected_before_routing,
  unreached,
  broken,
  timed_out,
  left
};
const char* to_string(End end);

class Load {
 public:
  Load(const Settings& settings, unsigned salt);

  std::optional<Try> next(TimePoint now);
  std::optional<TimePoint> next_at() const;
  // `stay_away`: as a reject told.
  void ended(std::int64_t id, End end, Duration stay_away, TimePoint now);
  bool over() const { return arrivals_over_ && due_.empty() && open_.empty(); }
  std::size_t open() const { return open_.size(); }

  // Proxies that die and come back; the front layer learns of it late.
  void proxy(int number, bool up, TimePoint now);

  // Troubles.
  void burst(double times) { burst_ = times; }
  void hot(std::vector<int> proxies, double share);
  void poison(int tenant, double share);                           // on top of the usual; 0: over
  void abuse(int tenant, int tries, double patience_of_deadline);  // 0 tries: over

 private:
  struct Later {
    TimePoint at;
    std::int64_t order;
    Try one;
    bool operator>(const Later& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  double uniform_sample();
  double rate_at(TimePoint now) const;
  void plan_arrival(TimePoint from);
  Try fresh(TimePoint now);
  void address(Try& one, TimePoint now);

  Settings settings_;
  std::minstd_rand random_;
  TimePoint arrival_at_{};
  bool arrivals_over_ = false;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> due_{};
  struct Open {
    Try one;
    TimePoint first_at;
    int retries;
  };
  std::unordered_map<std::int64_t, Open> open_{};
  std::unordered_map<std::int64_t, TimePoint> first_at_{};
  std::vector<TimePoint> dead_since_;
  std::vector<bool> up_;
  std::vector<int> hot_{};
  double hot_share_ = 0, burst_ = 1, poison_share_ = 0, abuse_patience_ = 1;
  int poison_tenant_ = -1, abuse_tenant_ = -1, abuse_tries_ = 0;
  std::int64_t next_id_ = 1;
};

}  // namespace robinhoist::load
