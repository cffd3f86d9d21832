/// Where a proxy learns of releases and casts its votes. One implementation for each kind of
/// release controller.
#pragma once
#include <functional>

#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::proxy {

/// A proxy's vote on a stage of a release.
struct Vote {
  int build;
  int stage;
  Verdict verdict;
};

/// How clients' requests fared since the last report.
struct ClientOutcomes {
  long requests;
  long unsuccessful;  ///< late, rejected or failed
};

class ReleaseSource {
 public:
  virtual ~ReleaseSource() = default;
  using OnUpdate = std::function<void(const ReleaseUpdate&)>;
  using OnVoteResult = std::function<void(Outcome)>;
  /// Follows the newest release from now on; `on_update` runs on the loop. Failures are retried
  /// without end.
  virtual void start(OnUpdate on_update) = 0;
  /// Casts a vote; `on_result` runs exactly once. Timeout, reset or error: the vote may count.
  virtual void vote(const Vote& vote, OnVoteResult on_result) = 0;
  /// Best effort: a lost report is made up for by the next.
  virtual void report_client_outcomes(const ClientOutcomes& outcomes) = 0;
};

}  // namespace robinhoist::proxy
