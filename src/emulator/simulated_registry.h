/// The endpoint registry in simulated time, with delayed notifications to the proxies.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/simulation.h"
#include "registry/registry.h"

namespace robinhoist::emulator {

class SimulatedRegistry {
 public:
  explicit SimulatedRegistry(Simulation& simulation) : simulation_(simulation) {}

  /// Delays changes on their way to the registry, and so to the proxies.
  void set_delay(Duration delay) { delay_ = delay; }
  void put(const registry::Endpoint& endpoint) { update_later(endpoint, false); }
  void remove(const std::string& name);
  /// Sends a proxy the complete list.
  void notify_complete(int proxy);

 private:
  using EndpointList = std::shared_ptr<const std::vector<registry::Endpoint>>;

  static EndpointList list_of(const std::map<std::string, registry::Endpoint>& endpoints);
  void update_later(const registry::Endpoint& endpoint, bool removed);
  void apply(registry::Endpoint endpoint, bool removed);
  void notify_changes();
  void send(int proxy, const EndpointList& endpoints, bool complete);

  Simulation& simulation_;
  std::map<std::string, registry::Endpoint> listed_{};
  std::map<std::string, registry::Endpoint> changed_{};  // since the last notification
  Duration delay_{};
  TimePoint last_due_{};
  bool notification_planned_ = false;
};

}  // namespace robinhoist::emulator
