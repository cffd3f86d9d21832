// Handling of endpoint and release updates in SimulatedProxy.
#include <algorithm>

#include "emulator/simulated_proxy.h"
#include "registry/endpoint_info.h"

namespace robinhoist::emulator {
namespace {

// The wall clock at the start of the simulation.
constexpr WallTime wall_clock_zero{Duration(1'700'000'000'000'000)};

// Hash of a name that is the same at every proxy (FNV-1a; any such hash would do).
std::uint64_t name_hash(const std::string& name) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const unsigned char byte : name)
    hash = (hash ^ byte) * 1099511628211ULL;
  return hash;
}

}  // namespace

// Indices are not reused; a run is too short for their number to matter.
int SimulatedProxy::upstream_index(const registry::Endpoint& endpoint) {
  const std::string id = endpoint.name + "@" + endpoint.address;
  const auto found = upstream_of_.find(id);
  if (found != upstream_of_.end())
    return found->second;
  if (endpoint.phase == EndpointPhase::removed)
    return no_upstream;
  const int server = outputs_.server_of(endpoint.name);
  if (server < 0)
    return no_upstream;
  upstreams_.push_back({.server = server});
  const int index = static_cast<int>(upstreams_.size()) - 1;
  upstream_of_[id] = index;
  return index;
}

EndpointInfo SimulatedProxy::describe(const registry::Endpoint& endpoint, int index) const {
  return registry::endpoint_info(endpoint, index, deployment_.zone_index(endpoint.zone),
                                 name_hash(endpoint.name),
                                 wall_clock_zero + started_at_.time_since_epoch());
}

// Endpoints that are missing from a complete list have been removed.
void SimulatedProxy::remove_unlisted(const std::vector<bool>& listed) {
  for (std::size_t i = 0; i < upstreams_.size(); ++i)
    if (i >= listed.size() || !listed[i])
      upstreams_[i].phase = EndpointPhase::removed;
}

// Until the first release update, builds above the lowest listed one count as not yet announced.
void SimulatedProxy::assume_lowest_build_released() {
  if (release_known_ || endpoints_.empty())
    return;
  int lowest = endpoints_.begin()->second.build;
  for (const auto& [name, endpoint] : endpoints_)
    lowest = std::min(lowest, endpoint.build);
  policy_->release_updated(ReleaseUpdate{lowest, 0, ReleasePhase::released, 1, Duration{}},
                           local_time());
}

void SimulatedProxy::endpoints_updated(const std::vector<registry::Endpoint>& endpoints,
                                       EndpointUpdateKind kind) {
  if (!up())
    return;
  const bool complete = kind != EndpointUpdateKind::incremental;
  if (complete)
    endpoints_.clear();
  std::vector<EndpointInfo> infos;
  std::vector<bool> listed(upstreams_.size(), false);
  for (const registry::Endpoint& endpoint : endpoints) {
    if (endpoint.phase == EndpointPhase::removed)
      endpoints_.erase(endpoint.name);
    else
      endpoints_[endpoint.name] = endpoint;
    const int index = upstream_index(endpoint);
    if (index == no_upstream)
      continue;
    listed.resize(upstreams_.size(), false);
    listed[index] = true;
    upstreams_[index].phase = endpoint.phase;
    infos.push_back(describe(endpoint, index));
  }
  if (complete)
    remove_unlisted(listed);
  for (Upstream& upstream : upstreams_)
    if (upstream.phase == EndpointPhase::removed && upstream.idle > 0)
      close_idle(upstream);
  assume_lowest_build_released();
  policy_->endpoints_updated(kind, infos, local_time());
  run_policy();
}

void SimulatedProxy::release_updated(const ReleaseUpdate& update) {
  if (!up())
    return;
  release_known_ = true;
  policy_->release_updated(update, local_time());
  run_policy();
}

void SimulatedProxy::vote_answered(Outcome outcome) {
  if (!up())
    return;
  policy_->vote_answered(outcome, local_time());
  run_policy();
}

void SimulatedProxy::wrong_answer_reported(int server) {
  if (!up())
    return;
  const auto found =
      std::find_if(upstreams_.begin(), upstreams_.end(),
                   [server](const Upstream& upstream) { return upstream.server == server; });
  if (found == upstreams_.end())
    return;
  policy_->wrong_answer_reported(static_cast<int>(found - upstreams_.begin()));
  run_policy();
}

}  // namespace robinhoist::emulator
