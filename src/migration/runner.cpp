#include "migration/runner.h"

#include <algorithm>

#include "migration/verification.h"
#include "settings/sexp_reader.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;

constexpr Duration min_timer_delay = 1ms;

const char* action_text(const Action& action) {
  switch (action.kind) {
    case ActionKind::run:
      return to_string(action.direction);
    case ActionKind::query_marker:
      return "queries its marker";
    case ActionKind::wait_for_operator:
      return "waits for the operator";
    case ActionKind::run_check:
    case ActionKind::verify:
      break;
  }
  return "checks";
}

}  // namespace

Runner::Runner(net::Loop& loop, const RunnerSettings& settings, journal::Journal& journal,
               Target& target, const log::Logger& log)
    : loop_(loop),
      settings_(settings),
      journal_(journal),
      target_(target),
      log_(log),
      lease_(loop, journal, log, settings.holder, settings.lease_length),
      step_journal_(journal, settings.holder) {
  for (const auto& [build, text] : journal_.plans()) {
    auto reader = settings::SexpReader::from_text(text, "plan of build " + std::to_string(build));
    const Plan plan = read_plan(reader.child("plan"), settings_.stages);
    reader.finish();
    runs_.push_back(rebuild(plan));
  }
  lease_timer_ = loop_.in(0ms, [this] { keep_lease(); });
}

Runner::~Runner() {
  loop_.cancel(lease_timer_);
  loop_.cancel(action_timer_);
}

std::unique_ptr<Runner::PlanRun> Runner::rebuild(const Plan& plan) const {
  auto run = std::make_unique<PlanRun>(PlanRun{PlanStateMachine(plan)});
  try {
    for (const journal::Entry& entry : journal_.entries(plan.build))
      replay(run->machine, entry);
  } catch (const journal::JournalError& error) {
    throw journal::JournalError(journal_.file() + ": " + error.what());
  }
  run->machine.set_lease_held(lease_.is_held());
  return run;
}

Runner::PlanRun* Runner::find(int build) const {
  for (const auto& run : runs_)
    if (run->machine.plan().build == build)
      return run.get();
  return nullptr;
}

int Runner::accept_plan(const std::string& text, const std::string& name,
                        const std::string& operator_name) {
  auto reader = settings::SexpReader::from_text(text, name);
  const Plan plan = read_plan(reader.child("plan"), settings_.stages, journal_.applied_digests());
  const PlanRun* replaced = find(plan.build);
  if (replaced && replaced->machine.is_busy())
    reader.add_problem("a step of the plan that it replaces is running; try again");
  check_applied_steps_remain(plan, reader);
  reader.finish();
  journal_.save_plan(plan.build, text, operator_name);
  crash_point("plan saved");
  store(rebuild(plan));
  log_.info("migration plan accepted", {{"build", log::text(plan.build)},
                                        {"steps", log::text(plan.steps.size())},
                                        {"who", operator_name}});
  return plan.build;
}

void Runner::check_applied_steps_remain(const Plan& plan,
                                        const settings::SexpReader& reader) const {
  const std::string prefix = std::to_string(plan.build) + "/";
  for (const auto& [key, digest] : journal_.applied_digests()) {
    if (!key.starts_with(prefix))
      continue;
    const std::string id = key.substr(prefix.size());
    if (std::none_of(plan.steps.begin(), plan.steps.end(),
                     [&](const Step& step) { return step.id == id; }))
      reader.add_problem("step " + id + " has been applied and is missing now");
  }
}

/// Replaces the run of the same build, or inserts it in the order of builds.
void Runner::store(std::unique_ptr<PlanRun> run) {
  const int build = run->machine.plan().build;
  auto position = std::find_if(runs_.begin(), runs_.end(), [&](const auto& other) {
    return other->machine.plan().build >= build;
  });
  const bool replaces = position != runs_.end() && (*position)->machine.plan().build == build;
  if (replaces)
    *position = std::move(run);
  else
    runs_.insert(position, std::move(run));
}

void Runner::set_release(int build, const ReleaseState& release) {
  if (PlanRun* run = find(build))
    run->machine.set_release(release);
}

std::optional<std::string> Runner::blocking_reason(int build, int stage) const {
  // Steps of earlier releases that are unfinished or must be rolled back run first.
  for (const auto& earlier : runs_) {
    const int earlier_build = earlier->machine.plan().build;
    if (earlier_build < build && !earlier->machine.is_complete())
      return "build " + std::to_string(earlier_build) + " still has steps to run";
  }
  const PlanRun* run = find(build);
  return run ? run->machine.blocking_reason(stage) : std::nullopt;
}

