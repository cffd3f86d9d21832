#include "migration/plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>

#include "settings/sexp_reader.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;
using settings::SexpReader;

std::string digest_of(const Step& step) {
  std::string all = to_string(step.phase);
  for (const std::string* part : {&step.apply, &step.undo, &step.table, &step.key})
    all += '\0' + *part;
  const XXH128_hash_t sum = XXH3_128bits(all.data(), all.size());
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(sum.high64),
                static_cast<unsigned long long>(sum.low64));
  return text;
}

Step read_step(SexpReader& reader, int stages) {
  Step step;
  step.id = reader.positional(0, "an id");
  step.kind =
      reader.enumerator<StepKind>("kind", {{"schema", StepKind::schema}, {"data", StepKind::data}});
  step.phase = reader.enumerator<Phase>(
      "phase",
      {{"expand", Phase::expand}, {"migrate", Phase::migrate}, {"contract", Phase::contract}});
  if (step.phase == Phase::migrate) {
    step.before_stage = reader.integer("before-wave", 0, 1000);
    if (step.before_stage < 1 || step.before_stage >= stages)
      reader.add_problem("before-wave", "wave " + std::to_string(step.before_stage) +
                                            " is none of those between 1 and " +
                                            std::to_string(stages - 1));
  } else if (reader.has("before-wave")) {
    reader.add_problem("before-wave", "has a meaning for a migrate step only");
  }
  step.apply = reader.text("apply");
  step.undo = reader.text("undo", "");
  step.check = reader.text("check", "");
  step.undo_on_back = reader.enumerator<bool>(
      "on-back", {{"keep", false}, {"undo", true}},
      step.phase == Phase::contract ? std::optional<bool>(false) : std::nullopt);
  if (step.undo_on_back && step.undo.empty())
    reader.add_problem("undo is missing: a wave may still go back, and on-back says undo");
  if (step.phase == Phase::contract && step.undo_on_back)
    reader.add_problem("on-back", "a contract step runs only when the release can't be sent back");
  step.idempotent = reader.boolean("idempotent", false);
  step.transactional = reader.boolean("transactional", true);
  if (step.kind == StepKind::data) {
    step.table = reader.text("table");
    step.key = reader.text("key");
    step.batch = reader.integer("batch", 1, 1000000);
    if (!step.transactional)
      reader.add_problem("transactional", "a data step keeps its cursor in its transaction");
    if (step.apply.find(":after") == std::string::npos ||
        step.apply.find(":upto") == std::string::npos)
      reader.add_problem("apply", "of a data step must bind :after and :upto");
    const bool after = step.undo.find(":after") != std::string::npos;
    step.undo_in_batches = step.undo.find(":upto") != std::string::npos;
    if (after != step.undo_in_batches)
      reader.add_problem("undo",
                         "must bind both :after and :upto, then it runs in batches, or neither");
  }
  step.timeout = reader.duration("timeout", 1ms, 24h, 30s);
  step.lock_timeout = reader.duration("lock-timeout", 0ms, 1h, 2s);
  if (auto retry = reader.optional_child("retry")) {
    step.tries = retry->integer("tries", 1, 1000);
    step.pause_least = retry->duration("pause", 0ms, 1h, 200ms);
    step.pause_most = retry->duration("pause-most", 0ms, 24h, 10s);
    if (step.pause_most < step.pause_least)
      retry->add_problem("pause-most", "is less than pause");
    retry->finish();
  } else {
    step.tries = 5;
    step.pause_least = 200ms;
    step.pause_most = 10s;
  }
  if (auto needs = reader.optional_child("needs"))
    for (std::size_t i = 0; i < needs->positional_count(); ++i)
      step.needs.push_back(needs->positional(i, ""));
  reader.finish();
  step.digest = digest_of(step);
  return step;
}

int rank(const Step& step) {
  return step.phase == Phase::expand    ? 0
         : step.phase == Phase::migrate ? step.before_stage
                                        : 1 << 20;
}

}  // namespace

const char* to_string(Phase phase) {
  static const char* const words[] = {"expand", "migrate", "contract"};
  return words[static_cast<int>(phase)];
}

Plan read_plan(SexpReader reader, int stages, const std::map<std::string, std::string>& applied) {
  Plan plan;
  plan.build = reader.integer("release", 1, 65535);
  std::vector<SexpReader> forms = reader.children("step", 1);
  std::map<std::string, std::size_t> place;
  for (SexpReader& one : forms) {
    Step step = read_step(one, stages);
    if (!place.emplace(step.id, plan.steps.size()).second)
      one.add_problem("a second step of that id");
    auto before = applied.find(std::to_string(plan.build) + "/" + step.id);
    if (before != applied.end() && before->second != step.digest)
      one.add_problem("has been applied with other content (digest " + before->second + ", now " +
                      step.digest + "): give it a new id");
    plan.steps.push_back(std::move(step));
  }
  reader.finish();
  for (std::size_t i = 0; i < plan.steps.size(); ++i)
    for (const std::string& need : plan.steps[i].needs) {
      auto at = place.find(need);
      if (at == place.end())
        forms[i].add_problem("needs " + need + ", which is no step of this plan");
      else if (rank(plan.steps[at->second]) > rank(plan.steps[i]))
        forms[i].add_problem("is a " + std::string(to_string(plan.steps[i].phase)) +
                             " step and needs " + need + ", which runs later, in " +
                             to_string(plan.steps[at->second].phase));
    }
  // The order: phase and stage first, then needs, then as written. What can't be placed hangs in a
  // cycle.
  std::vector<Step> ordered;
  std::set<std::string> placed;
  std::vector<std::size_t> left(plan.steps.size());
  for (std::size_t i = 0; i < left.size(); ++i)
    left[i] = i;
  std::stable_sort(left.begin(), left.end(), [&](std::size_t a, std::size_t b) {
    return rank(plan.steps[a]) < rank(plan.steps[b]);
  });
  while (!left.empty()) {
    auto ready = std::find_if(left.begin(), left.end(), [&](std::size_t i) {
      return std::all_of(plan.steps[i].needs.begin(), plan.steps[i].needs.end(),
                         [&](const std::string& need) {
                           return placed.count(need) > 0 || place.count(need) == 0;
                         });
    });
    if (ready == left.end()) {
      forms[left.front()].add_problem("needs itself, by way of the steps that it needs");
      break;
    }
    placed.insert(plan.steps[*ready].id);
    ordered.push_back(plan.steps[*ready]);
    left.erase(ready);
  }
  plan.steps = std::move(ordered);
  return plan;
}

}  // namespace robinhoist::migration
