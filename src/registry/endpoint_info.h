/// Conversion of the registry's endpoints to input of the decision module.
#pragma once
#include <cstdint>

#include "policy/endpoint.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::registry {

/// Converts a listed endpoint.
///
/// `index` identifies the endpoint to the decision module. `zone` is the index of its zone; -1
/// stands for an unknown zone, which is treated as the first. `order` is a hash of its name.
/// `clock_zero` is the wall-clock time of the caller's TimePoint zero.
EndpointInfo endpoint_info(const Endpoint& endpoint, int index, int zone, std::uint64_t order,
                           WallTime clock_zero);

}  // namespace robinhoist::registry
