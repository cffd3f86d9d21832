/// HTTP client of a migration target: the database, or its adapter, that the steps run on.
///
/// The target can record a step's marker in the step's own transaction, and rejects a runner whose
/// lease token is older than one that it has seen. Its protocol:
///
///     POST /v1/steps/run   {token, mark, digest, undo, statement, transactional, table, key,
///     batch,
///                           after, lock_ms}
///                          200 {result: done|more, after, last}
///                          409 fenced
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
  std::int64_t max_key = 0;  ///< Data steps: the largest key of the table; 0 when not reported.
  std::string reason{};      ///< Why it was not done.
};

/// What the target says about a step that may have been applied.
struct ProbeOutcome {
  ProbeResult applied;
  std::int64_t cursor = 0;  ///< Data steps: the last key of the batches that are marked.
  std::string reason{};     ///< Why there is no answer.
};

/// Each call runs its handler exactly once, later, with whatever came of it: failures of the
/// connection are results too. No handler runs once the Target is gone.
class Target {
 public:
  using RunHandler = std::function<void(const RunOutcome&)>;
  using ProbeHandler = std::function<void(const ProbeOutcome&)>;

  Target(net::Loop& loop, const std::string& address);

  /// Runs a step, or the batch of a data step that begins after `cursor`. `token` is that of the
  /// lease.
  void run(int build, const Step& step, Direction direction, std::int64_t cursor,
           std::int64_t token, RunHandler handler);
  /// Asks for the marker of a transactional step.
  void query_marker(int build, const Step& step, std::int64_t token, ProbeHandler handler);
  /// Runs the check query of a step.
  void run_check(const Step& step, ProbeHandler handler);

 private:
  http::ConnectionPool connections_;
};

}  // namespace robinhoist::migration
