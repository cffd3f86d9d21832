/// Interface to a source of endpoint lists. One implementation for each kind of endpoint registry.
#pragma once
#include <functional>

#include "registry/registry.h"

namespace robinhoist::proxy {

class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  using OnUpdate = std::function<void(const registry::Update&)>;
  /// Starts to follow the registry. `on_update` runs on the loop, never with an update older than
  /// the last one. Failures are retried indefinitely.
  virtual void start(OnUpdate on_update) = 0;
  /// Requests the complete list.
  virtual void refresh() = 0;
};

}  // namespace robinhoist::proxy
