/// Counters of a proxy since its start, for the status report, log lines and the client outcome
/// report.
#pragma once
#include <array>
#include <cstddef>

#include "policy/request.h"

namespace robinhoist::proxy {

/// No value ever decreases. Every accepted request ends as exactly one of succeeded, rejected,
/// failed or client_disconnected.
struct ProxyCounters {
  long accepted = 0;
  long rejected_before_routing = 0;
  /// Requests that were read after their client had closed its connection; not accepted.
  long dropped = 0;
  long succeeded = 0;
  /// Succeeded requests that were answered after the latency objective of their class.
  long late = 0;
  long rejected = 0;
  long failed = 0;
  long client_disconnected = 0;
  long attempts = 0;
  long further_attempts = 0;  ///< retries and hedged requests
  std::array<long, outcome_count> attempts_by_outcome{};
  long cancellations = 0;
  long votes = 0;
  long endpoint_updates = 0;
  long release_updates = 0;
  long wrong_answer_reports = 0;
  /// Reports about an earlier build of the endpoint; not passed on to the canary analysis.
  long outdated_wrong_answer_reports = 0;
};

}  // namespace robinhoist::proxy
