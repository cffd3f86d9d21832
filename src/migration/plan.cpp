#include "migration/plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <optional>
#include <set>

#include "settings/sexp_reader.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

using StepPositions = std::map<std::string, std::size_t>;

constexpr int max_batch_rows = 1000000;
constexpr int max_attempts_allowed = 1000;
constexpr int default_max_attempts = 5;
constexpr Duration default_min_retry_delay = 200ms;
constexpr Duration default_max_retry_delay = 10s;

std::string digest_of(const Step& step) {
  std::string content = to_string(step.phase);
  for (const std::string* part :
       {&step.apply_statement, &step.rollback_statement, &step.table, &step.key_column})
    content += '\0' + *part;
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  char hex[33];
  std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return hex;
}

bool binds(const std::string& statement, const char* parameter) {
  return statement.find(parameter) != std::string::npos;
}

void read_phase(SexpReader& reader, int stages, Step& step) {
  step.phase = reader.enumerator<Phase>(
      "phase",
      {{"expand", Phase::expand}, {"migrate", Phase::migrate}, {"contract", Phase::contract}});
  if (step.phase == Phase::migrate) {
    step.before_stage = reader.integer("before-wave", 0, 1000);
    if (step.before_stage < 1 || step.before_stage >= stages)
      reader.add_problem("before-wave", "wave " + std::to_string(step.before_stage) +
                                            " is not between 1 and " + std::to_string(stages - 1));
  } else if (reader.has("before-wave")) {
    reader.add_problem("before-wave", "is only allowed in a migrate step");
  }
}

void read_statements(SexpReader& reader, Step& step) {
  step.apply_statement = reader.text("apply");
  step.rollback_statement = reader.text("undo", "");
  step.check_query = reader.text("check", "");
  const bool is_contract = step.phase == Phase::contract;
  step.rollback_with_release =
      reader.enumerator<bool>("on-back", {{"keep", false}, {"undo", true}},
                              is_contract ? std::optional<bool>(false) : std::nullopt);
  if (step.rollback_with_release && step.rollback_statement.empty())
    reader.add_problem(
        "undo is missing, but on-back is undo and the release may still be rolled back");
  if (is_contract && step.rollback_with_release)
    reader.add_problem(
        "on-back",
        "must be keep: a contract step runs only when the release can no longer be rolled back");
  step.idempotent = reader.boolean("idempotent", false);
  step.transactional = reader.boolean("transactional", true);
}

void read_batching(SexpReader& reader, Step& step) {
  step.table = reader.text("table");
  step.key_column = reader.text("key");
  step.batch_rows = reader.integer("batch", 1, max_batch_rows);
  if (!step.transactional)
    reader.add_problem("transactional",
                       "must be yes: a data step stores its cursor in its transaction");
  if (!binds(step.apply_statement, ":after") || !binds(step.apply_statement, ":upto"))
    reader.add_problem("apply", "must bind :after and :upto in a data step");
  step.rollback_in_batches = binds(step.rollback_statement, ":upto");
  if (binds(step.rollback_statement, ":after") != step.rollback_in_batches)
    reader.add_problem("undo",
                       "must bind both :after and :upto, to run in batches, or neither of them");
}

void read_retry(SexpReader& reader, Step& step) {
  auto retry = reader.optional_child("retry");
  if (!retry) {
    step.max_attempts = default_max_attempts;
    step.min_retry_delay = default_min_retry_delay;
    step.max_retry_delay = default_max_retry_delay;
    return;
  }
  step.max_attempts = retry->integer("tries", 1, max_attempts_allowed);
  step.min_retry_delay = retry->duration("pause", 0ms, 1h, default_min_retry_delay);
  step.max_retry_delay = retry->duration("pause-most", 0ms, 24h, default_max_retry_delay);
  if (step.max_retry_delay < step.min_retry_delay)
    retry->add_problem("pause-most", "is less than pause");
  retry->finish();
}

