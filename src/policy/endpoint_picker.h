/// Load balancing: picks the endpoint for an attempt by power of two choices on a load score,
/// within the proxy's subset of the endpoints, and in its own zone unless another is clearly
/// better.
#pragma once
#include <functional>
#include <random>
#include <vector>

#include "policy/endpoint_health.h"
#include "policy/endpoint_set.h"
#include "policy/slow_start_limiter.h"
#include "policy/subset_size.h"
#include "time/time_types.h"

namespace robinhoist {

/// The requirements of an attempt on an endpoint.
struct EndpointRequirements {
  BuildGroup build;
  const std::function<bool(int)>& may_use;  ///< the request's own rules, by endpoint number
  bool avoid_recent_losses;                 ///< whether a single recent loss counts as unhealthy
  Duration max_wait;                        ///< the longest expected wait that is accepted
};

/// Picks endpoints. Stateless; the objects passed to the constructor must outlive it.
class EndpointPicker {
 public:
  EndpointPicker(int proxy_index, const EndpointSet& endpoints, EndpointHealth& health,
                 SlowStartLimiter& slow_start, const SubsetSize& subset_size);

  /// The endpoint to send to, -1 if there is none. If more than two thirds of the candidates are
  /// unhealthy, one of these is picked. The number of draws from `random` depends on the
  /// candidates.
  int pick(const EndpointRequirements& requirements, TimePoint now, std::minstd_rand& random);

 private:
  struct Candidates {
    std::vector<int> local{};
    std::vector<int> remote{};
    std::vector<int> unhealthy{};
    std::size_t healthy = 0;  // endpoints that may receive the attempt
  };
  Candidates find_candidates(const EndpointRequirements& requirements, TimePoint now,
                             std::minstd_rand& random);
  std::vector<int> sample_two(const std::vector<int>& group,
                              const EndpointRequirements& requirements, std::size_t subset_size,
                              TimePoint now, std::minstd_rand& random);
  void scan(const std::vector<int>& group, const EndpointRequirements& requirements,
            std::size_t subset_size, TimePoint now, std::vector<int>& found,
            Candidates& candidates);
  std::size_t subset_start(const std::vector<int>& group) const;
  bool may_receive(int endpoint, const EndpointRequirements& requirements, std::size_t subset_size,
                   TimePoint now);
  bool is_healthy_for(int endpoint, const EndpointRequirements& requirements, TimePoint now);
  int better_of_two(const std::vector<int>& endpoints, TimePoint now, std::minstd_rand& random);
  double load_score(int endpoint, TimePoint now);

  int proxy_index_;
  const EndpointSet& endpoints_;
  EndpointHealth& health_;
  SlowStartLimiter& slow_start_;
  const SubsetSize& subset_size_;
};

}  // namespace robinhoist