void Runner::crash_point(const char* point) const {
  if (settings_.on_crash_point)
    settings_.on_crash_point(point);
}

void Runner::on_journal_error(const std::string& reason) {
  if (step_journal_.error() != reason)
    log_.error("the journal takes nothing", {{"why", reason}});
  step_journal_.set_error(reason);
  loop_.cancel(action_timer_);
  action_timer_ = loop_.in(settings_.journal_retry_delay, [this] { run_due_actions(); });
}

void Runner::keep_lease() {
  Duration next_renewal = settings_.lease_length / 3;
  try {
    lease_.renew_or_acquire();
  } catch (const journal::JournalError& error) {
    on_journal_error(error.what());
    next_renewal = std::min(next_renewal, settings_.journal_retry_delay);
  }
  crash_point("lease renewed");
  for (const auto& run : runs_)
    run->machine.set_lease_held(lease_.is_held());
  lease_timer_ = loop_.in(next_renewal, [this] { keep_lease(); });
  run_due_actions();
}

void Runner::run_due_actions() {
  if (running_actions_)
    return;
  running_actions_ = true;
  loop_.cancel(action_timer_);
  try {
    // No action starts before all earlier results have been written to the journal.
    step_journal_.flush();
    if (lease_.is_valid())
      run_next_plan();
  } catch (const journal::JournalError& error) {
    on_journal_error(error.what());
  }
  running_actions_ = false;
  if (on_changed)
    on_changed();
}

/// Executes the due actions of the oldest plan that is not complete.
void Runner::run_next_plan() {
  for (const auto& run : runs_) {
    while (auto action = run->machine.next_action(loop_.now()))
      execute(*run, *action);
    if (run->machine.is_complete() && !run->machine.is_busy())
      continue;
    if (auto time = run->machine.next_check_at())
      action_timer_ =
          loop_.at(std::max(*time, loop_.now() + min_timer_delay), [this] { run_due_actions(); });
    break;
  }
}

void Runner::log_action(const PlanRun& run, const Action& action) const {
  const Plan& plan = run.machine.plan();
  log_.info("step", {{"build", log::text(plan.build)},
                     {"step", plan.steps[action.step].id},
                     {"does", action_text(action)},
                     {"attempt", log::text(action.attempt)},
                     {"after", log::text(action.cursor)},
                     {"why", action.reason}});
}

void Runner::execute(PlanRun& run, const Action& action) {
  log_action(run, action);
  switch (action.kind) {
    case ActionKind::run:
      start_step(run, action);
      break;
    case ActionKind::query_marker:
    case ActionKind::run_check:
    case ActionKind::verify:
      probe_step(run, action);
      break;
    case ActionKind::wait_for_operator: {
      const Plan& plan = run.machine.plan();
      log_.warn("a step waits for the operator", {{"build", log::text(plan.build)},
                                                  {"step", plan.steps[action.step].id},
                                                  {"why", action.reason}});
      break;
    }
  }
}

void Runner::start_step(PlanRun& run, const Action& action) {
  const Plan& plan = run.machine.plan();
  run.action_started_at = loop_.now();
  crash_point("before the intent");
  try {
    step_journal_.write_intent(plan, action, lease_.token());
  } catch (const journal::JournalError& error) {
    // A step must not run unless its intent has been written to the journal.
    step_journal_.discard_pending();
    run.machine.on_run_result(action.step, action.direction, StepResult::fenced, action.cursor,
                              error.what(), loop_.now());
    run.machine.set_lease_held(lease_.is_held());
    throw;
  }
  run.machine.replay_intent(action.step, action.direction);
  crash_point("intent written");
  target_.run(plan.build, plan.steps[action.step], action.direction, action.cursor, lease_.token(),
              [this, build = plan.build, action](const RunOutcome& outcome) {
                on_run_outcome(build, action, outcome);
              });
}

void Runner::on_run_outcome(int build, const Action& action, const RunOutcome& outcome) {
  PlanRun* run = find(build);
  if (!run)
    return;
  crash_point("run ended, result not written");
  PlanStateMachine& machine = run->machine;
  const bool has_run = outcome.result == StepResult::done || outcome.result == StepResult::more;
  const std::int64_t cursor = has_run ? outcome.cursor : action.cursor;
  if (outcome.max_key > 0)
    machine.set_max_key(action.step, outcome.max_key);
  machine.on_run_result(action.step, action.direction, outcome.result, cursor, outcome.reason,
                        loop_.now());
  if (outcome.result == StepResult::fenced)
    lease_.lose();
  const Duration took = loop_.now() - run->action_started_at;
  log_.info("step ended", {{"build", log::text(build)},
                           {"step", machine.plan().steps[action.step].id},
                           {"result", to_string(outcome.result)},
                           {"after", log::text(cursor)},
                           {"took_ms", log::text(took.count() / 1000)},
                           {"why", outcome.reason}});
  try {
    step_journal_.write_run_result(machine.plan(), action, outcome.result, cursor, outcome.reason,
                                   lease_.token());
  } catch (const journal::JournalError& error) {
    on_journal_error(error.what());
  }
  crash_point("result written");
  run_due_actions();
}

