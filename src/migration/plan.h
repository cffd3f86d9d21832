/// The migration plan of a release: its schema and data steps, read from S-expressions.
///
/// The whole plan is validated before any of its steps runs.
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

/// A schema step is one statement; a data step processes the rows of a table in batches.
enum class StepKind { schema, data };

/// When a step is due: `expand` before the first stage of the rollout, `migrate` before a given
/// stage, `contract` once the release can no longer be rolled back.
enum class Phase { expand, migrate, contract };

const char* to_string(Phase phase);

struct Step {
  std::string id{};
  StepKind kind = StepKind::schema;
  Phase phase = Phase::expand;
  int before_stage = 0;  ///< Migrate steps: the stage that must not start before the step is done.

  /// SQL statements. Those of a data step bind :after and :upto, the key bounds of a batch.
  std::string apply_statement{};
  std::string rollback_statement{};
  /// A query whose first value is non-zero if the step is applied; empty when there is no check.
  std::string check_query{};

  std::string table{};       ///< Data steps: the table to process.
  std::string key_column{};  ///< Data steps: the integer key that determines the order of rows.
  int batch_rows = 0;        ///< Data steps: the number of rows in a batch.

  bool rollback_in_batches = false;    ///< Data steps: the rollback also binds :after and :upto.
  bool rollback_with_release = false;  ///< False: the step stays applied after a rollback.
  bool idempotent = false;             ///< The step may safely run twice.
  /// The target records the marker of the step in the transaction of the step.
  bool transactional = true;

  Duration timeout{};
  Duration lock_timeout{};
  int max_attempts = 1;
  Duration min_retry_delay{};
  Duration max_retry_delay{};
  std::vector<std::string> dependencies{};  ///< Ids of the steps that must run before this one.
  std::string digest{};                     ///< Hash of what the step does, to detect edits.
};

/// All steps of one release.
struct Plan {
  int build = 0;
  std::vector<Step> steps{};  ///< In the order in which they run.
};

/// Reads a plan. Problems are added to the reader, whose finish() throws them. `stages` is the
/// number of stages of the rollout. `applied` maps "build/id" to the digests of the steps already
/// applied; a step with the same id and a different digest is rejected.
Plan read_plan(settings::SexpReader reader, int stages,
               const std::map<std::string, std::string>& applied = {});

}  // namespace robinhoist::migration
