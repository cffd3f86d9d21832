/// Retry safety: to which endpoints a request that may already have run can be sent again, and
/// whether its client may retry it. Implements rule 2 of audit/rules.h.
#pragma once
#include <vector>

#include "policy/endpoint_set.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist {

/// Whether a request with these attempts may be sent to `endpoint`. `tick` is the clock's
/// resolution; a deduplication window that ends within one tick counts as over.
bool may_retry_at(int endpoint, const RequestClass& request_class,
                  const std::vector<Attempt>& attempts, const EndpointSet& endpoints, Duration tick,
                  TimePoint now);

/// Whether the client may safely retry a request with these attempts, whichever endpoint serves the
/// retry.
bool client_may_retry(const RequestClass& request_class, const std::vector<Attempt>& attempts);

/// When endpoints begin to forget the idempotency key of the request. A further attempt must be
/// written before; zero if there is no such limit.
TimePoint retry_must_be_written_before(const RequestClass& request_class,
                                       const std::vector<Attempt>& attempts);

}  // namespace robinhoist
