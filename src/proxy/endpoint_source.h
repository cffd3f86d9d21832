/// Where a proxy learns of endpoints. One implementation for each kind of endpoint registry.
#pragma once
#include <functional>

#include "registry/registry.h"

namespace robinhoist::proxy {

class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  using OnUpdate = std::function<void(const registry::Update&)>;
  /// Follows the registry from now on. `on_update` runs on the loop, never for an update older than
  /// the last. Failures are retried without end.
  virtual void start(OnUpdate on_update) = 0;
  /// Asks for the complete list soon.
  virtual void refresh() = 0;
};

}  // namespace robinhoist::proxy
