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
enum class WorkDistribution { exponential, lognormal };
enum class Backoff { none, fixed, exponential };
enum class RetryPolicy { always, within_dedup_window, only_rejected };

struct RequestClass {
  double share = 1;
  Duration work{}, deadline{}, dedup_window{};
  WorkDistribution distribution = WorkDistribution::exponential;
  double coefficient_of_variation = 1;  // of a lognormal spread
  RetryPolicy retry_policy = RetryPolicy::always;
  bool keyed = false;
};

struct Settings {
  double rate = 100;  // requests a second, first tries
  Shape shape = Shape::steady;
  double amplitude = 0;  // of the rate, up and down
  Duration length{};
  std::vector<RequestClass> request_classes{};
  std::vector<double> tenants{1};  // shares
  int proxies = 1, retries = 0;
  double min_patience = 1, max_patience = 1;  // of the expiry, for one try
  Backoff backoff = Backoff::fixed;
  Duration min_backoff{}, max_backoff{};
  double retry_after_compliance = 1;  // share of clients that stay away as long as they are told
  double disconnect_share = 0;        // share of tries that their client gives up in the middle
  Duration failover_delay{};          // the front layer goes on with a dead proxy for so long
};

struct ClientAttempt {
  std::int64_t id = 0, first_id = 0;  // of the request's first try
  int number = 0, request_class = 0, tenant = 0, proxy = 0;
  TimePoint at{}, deadline{};  // sent, and when its client gives this try up
  TimePoint disconnects_at{};  // 0, or when it hangs up before
  Duration work{};
  std::string key{};
  bool poison = false;  // fails wherever it goes
};

enum class ClientResult {
  succeeded,
  rejected,
  failed,
  rejected_before_routing,
  unreached,
  connection_lost,
  timed_out,
  client_disconnected
};
const char* to_string(ClientResult end);

class LoadGenerator {
 public:
  LoadGenerator(const Settings& settings, unsigned salt);

  std::optional<ClientAttempt> next(TimePoint now);
  std::optional<TimePoint> next_at() const;
  // `stay_away`: as a reject told.
  void attempt_ended(std::int64_t id, ClientResult end, Duration stay_away, TimePoint now);
  bool is_finished() const { return arrivals_over_ && scheduled_.empty() && open_.empty(); }
  std::size_t open() const { return open_.size(); }

  // Proxies that die and come back; the front layer learns of it late.
  void set_proxy_up(int number, bool up, TimePoint now);

  // Troubles.
  void set_rate_factor(double times) { rate_factor_ = times; }
  void concentrate_on_proxies(std::vector<int> proxies, double share);
  void set_poison_share(int tenant, double share);  // on top of the usual; 0: over
  void set_retry_abuse(int tenant, int tries, double patience_of_deadline);  // 0 tries: over

 private:
  struct ScheduledAttempt {
    TimePoint at;
    std::int64_t order;
    ClientAttempt attempt;
    bool operator>(const ScheduledAttempt& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  double uniform_sample();
  double rate_at(TimePoint now) const;
  void plan_arrival(TimePoint from);
  ClientAttempt draw_request(TimePoint now);
  void assign_proxy_and_timing(ClientAttempt& one, TimePoint now);

  Settings settings_;
  std::minstd_rand random_;
  TimePoint arrival_at_{};
  bool arrivals_over_ = false;
  std::priority_queue<ScheduledAttempt, std::vector<ScheduledAttempt>, std::greater<>> scheduled_{};
  struct OpenAttempt {
    ClientAttempt attempt;
    TimePoint first_at;
    int retries;
  };
  std::unordered_map<std::int64_t, OpenAttempt> open_{};
  std::unordered_map<std::int64_t, TimePoint> first_at_{};
  std::vector<TimePoint> down_since_;
  std::vector<bool> up_;
  std::vector<int> hot_proxies_{};
  double hot_proxies_share_ = 0, rate_factor_ = 1, poison_share_ = 0, abuse_patience_ = 1;
  int poison_tenant_ = -1, abuse_tenant_ = -1, abuse_tries_ = 0;
  std::int64_t next_id_ = 1;
};

}  // namespace robinhoist::load
