/// Rule 2: where a request that may already have run can go again, and whether its client may retry
/// it. Free functions.
#pragma once
#include <vector>

#include "policy/endpoint_set.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

/// Whether a request with these attempts may be sent to `endpoint`. `tick` is the clock's
/// resolution: a deduplication window that ends within it counts as over.
bool may_retry_at(int endpoint, const RequestClass& request_class,
                  const std::vector<Attempt>& attempts, const EndpointSet& endpoints, Duration tick,
                  TimePoint now);

/// Whether the client may safely retry a request with these attempts, wherever the retry goes.
bool client_may_retry(const RequestClass& request_class, const std::vector<Attempt>& attempts);

}  // namespace robinhoist
