/// Interface to a release controller: release updates, votes, and reports of client outcomes. One
/// implementation for each kind of controller.
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

/// Outcomes of clients' requests since the last report.
struct ClientOutcomes {
  long requests;
  long unsuccessful;  ///< late, rejected or failed
};

class ReleaseSource {
 public:
  virtual ~ReleaseSource() = default;
  using OnUpdate = std::function<void(const ReleaseUpdate&)>;
  using OnVoteResult = std::function<void(Outcome)>;
  /// Starts to follow the newest release. `on_update` runs on the loop. Failures are retried
  /// indefinitely.
  virtual void start(OnUpdate on_update) = 0;
  /// Casts a vote. `on_result` runs exactly once. On timeout, reset or error the vote may have been
  /// counted.
  virtual void vote(const Vote& vote, OnVoteResult on_result) = 0;
  /// Best effort: a lost report is not repeated, as the next one supersedes it.
  virtual void report_client_outcomes(const ClientOutcomes& outcomes) = 0;
};

}  // namespace robinhoist::proxy
