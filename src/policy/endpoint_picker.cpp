#include "policy/endpoint_picker.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

namespace {
constexpr std::size_t min_subset_to_sample = 64;  // subsets up to this size are scanned instead
constexpr std::size_t max_samples = 16;
constexpr std::size_t max_unhealthy_samples = 2;
constexpr double remote_penalty = 1.3;  // an endpoint of another zone must be better by this factor
constexpr double slow_tolerance = 1.3;  // latencies up to this multiple of the typical are not slow
constexpr double prior_results = 3;     // results at typical latency, added to the recent ones

int random_element(const std::vector<int>& values, std::minstd_rand& random) {
  const double point = uniform_sample(random) * static_cast<double>(values.size());
  return values[static_cast<std::size_t>(point)];
}

}  // namespace

EndpointPicker::EndpointPicker(int proxy_index, const EndpointSet& endpoints,
                               EndpointHealth& health, SlowStartLimiter& slow_start,
                               const SubsetSize& subset_size)
    : proxy_index_(proxy_index),
      endpoints_(endpoints),
      health_(health),
      slow_start_(slow_start),
      subset_size_(subset_size) {}

int EndpointPicker::pick(const EndpointRequirements& requirements, TimePoint now,
                         std::minstd_rand& random) {
  const Candidates candidates = find_candidates(requirements, now, random);
  if (candidates.unhealthy.size() > 2 * candidates.healthy)
    return better_of_two(candidates.unhealthy, now, random);
  const int local = better_of_two(candidates.local, now, random);
  const int remote = better_of_two(candidates.remote, now, random);
  if (local < 0 || remote < 0)
    return local < 0 ? remote : local;
  const bool remote_is_better =
      load_score(local, now) > remote_penalty * load_score(remote, now) + 1;
  return remote_is_better ? remote : local;
}

EndpointPicker::Candidates EndpointPicker::find_candidates(const EndpointRequirements& requirements,
                                                           TimePoint now,
                                                           std::minstd_rand& random) {
  const std::size_t subset_size = subset_size_.endpoints(now);
  Candidates candidates;
  for (Locality locality : {Locality::local, Locality::remote}) {
    const std::vector<int>& group = endpoints_.group(requirements.build, locality);
    std::vector<int>& found = locality == Locality::local ? candidates.local : candidates.remote;
    found = sample_two(group, requirements, subset_size, now, random);
    if (found.size() == 2) {
      candidates.healthy += group.size();
      continue;
    }
    found.clear();
    scan(group, requirements, subset_size, now, found, candidates);
  }
  return candidates;
}

// All proxies sort a group in the same order, and their subsets start at evenly spread points, so
// that every endpoint belongs to about the same number of subsets.
std::size_t EndpointPicker::subset_start(const std::vector<int>& group) const {
  return static_cast<std::size_t>(golden_ratio_point(proxy_index_) *
                                  static_cast<double>(group.size()));
}

// Samples a large subset until two suitable endpoints are found. The result is distributed as that
// of a scan, but the cost does not grow with the fleet. Returns fewer than two if it gives up.
std::vector<int> EndpointPicker::sample_two(const std::vector<int>& group,
                                            const EndpointRequirements& requirements,
                                            std::size_t subset_size, TimePoint now,
                                            std::minstd_rand& random) {
  std::vector<int> found;
  const std::size_t length = std::min(subset_size, group.size());
  if (length <= min_subset_to_sample)
    return found;
  const std::size_t start = subset_start(group);
  std::size_t unhealthy = 0;
  for (std::size_t i = 0; i < max_samples && unhealthy < max_unhealthy_samples; ++i) {
    const auto offset =
        static_cast<std::size_t>(uniform_sample(random) * static_cast<double>(length));
    const int endpoint = group[(start + offset) % group.size()];
    if (!may_receive(endpoint, requirements, subset_size, now))
      continue;
    if (!is_healthy_for(endpoint, requirements, now))
      ++unhealthy;
    else if (health_.expected_wait(endpoint, now) <= requirements.max_wait &&
             (found.empty() || found.front() != endpoint))
      found.push_back(endpoint);
    if (found.size() == 2)
      break;
  }
  return found;
}

// Scans a group from the start of the subset until the subset has its size in healthy endpoints.
void EndpointPicker::scan(const std::vector<int>& group, const EndpointRequirements& requirements,
                          std::size_t subset_size, TimePoint now, std::vector<int>& found,
                          Candidates& candidates) {
  const std::size_t start = subset_start(group);
  std::size_t healthy = 0;
  for (std::size_t i = 0; i < group.size() && healthy < subset_size; ++i) {
    const int endpoint = group[(start + i) % group.size()];
    if (!may_receive(endpoint, requirements, subset_size, now))
      continue;
    if (!is_healthy_for(endpoint, requirements, now)) {
      candidates.unhealthy.push_back(endpoint);
      continue;
    }
    ++healthy;
    if (health_.expected_wait(endpoint, now) <= requirements.max_wait)
      found.push_back(endpoint);
  }
  candidates.healthy += healthy;
}

bool EndpointPicker::may_receive(int endpoint, const EndpointRequirements& requirements,
                                 std::size_t subset_size, TimePoint now) {
  return requirements.may_use(endpoint) && slow_start_.allows(endpoint, subset_size, now) &&
         !health_.is_ejected(endpoint, now);
}

bool EndpointPicker::is_healthy_for(int endpoint, const EndpointRequirements& requirements,
                                    TimePoint now) {
  return health_.is_healthy(endpoint, now) &&
         !(requirements.avoid_recent_losses && health_.consecutive_losses(endpoint) > 0);
}

int EndpointPicker::better_of_two(const std::vector<int>& endpoints, TimePoint now,
                                  std::minstd_rand& random) {
  if (endpoints.empty())
    return -1;
  const int first = random_element(endpoints, random);
  if (endpoints.size() == 1)
    return first;
  int second = first;
  while (second == first)
    second = random_element(endpoints, random);
  return load_score(second, now) < load_score(first, now) ? second : first;
}

// Own attempts in flight, weighted by the endpoint's size, warm-up and recent latencies.
double EndpointPicker::load_score(int endpoint, TimePoint now) {
  const RecentResults& recent = health_.recent_results(endpoint, now);
  double slowness =
      std::max(1.0, (prior_results + recent.latency_ratios) /
                        (prior_results + static_cast<double>(recent.count)) / slow_tolerance);
  // A load report includes other proxies' requests. Only half of them are counted, because the
  // report is delayed and all proxies would react to it alike.
  const auto own = static_cast<double>(health_.in_flight(endpoint));
  const LoadReport load = health_.fresh_load(endpoint, now);
  const double others = std::max(0.0, load.in_flight.value_or(own) - own) / 2;
  slowness *= 1 + load.utilization.value_or(0) / 2;
  return (own + 1 + others) * slowness /
         (endpoints_[endpoint].size * endpoints_.warm_up_factor(endpoint, now));
}

}  // namespace robinhoist
