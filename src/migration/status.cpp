#include "migration/status.h"

#include "json/writer.h"

namespace robinhoist::migration {
namespace {

std::string state_text(const Progress& progress) {
  if (progress.skipped)
    return "skipped";
  return progress.blocked ? "waits for the operator" : to_string(progress.state);
}

void put_step(json::Writer& json, const PlanStateMachine& machine, int index) {
  const Step& step = machine.plan().steps[index];
  const Progress& progress = machine.progress()[index];
  json.begin_object()
      .put("id", step.id)
      .put("phase", to_string(step.phase))
      .put("before_wave", step.before_stage)
      .put("state", state_text(progress))
      .put("verified", progress.verified)
      .put("tries", progress.failures)
      .put("after", static_cast<long>(progress.cursor));
  if (auto estimate = machine.estimate(index)) {
    json.put("part", estimate->fraction_done);
    if (estimate->time_left)
      json.put_ms("left_ms", *estimate->time_left);
  }
  json.put("why", progress.reason).end_object();
}

void put_plan(json::Writer& json, const PlanStateMachine& machine) {
  json.begin_object()
      .put("build", machine.plan().build)
      .put("paused", machine.is_paused())
      .put("busy", machine.is_busy())
      .put("undoing", machine.is_rolling_back())
      .put_ms("throttle_ms", machine.batch_pause())
      .begin_array("steps");
  for (std::size_t i = 0; i < machine.plan().steps.size(); ++i)
    put_step(json, machine, static_cast<int>(i));
  json.end_array().end_object();
}

}  // namespace

std::vector<StepSummary> summarize_steps(const PlanStateMachine& machine) {
  std::vector<StepSummary> summaries;
  const std::vector<Step>& steps = machine.plan().steps;
  for (std::size_t i = 0; i < steps.size(); ++i)
    summaries.push_back(
        {steps[i].id, to_string(steps[i].phase), state_text(machine.progress()[i])});
  return summaries;
}

std::string to_json(const StatusReport& report) {
  json::Writer json;
  json.begin_object()
      .put("holds_lease", report.holds_lease)
      .put("token", static_cast<long>(report.token))
      .put("journal", report.journal_error.empty() ? "well" : report.journal_error)
      .begin_array("plans");
  for (const PlanStateMachine* machine : report.plans)
    put_plan(json, *machine);
  return json.end_array().end_object().text();
}

}  // namespace robinhoist::migration
