/// HTTP client of a migration target: the database, or its adapter, that the steps run on.
///
/// The target can record the marker of a step in the transaction of the step, and rejects a runner
/// whose lease token is older than one that it has seen. Its protocol:
///
///     POST /v1/steps/run   {token, mark, digest, undo, statement, transactional, table, key,
///                           batch, after, lock_ms}
///                          200 {result: done|more, after, last}
///                          409 fenced: the token is too old
///                          422 {why}: known to have changed nothing
///     POST /v1/steps/mark  {token, mark}   200 {applied, after}
///     POST /v1/query       {statement}     200 {value}
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "http/connection_pool.h"
#include "migration/plan_state_machine.h"

namespace robinhoist::migration {

/// How the run of a step, or of one batch of it, ended.
struct RunOutcome {
  StepResult result;
  std::int64_t cursor = 0;   ///< Data steps: the last key of the batch.
  std::int64_t max_key = 0;  ///< Data steps: the largest key of the table; 0 if not reported.
  std::string reason{};      ///< Why the step was not done.
};

/// The target's answer whether a step is applied.
struct ProbeOutcome {
  ProbeResult applied;
  std::int64_t cursor = 0;  ///< Data steps: the last key recorded in the marker.
  std::string reason{};     ///< Why there is no answer, or the error of the check query.
};

/// Each call runs its handler exactly once, asynchronously; failures of the connection are reported
/// as results too. No handler runs after the Target has been destroyed.
class Target {
 public:
  using RunHandler = std::function<void(const RunOutcome&)>;
  using ProbeHandler = std::function<void(const ProbeOutcome&)>;

  Target(net::Loop& loop, const std::string& address);

  /// Runs a step, or the batch of a data step that begins after `cursor`. `token` is the fencing
  /// token of the lease.
  void run(int build, const Step& step, Direction direction, std::int64_t cursor,
           std::int64_t token, RunHandler handler);
  /// Queries the marker of a transactional step.
  void query_marker(int build, const Step& step, std::int64_t token, ProbeHandler handler);
  /// Runs the check query of a step.
  void run_check(const Step& step, ProbeHandler handler);

 private:
  http::ConnectionPool connections_;
};

}  // namespace robinhoist::migration
