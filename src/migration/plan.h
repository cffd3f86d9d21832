// A release's plan of schema and data steps, read from S-expressions and checked whole before
// anything runs.
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

enum class StepKind { schema, data };
// expand: before the first stage. migrate: before a named stage. contract: once the release can't
// be rolled back.
enum class Phase { expand, migrate, contract };

struct Step {
  std::string id{};
  StepKind kind = StepKind::schema;
  Phase phase = Phase::expand;
  int before_stage = 0;         // for migrate
  std::string apply{}, undo{};  // statements; a data step's bind :after and :upto
  std::string check{};          // a query whose first value says whether it is applied; empty: none
  std::string table{}, key{};   // data: the rows go by this whole-number key
  int batch = 0;                // data: rows a batch
  bool undo_in_batches = false;  // data: its undo binds :after and :upto too
  bool undo_on_back = false;     // else it is left standing when the release is rolled back
  bool idempotent = false;       // may run twice
  bool transactional = true;     // the target takes its mark in the same transaction
  Duration timeout{}, lock_timeout{};
  int tries = 1;
  Duration pause_least{}, pause_most{};
  std::vector<std::string> needs{};
  std::string digest{};  // of what it does
};

struct Plan {
  int build = 0;
  std::vector<Step> steps{};  // in the order in which they run
};

// What is wrong is left with the form. `stages` is how many there are; `applied` gives the digests
// of steps that have once been applied, by "build/id": the same id with other content is refused.
Plan read_plan(settings::SexpReader form, int stages,
               const std::map<std::string, std::string>& applied = {});
const char* to_string(Phase phase);

}  // namespace robinhoist::migration
