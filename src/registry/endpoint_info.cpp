#include "registry/endpoint_info.h"

#include <algorithm>

namespace robinhoist::registry {
namespace {

// The decision module interprets a start time of zero as "long ago", so a start exactly at time
// zero is moved by one microsecond.
TimePoint start_of(const Endpoint& endpoint, WallTime clock_zero) {
  if (endpoint.started == WallTime{})
    return {};
  const TimePoint started(endpoint.started - clock_zero);
  return started == TimePoint{} ? TimePoint(Duration(1)) : started;
}

}  // namespace

EndpointInfo endpoint_info(const Endpoint& endpoint, int index, int zone, std::uint64_t order,
                           WallTime clock_zero) {
  EndpointInfo info{};
  info.endpoint = index;
  info.zone = std::max(0, zone);
  info.cell = endpoint.cell;
  info.build = endpoint.build;
  info.phase = endpoint.phase;
  info.size = endpoint.size;
  info.started = start_of(endpoint, clock_zero);
  info.sort_key = order;
  return info;
}

}  // namespace robinhoist::registry
