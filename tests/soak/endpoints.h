/// The simulated endpoints of the soak.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/server.h"
#include "net/loop.h"
#include "observer.h"
#include "plan.h"

namespace robinhoist::soak {

/// Endpoints that behave as planned and share one set of idempotency keys for deduplication.
class Endpoints {
 public:
  Endpoints(net::Loop& loop, const Plan& plan, Observer& observer);

  std::size_t count() const { return servers_.size(); }
  const std::string& name(std::size_t endpoint) const { return plan_.endpoints[endpoint].name; }
  int build(std::size_t endpoint) const { return plan_.endpoints[endpoint].build; }
  int port(std::size_t endpoint) const { return servers_[endpoint]->port(); }

  /// Resets all connections of a randomly chosen endpoint.
  void reset_some();
  /// Closes the idle connections of a randomly chosen endpoint.
  void close_some_idle();

 private:
  void handle(const EndpointPlan& endpoint, const http::ExchangePtr& exchange);
  struct RunOutcome {
    bool has_effect;
    bool fails;  ///< whether it is answered with an error
  };
  void run(const EndpointPlan& endpoint, const http::ExchangePtr& exchange, const Arrival& arrival,
           long attempt_id, RunOutcome outcome);
  bool begin_effect(const Arrival& arrival);
  http::Server& draw_server();
  bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

  net::Loop& loop_;
  net::Timers timers_;
  const Plan& plan_;
  Observer& observer_;
  std::mt19937 random_;
  /// When the request of each key ran; nothing while it is running.
  std::map<std::string, std::optional<TimePoint>> keys_{};
  /// Kept alive, because an exchange is answered when it is destroyed.
  std::vector<http::ExchangePtr> unanswered_{};
  std::vector<std::unique_ptr<http::Server>> servers_{};
};

}  // namespace robinhoist::soak