Step read_step(SexpReader& reader, int stages) {
  Step step;
  step.id = reader.positional(0, "an id");
  step.kind =
      reader.enumerator<StepKind>("kind", {{"schema", StepKind::schema}, {"data", StepKind::data}});
  read_phase(reader, stages, step);
  read_statements(reader, step);
  if (step.kind == StepKind::data)
    read_batching(reader, step);
  step.timeout = reader.duration("timeout", 1ms, 24h, 30s);
  step.lock_timeout = reader.duration("lock-timeout", 0ms, 1h, 2s);
  read_retry(reader, step);
  if (auto needs = reader.optional_child("needs"))
    for (std::size_t i = 0; i < needs->positional_count(); ++i)
      step.dependencies.push_back(needs->positional(i, ""));
  reader.finish();
  step.digest = digest_of(step);
  return step;
}

/// Steps with a lower rank run first.
int rank_of(const Step& step) {
  constexpr int after_all_stages = 1 << 20;
  switch (step.phase) {
    case Phase::expand:
      return 0;
    case Phase::migrate:
      return step.before_stage;
    case Phase::contract:
      break;
  }
  return after_all_stages;
}

void check_dependencies(const std::vector<Step>& steps, const StepPositions& positions,
                        const std::vector<SexpReader>& readers) {
  for (std::size_t i = 0; i < steps.size(); ++i)
    for (const std::string& dependency : steps[i].dependencies) {
      auto found = positions.find(dependency);
      if (found == positions.end()) {
        readers[i].add_problem("needs " + dependency + ", which is not a step of this plan");
        continue;
      }
      const Step& other = steps[found->second];
      if (rank_of(other) > rank_of(steps[i]))
        readers[i].add_problem("runs in phase " + std::string(to_string(steps[i].phase)) +
                               ", but needs " + dependency + ", which runs later, in phase " +
                               to_string(other.phase));
    }
}

/// Returns the steps in the order in which they run: by phase and stage, then by dependencies, then
/// as written. Reports a dependency cycle and leaves out the steps that depend on it.
std::vector<Step> in_order(const std::vector<Step>& steps, const StepPositions& positions,
                           const std::vector<SexpReader>& readers) {
  std::vector<std::size_t> remaining(steps.size());
  std::iota(remaining.begin(), remaining.end(), std::size_t{0});
  std::stable_sort(remaining.begin(), remaining.end(), [&](std::size_t a, std::size_t b) {
    return rank_of(steps[a]) < rank_of(steps[b]);
  });
  std::vector<Step> ordered;
  std::set<std::string> placed;
  const auto is_placed_or_unknown = [&](const std::string& dependency) {
    return placed.contains(dependency) || !positions.contains(dependency);
  };
  while (!remaining.empty()) {
    auto ready = std::find_if(remaining.begin(), remaining.end(), [&](std::size_t i) {
      return std::all_of(steps[i].dependencies.begin(), steps[i].dependencies.end(),
                         is_placed_or_unknown);
    });
    if (ready == remaining.end()) {
      readers[remaining.front()].add_problem("is part of a dependency cycle, or depends on one");
      break;
    }
    placed.insert(steps[*ready].id);
    ordered.push_back(steps[*ready]);
    remaining.erase(ready);
  }
  return ordered;
}

}  // namespace

const char* to_string(Phase phase) {
  switch (phase) {
    case Phase::expand:
      return "expand";
    case Phase::migrate:
      return "migrate";
    case Phase::contract:
      break;
  }
  return "contract";
}

Plan read_plan(SexpReader reader, int stages, const std::map<std::string, std::string>& applied) {
  Plan plan;
  plan.build = reader.integer("release", 1, 65535);
  std::vector<SexpReader> readers = reader.children("step", 1);
  StepPositions positions;
  for (SexpReader& step_reader : readers) {
    Step step = read_step(step_reader, stages);
    if (!positions.emplace(step.id, plan.steps.size()).second)
      step_reader.add_problem("duplicate step id");
    auto before = applied.find(std::to_string(plan.build) + "/" + step.id);
    if (before != applied.end() && before->second != step.digest)
      step_reader.add_problem("has been applied with different content (digest " + before->second +
                              ", now " + step.digest + "); use a new id");
    plan.steps.push_back(std::move(step));
  }
  reader.finish();
  check_dependencies(plan.steps, positions, readers);
  plan.steps = in_order(plan.steps, positions, readers);
  return plan;
}

}  // namespace robinhoist::migration
