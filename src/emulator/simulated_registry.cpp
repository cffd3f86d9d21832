#include "emulator/simulated_registry.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {

// Changes within this time go out in one notification, as in the registry service.
constexpr Duration batch_time = std::chrono::milliseconds(2);

}  // namespace

void SimulatedRegistry::remove(const std::string& name) {
  registry::Endpoint endpoint;
  endpoint.name = name;
  update_later(endpoint, true);
}

void SimulatedRegistry::update_later(const registry::Endpoint& endpoint, bool removed) {
  Engine& engine = simulation_.engine;
  last_due_ = std::max(last_due_, engine.now() + delay_);
  const auto change = std::make_shared<registry::Endpoint>(endpoint);
  engine.at(last_due_, [this, change, removed] { apply(*change, removed); });
}

void SimulatedRegistry::apply(registry::Endpoint endpoint, bool removed) {
  if (removed) {
    const auto listed = listed_.find(endpoint.name);
    if (listed == listed_.end())
      return;
    endpoint = listed->second;
    endpoint.phase = EndpointPhase::removed;
    listed_.erase(listed);
  } else {
    listed_[endpoint.name] = endpoint;
  }
  changed_[endpoint.name] = endpoint;
  if (notification_planned_)
    return;
  notification_planned_ = true;
  simulation_.engine.in(batch_time, [this] { notify_changes(); });
}

SimulatedRegistry::EndpointList SimulatedRegistry::list_of(
    const std::map<std::string, registry::Endpoint>& endpoints) {
  std::vector<registry::Endpoint> list;
  list.reserve(endpoints.size());
  for (const auto& [name, endpoint] : endpoints)
    list.push_back(endpoint);
  return std::make_shared<const std::vector<registry::Endpoint>>(std::move(list));
}

void SimulatedRegistry::notify_changes() {
  notification_planned_ = false;
  const EndpointList changes = list_of(changed_);
  changed_.clear();
  for (int proxy = 0; proxy < static_cast<int>(simulation_.proxies.size()); ++proxy)
    if (simulation_.proxies[proxy]->up())
      send(proxy, changes, false);
}

void SimulatedRegistry::notify_complete(int proxy) {
  if (simulation_.proxies[proxy]->up())
    send(proxy, list_of(listed_), true);
}

void SimulatedRegistry::send(int proxy, const EndpointList& endpoints, bool complete) {
  if (simulation_.log.notifications)
    record::endpoints_notified(*simulation_.log.notifications, simulation_.engine.now(),
                               proxy_name(proxy), *endpoints, complete);
  SimulatedProxy& to = *simulation_.proxies[proxy];
  simulation_.engine.in(simulation_.network.sample_delay(), [&to, endpoints, complete,
                                                             incarnation = to.incarnation()] {
    if (to.incarnation() == incarnation)
      to.endpoints_updated(
          *endpoints, complete ? EndpointUpdateKind::complete : EndpointUpdateKind::incremental);
  });
}

}  // namespace robinhoist::emulator
