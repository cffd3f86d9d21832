/// The migration plan of a release: its schema and data steps, read from S-expressions.
///
/// A plan is validated as a whole before any of its steps runs.
#pragma once
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::settings {
class SexpReader;
}

namespace robinhoist::migration {

/// A schema step is one statement; a data step goes over the rows of a table in batches.
enum class StepKind { schema, data };

/// When a step is due: `expand` before the first stage of the rollout, `migrate` before a named
/// stage, `contract` once the release cannot be rolled back any more.
enum class Phase { expand, migrate, contract };

const char* to_string(Phase phase);

struct Step {
  std::string id{};
  StepKind kind = StepKind::schema;
  Phase phase = Phase::expand;
  int before_stage = 0;  ///< Of a migrate step: the stage that waits for it.

  /// SQL statements. Those of a data step bind :after and :upto, the bounds of a batch's keys.
  std::string apply_statement{};
  std::string rollback_statement{};
  /// A query whose first value says whether the step is applied; empty when there is none.
  std::string check_query{};

  std::string table{};       ///< Data steps: the table that is gone through,
  std::string key_column{};  ///< in the order of this integer key,
  int batch_rows = 0;        ///< so many rows at a time.

  bool rollback_in_batches = false;    ///< Data steps: the rollback binds :after and :upto too.
  bool rollback_with_release = false;  ///< Otherwise the step stays when the release rolls back.
  bool idempotent = false;             ///< It may run twice.
  /// The target records the step's marker in the same transaction as the step.
  bool transactional = true;

  Duration timeout{};
  Duration lock_timeout{};
  int max_attempts = 1;
  Duration min_retry_delay{};
  Duration max_retry_delay{};
  std::vector<std::string> dependencies{};  ///< Ids of the steps that must run before it.
  std::string digest{};                     ///< Of what the step does, to detect edits.
};

/// All steps of one release.
struct Plan {
  int build = 0;
  std::vector<Step> steps{};  ///< In the order in which they run.
};

/// Reads a plan. Problems are added to the reader; its finish() throws them. `stages` is the number
/// of stages of the rollout. `applied` holds the digests of steps that have been applied before, by
/// "build/id": a step with the same id and another digest is rejected.
Plan read_plan(settings::SexpReader reader, int stages,
               const std::map<std::string, std::string>& applied = {});

}  // namespace robinhoist::migration