void Runner::probe_step(const PlanRun& run, const Action& action) {
  const Plan& plan = run.machine.plan();
  const Step& step = plan.steps[action.step];
  const auto handler = [this, build = plan.build, action](const ProbeOutcome& outcome) {
    on_probe_outcome(build, action, outcome);
  };
  if (action.kind == ActionKind::query_marker)
    target_.query_marker(plan.build, step, lease_.token(), handler);
  else
    target_.run_check(step, handler);
}

void Runner::on_probe_outcome(int build, const Action& action, const ProbeOutcome& outcome) {
  PlanRun* run = find(build);
  if (!run)
    return;
  crash_point("probe answered, answer not written");
  run->machine.on_probe_result(action.step, outcome.applied, outcome.cursor, outcome.reason,
                               loop_.now());
  if (outcome.applied != ProbeResult::unknown) {
    try {
      step_journal_.write_probe_result(run->machine.plan(), action, outcome.applied, outcome.cursor,
                                       outcome.reason, lease_.token());
    } catch (const journal::JournalError& error) {
      on_journal_error(error.what());
    }
  }
  crash_point("answer written");
  run_due_actions();
}

void Runner::set_paused(bool paused, const std::string& operator_name, const std::string& reason) {
  for (const auto& run : runs_)
    run->machine.set_paused(paused);
  log_.info(paused ? "steps paused" : "steps resumed", {{"who", operator_name}, {"why", reason}});
  run_due_actions();
}

std::string Runner::retry(int build, const std::string& id, const std::string& operator_name,
                          const std::string& reason) {
  PlanRun* run = find(build);
  const int step = run ? run->machine.find_step(id) : -1;
  if (step < 0)
    return "no such step";
  if (!run->machine.retry(step))
    return "step " + id + " does not wait";
  log_.info("step retry requested", {{"step", id}, {"who", operator_name}, {"why", reason}});
  run_due_actions();
  return "";
}

std::string Runner::skip(int build, const std::string& id, const std::string& operator_name,
                         const std::string& reason) {
  if (reason.empty())
    return "a skip needs a reason";
  PlanRun* run = find(build);
  const int step = run ? run->machine.find_step(id) : -1;
  if (step < 0)
    return "no such step";
  if (!run->machine.skip(step))
    return "step " + id + " is done already, or running";
  try {
    step_journal_.write_skip(run->machine.plan(), step, operator_name, reason, lease_.token());
  } catch (const journal::JournalError& error) {
    on_journal_error(error.what());
  }
  log_.warn("step skipped", {{"step", id}, {"who", operator_name}, {"why", reason}});
  run_due_actions();
  return "";
}

void Runner::on_client_outcomes(long requests, long failed) {
  for (const auto& run : runs_)
    run->machine.on_client_outcomes(requests, failed, loop_.now());
}

void Runner::verify(std::function<void(const std::string& json)> done) {
  auto verification = std::make_shared<Verification>(target_, lease_, std::move(done));
  for (const auto& run : runs_)
    verification->add_plan(run->machine);
  verification->start();
}

bool Runner::is_complete() const {
  return std::all_of(runs_.begin(), runs_.end(), [](const auto& run) {
    return run->machine.is_complete() && !run->machine.is_busy();
  });
}

bool Runner::is_blocked() const {
  return std::any_of(runs_.begin(), runs_.end(), [](const auto& run) {
    const auto& progress = run->machine.progress();
    return std::any_of(progress.begin(), progress.end(),
                       [](const Progress& step) { return step.blocked; });
  });
}

std::vector<StepSummary> Runner::step_summaries(int build) const {
  const PlanRun* run = find(build);
  return run ? summarize_steps(run->machine) : std::vector<StepSummary>{};
}

std::string Runner::status_json() const {
  StatusReport report;
  report.holds_lease = lease_.is_held();
  report.token = lease_.token();
  report.journal_error = step_journal_.error();
  for (const auto& run : runs_)
    report.plans.push_back(&run->machine);
  return to_json(report);
}

}  // namespace robinhoist::migration
