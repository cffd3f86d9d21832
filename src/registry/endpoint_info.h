/// Endpoints of the registry as the decision module sees them.
#pragma once
#include <cstdint>

#include "policy/endpoint.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::registry {

/// Describes a listed endpoint to the decision module.
///
/// `index` is the host's number for it, `zone` that of its zone, -1 if unknown, which counts as the
/// first; `order` is a digest of its name; `clock_zero` is the wall-clock time of the host's
/// TimePoint zero.
EndpointInfo endpoint_info(const Endpoint& endpoint, int index, int zone, std::uint64_t order,
                           WallTime clock_zero);

}  // namespace robinhoist::registry
