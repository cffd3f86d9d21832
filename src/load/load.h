/// Open-loop load generator, free of I/O and clocks.
///
/// Draws when requests arrive, their class and work, the proxy that each is sent to, the client's
/// deadline and its retries. Arrivals are drawn ahead of time and do not wait for responses. The
/// host sends the attempts that next() returns, and reports the result of each with
/// attempt_ended().
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
  double coefficient_of_variation = 1;  // of a lognormal distribution
  RetryPolicy retry_policy = RetryPolicy::always;
  bool keyed = false;  // requests carry an idempotency key
};

struct Settings {
  double rate = 100;  // requests per second, retries not included
  Shape shape = Shape::steady;
  double amplitude = 0;  // of the variation, as a share of the rate
  Duration length{};
  std::vector<RequestClass> request_classes{};
  std::vector<double> tenants{1};  // shares
  int proxies = 1, retries = 0;
  double min_patience = 1,
         max_patience = 1;  // client's time-out for an attempt, relative to the deadline
  Backoff backoff = Backoff::fixed;
  Duration min_backoff{}, max_backoff{};
  double retry_after_compliance = 1;  // share of clients that observe Retry-After
  double disconnect_share = 0;        // share of attempts whose client disconnects early
  Duration failover_delay{};          // time for which a proxy that is down still gets requests
};

struct ClientAttempt {
  std::int64_t id = 0, first_id = 0;  // first_id: of the request's first attempt
  int number = 0;                     // of retries before this attempt
  int request_class = 0, tenant = 0, proxy = 0;
  TimePoint at{}, deadline{};  // when it is sent, and when its client times out
  TimePoint disconnects_at{};  // when its client disconnects early; 0: it does not
  Duration work{};
  std::string key{};
  bool poison = false;  // fails at every server
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
const char* to_string(ClientResult result);

class LoadGenerator {
 public:
  LoadGenerator(const Settings& settings, unsigned salt);

  std::optional<ClientAttempt> next(TimePoint now);
  std::optional<TimePoint> next_at() const;
  /// `retry_after`: the delay that a rejection asked for.
  void attempt_ended(std::int64_t id, ClientResult result, Duration retry_after, TimePoint now);
  bool is_finished() const { return arrivals_over_ && scheduled_.empty() && open_.empty(); }
  std::size_t open() const { return open_.size(); }

  /// Marks a proxy as up or down. A proxy that goes down still gets requests for failover_delay.
  void set_proxy_up(int number, bool up, TimePoint now);

  // Injected faults.
  void set_rate_factor(double factor) { rate_factor_ = factor; }
  void concentrate_on_proxies(std::vector<int> proxies, double share);
  /// Adds requests that fail at every server, as a share of all requests. tenant -1: of any tenant;
  /// share 0: ends the fault.
  void set_poison_share(int tenant, double share);
  /// Lets a tenant retry at once, ignoring backoff and Retry-After. retries 0: ends
  /// the fault.
  void set_retry_abuse(int tenant, int retries, double patience);

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
  void schedule_arrival(TimePoint from);
  ClientAttempt draw_request(TimePoint now);
  void assign_proxy_and_timing(ClientAttempt& attempt, TimePoint now);

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
  int poison_tenant_ = -1, abuse_tenant_ = -1, abuse_retries_ = 0;
  std::int64_t next_id_ = 1;
};

}  // namespace robinhoist::load
