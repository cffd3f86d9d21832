#include "policy/endpoint_set.h"

#include <algorithm>
#include <tuple>

#include "time/units.h"

namespace robinhoist {

EndpointSet::EndpointSet(const EndpointSettings& settings)
    : zone_(settings.zone),
      warm_up_time_(settings.warm_up_time),
      initial_warm_up_factor_(settings.initial_warm_up_factor),
      uses_sizes_(settings.uses_sizes) {}

std::vector<int> EndpointSet::update(EndpointUpdateKind kind,
                                     const std::vector<EndpointInfo>& entries, TimePoint now) {
  if (kind != EndpointUpdateKind::incremental)
    for (EndpointState& endpoint : endpoints_)
      endpoint.phase = EndpointPhase::removed;
  std::vector<int> replaced;
  for (const EndpointInfo& entry : entries) {
    if (entry.endpoint >= size())
      endpoints_.resize(entry.endpoint + 1);
    EndpointState& endpoint = endpoints_[entry.endpoint];
    if (!endpoint.listed || endpoint.started != entry.started || endpoint.build != entry.build) {
      replaced.push_back(entry.endpoint);
      endpoint.recovered_at = long_ago;
      endpoint.listed_at = now;
    }
    static_cast<EndpointInfo&>(endpoint) = entry;
    endpoint.listed = true;
    if (!uses_sizes_ || entry.size <= 0)
      endpoint.size = 1;
  }
  regroup();
  return replaced;
}

void EndpointSet::regroup() {
  std::vector<int> ready;
  for (int endpoint = 0; endpoint < size(); ++endpoint)
    if (is_ready(endpoint))
      ready.push_back(endpoint);
  std::sort(ready.begin(), ready.end(), [this](int a, int b) {
    return std::tie(endpoints_[a].sort_key, a) < std::tie(endpoints_[b].sort_key, b);
  });
  newest_build_ = -1;
  for (int endpoint : ready)
    newest_build_ = std::max(newest_build_, endpoints_[endpoint].build);
  older_ = {};
  newest_ = {};
  for (int endpoint : ready)
    mutable_group(build_group(endpoint), locality(endpoint)).push_back(endpoint);
}

bool EndpointSet::is_ready(int endpoint) const {
  return endpoints_[endpoint].listed && endpoints_[endpoint].phase == EndpointPhase::ready;
}

// An endpoint that answers again after its ejection has probably been restarted, even if the list
// does not show the restart yet. Treating it as just started avoids overloading a cold server. If
// only the network was interrupted, the cost is a few seconds of slow start.
double EndpointSet::warm_up_factor(int number, TimePoint now) const {
  const EndpointState& endpoint = endpoints_[number];
  const TimePoint listed_start = endpoint.started == TimePoint{} ? long_ago : endpoint.started;
  const TimePoint started = std::max(listed_start, endpoint.recovered_at);
  if (now >= started + warm_up_time_)
    return 1;
  const double progress = std::max(0.0, to_seconds(now - started) / to_seconds(warm_up_time_));
  return initial_warm_up_factor_ + (1 - initial_warm_up_factor_) * progress;
}

bool EndpointSet::has_older_build() const {
  return !older_.remote.empty() || !older_.local.empty();
}

const std::vector<int>& EndpointSet::group(BuildGroup build, Locality locality) const {
  const ByLocality& groups = build == BuildGroup::newest ? newest_ : older_;
  return locality == Locality::local ? groups.local : groups.remote;
}

std::vector<int>& EndpointSet::mutable_group(BuildGroup build, Locality locality) {
  ByLocality& groups = build == BuildGroup::newest ? newest_ : older_;
  return locality == Locality::local ? groups.local : groups.remote;
}

const std::vector<int>& EndpointSet::group_of(int endpoint) const {
  return group(build_group(endpoint), locality(endpoint));
}

BuildGroup EndpointSet::build_group(int endpoint) const {
  return endpoints_[endpoint].build == newest_build_ ? BuildGroup::newest : BuildGroup::older;
}

Locality EndpointSet::locality(int endpoint) const {
  return is_local(endpoint) ? Locality::local : Locality::remote;
}

}  // namespace robinhoist
