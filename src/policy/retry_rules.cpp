#include "policy/retry_rules.h"

#include <algorithm>

namespace robinhoist {

namespace {

// Whether `endpoint` shares its idempotency keys with the endpoint of an earlier attempt.
bool shares_keys(DedupScope scope, const EndpointState& earlier, const EndpointState& endpoint) {
  switch (scope) {
    case DedupScope::zone:
      return endpoint.zone == earlier.zone;
    case DedupScope::cell:
      return endpoint.cell == earlier.cell;
    case DedupScope::all:
      break;
  }
  return true;
}

}  // namespace

bool may_retry_at(int endpoint, const RequestClass& request_class,
                  const std::vector<Attempt>& attempts, const EndpointSet& endpoints, Duration tick,
                  TimePoint now) {
  if (request_class.idempotency == Idempotency::idempotent)
    return true;
  const auto permits = [&](const Attempt& attempt) {
    if (attempt.never_ran)
      return true;
    if (request_class.idempotency == Idempotency::non_idempotent ||
        now + tick >= attempt.sent + request_class.dedup_window)
      return false;
    return shares_keys(request_class.dedup_scope, endpoints[attempt.endpoint], endpoints[endpoint]);
  };
  return std::all_of(attempts.begin(), attempts.end(), permits);
}

TimePoint retry_must_be_written_before(const RequestClass& request_class,
                                       const std::vector<Attempt>& attempts) {
  TimePoint limit{};
  if (request_class.idempotency != Idempotency::idempotent_with_key)
    return limit;
  for (const Attempt& attempt : attempts) {
    const TimePoint forgotten_at = attempt.sent + request_class.dedup_window;
    if (!attempt.never_ran && (limit == TimePoint{} || forgotten_at < limit))
      limit = forgotten_at;
  }
  return limit;
}

bool client_may_retry(const RequestClass& request_class, const std::vector<Attempt>& attempts) {
  if (request_class.idempotency == Idempotency::idempotent)
    return true;
  if (request_class.idempotency == Idempotency::idempotent_with_key &&
      request_class.dedup_scope == DedupScope::all)
    return true;
  return std::all_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.never_ran; });
}

}  // namespace robinhoist
