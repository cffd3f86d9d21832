#include "migration/runner.h"

#include <algorithm>

#include "json/writer.h"
#include "settings/sexp_reader.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;

std::int64_t wall_ms() {
  return net::wall_now().time_since_epoch().count() / 1000;
}
const char* to_string(Direction direction) {
  return direction == Direction::apply ? "apply" : "undo";
}
const char* to_string(ProbeResult answer) {
  return answer == ProbeResult::yes ? "yes" : answer == ProbeResult::no ? "no" : "unknown";
}

void replay(PlanStateMachine& core, const journal::Entry& entry) {
  const int step = core.step(entry.step);
  if (step < 0)
    return;
  const Direction direction = entry.direction == "undo" ? Direction::undo : Direction::apply;
  if (entry.what == "intent")
    return core.replay_intent(step, direction);
  if (entry.what == "skipped")
    return core.replay_skipped(step);
  if (entry.what == "looked")
    return core.replay_looked(step,
                              entry.outcome == "yes"  ? ProbeResult::yes
                              : entry.outcome == "no" ? ProbeResult::no
                                                      : ProbeResult::unknown,
                              entry.after);
  for (StepResult result : {StepResult::done, StepResult::more, StepResult::not_run,
                            StepResult::unknown, StepResult::fenced})
    if (entry.outcome == to_string(result))
      return core.replay_ended(step, direction, result, entry.after);
}

}  // namespace

Runner::Runner(net::Loop& loop, const RunnerSettings& settings, journal::Journal& journal,
               Target& target, const log::Logger& log)
    : loop_(loop), settings_(settings), journal_(journal), target_(target), log_(log) {
  for (auto& [build, text] : journal_.plans()) {
    settings::SexpReader form =
        settings::SexpReader::from_text(text, "plan of build " + std::to_string(build));
    Plan plan = read_plan(form.child("plan"), settings_.stages);
    form.finish();
    runs_.push_back(rebuilt(plan, text));
  }
  lease_timer_ = loop_.in(0ms, [this] { keep_lease(); });
}

Runner::~Runner() {
  loop_.cancel(lease_timer_);
  loop_.cancel(look_);
}

std::unique_ptr<Runner::Run> Runner::rebuilt(const Plan& plan, const std::string& text) const {
  auto run = std::make_unique<Run>(Run{PlanStateMachine(plan), text});
  for (const journal::Entry& entry : journal_.entries(plan.build))
    replay(run->core, entry);
  run->core.lease(token_ > 0);
  return run;
}

Runner::Run* Runner::find(int build) const {
  for (auto& run : runs_)
    if (run->core.plan().build == build)
      return run.get();
  return nullptr;
}

int Runner::take_plan(const std::string& text, const std::string& name, const std::string& who) {
  settings::SexpReader form = settings::SexpReader::from_text(text, name);
  Plan plan = read_plan(form.child("plan"), settings_.stages, journal_.applied());
  Run* old = find(plan.build);
  if (old && old->core.busy())
    form.add_problem("a step of the plan that it replaces is running; try again");
  // What has been touched can't be dropped from the plan.
  for (auto& [step, digest] : journal_.applied()) {
    const std::string mine = std::to_string(plan.build) + "/";
    if (step.rfind(mine, 0) == 0 && std::none_of(plan.steps.begin(), plan.steps.end(),
                                                 [&](auto& s) { return mine + s.id == step; }))
      form.add_problem("step " + step.substr(mine.size()) + " has been applied and is missing now");
  }
  form.finish();
  journal_.keep_plan(plan.build, text, who);
  at("plan kept");
  auto run = rebuilt(plan, text);
  if (old) {
    for (auto& one : runs_)
      if (one.get() == old)
        one = std::move(run);
  } else {
    runs_.push_back(std::move(run));
    std::sort(runs_.begin(), runs_.end(),
              [](auto& a, auto& b) { return a->core.plan().build < b->core.plan().build; });
  }
  log_.info(
      "plan taken",
      {{"build", log::text(plan.build)}, {"steps", log::text(plan.steps.size())}, {"who", who}});
  return plan.build;
}

void Runner::release(int build, const ReleaseState& release) {
  if (Run* run = find(build))
    run->core.release(release);
}

bool Runner::allows(int build, int stage, std::string* why) const {
  // While an earlier release still has steps to undo or to finish, the next does not start.
  for (auto& other : runs_)
    if (other->core.plan().build < build && !other->core.succeeded()) {
      if (why)
        *why = "build " + std::to_string(other->core.plan().build) + " still has steps to run";
      return false;
    }
  const Run* run = find(build);
  return !run || run->core.allows(stage, why);
}

void Runner::at(const char* point) const {
  if (settings_.point)
    settings_.point(point);
}

void Runner::failed(const std::string& why) {
  if (broken_ != why)
    log_.error("the journal takes nothing", {{"why", why}});
  broken_ = why;
  loop_.cancel(look_);
  look_ = loop_.in(settings_.journal_again, [this] { pull(); });
}

void Runner::keep_lease() {
  Duration again = settings_.lease / 3;
  const std::int64_t length = settings_.lease.count() / 1000;
  try {
    if (token_ > 0 && !journal_.renew_lease(settings_.who, token_, wall_ms(), length)) {
      log_.warn("another runner holds the lease", {{"token", log::text(token_)}});
      token_ = 0;
    } else if (token_ == 0) {
      if (auto token = journal_.take_lease(settings_.who, wall_ms(), length)) {
        token_ = *token;
        log_.info("holds the lease", {{"token", log::text(token_)}});
      }
    }
    if (token_ > 0)
      lease_until_ = loop_.now() + settings_.lease;
  } catch (const journal::Failed& bad) {
    failed(bad.what());
    again = std::min(again, settings_.journal_again);
  }
  at("lease kept");
  for (auto& run : runs_)
    run->core.lease(token_ > 0);
  lease_timer_ = loop_.in(again, [this] { keep_lease(); });
  pull();
}

void Runner::write(const Run& run, const Step& step, const char* what, Direction direction,
                   const std::string& outcome, std::int64_t after, int attempt,
                   const std::string& why, const std::string& who) {
  journal::Entry entry;
  entry.build = run.core.plan().build;
  entry.step = step.id;
  entry.what = what;
  entry.direction = to_string(direction);
  entry.outcome = outcome;
  entry.after = after;
  entry.attempt = attempt;
  entry.token = token_;
  entry.digest = step.digest;
  entry.who = who.empty() ? settings_.who : who;
  entry.why = why;
  unwritten_.push_back(std::move(entry));
  while (!unwritten_.empty()) {
    journal_.write(unwritten_.front());
    unwritten_.pop_front();
  }
  broken_.clear();
}

void Runner::pull() {
  if (pulling_)
    return;
  pulling_ = true;
  loop_.cancel(look_);
  try {
    // Nothing new begins while an outcome is not written down.
    while (!unwritten_.empty()) {
      journal_.write(unwritten_.front());
      unwritten_.pop_front();
    }
    // By its own clock too: one that slept through its lease must not act on it.
    if (token_ > 0 && loop_.now() < lease_until_) {
      for (auto& run : runs_) {
        while (auto todo = run->core.next(loop_.now()))
          act(*run, *todo);
        if (!run->core.succeeded() || run->core.busy()) {
          if (auto at = run->core.next_look())
            look_ = loop_.at(std::max(*at, loop_.now() + 1ms), [this] { pull(); });
          break;
        }
      }
    }
  } catch (const journal::Failed& bad) {
    failed(bad.what());
  }
  pulling_ = false;
  if (changed)
    changed();
}

void Runner::act(Run& run, const Action& todo) {
  const Step& step = run.core.plan().steps[todo.step];
  const int build = run.core.plan().build, index = todo.step;
  log_.info("step", {{"build", log::text(build)},
                     {"step", step.id},
                     {"does", todo.act == ActionKind::run             ? to_string(todo.direction)
                              : todo.act == ActionKind::look_for_mark ? "looks for its mark"
                              : todo.act == ActionKind::ask_operator  ? "asks the operator"
                                                                      : "checks"},
                     {"attempt", log::text(todo.attempt)},
                     {"after", log::text(todo.after)},
                     {"why", todo.why}});
  const auto looked = [this, build, index, direction = todo.direction](
                          ProbeResult answer, std::int64_t after, const std::string& why) {
    Run* of = find(build);
    if (!of)
      return;
    at("looked, not written");
    of->core.looked(index, answer, after, why, loop_.now());
    if (answer != ProbeResult::unknown) {
      try {
        write(*of, of->core.plan().steps[index], "looked", direction, to_string(answer), after, 0,
              why);
      } catch (const journal::Failed& bad) {
        failed(bad.what());
      }
    }
    at("looked");
    pull();
  };
  switch (todo.act) {
    case ActionKind::run:
      run.began = loop_.now();
      at("before the intent");
      try {
        write(run, step, "intent", todo.direction, "", todo.after, todo.attempt, "");
      } catch (const journal::Failed& bad) {
        // Without its intent on record it does not run.
        unwritten_.clear();
        run.core.ended(index, todo.direction, StepResult::fenced, todo.after, bad.what(),
                       loop_.now());
        run.core.lease(token_ > 0);
        throw;
      }
      run.core.replay_intent(index, todo.direction);
      at("intent written");
      target_.run(run.core.plan(), step, todo.direction, todo.after, token_,
                  [this, build, index, todo](const Target::Outcome& outcome) {
                    Run* of = find(build);
                    if (!of)
                      return;
                    at("ended, not written");
                    const Step& ended = of->core.plan().steps[index];
                    const StepResult result = outcome.result;
                    const bool ran = result == StepResult::done || result == StepResult::more;
                    const std::int64_t after = ran ? outcome.after : todo.after;
                    const std::string& why = outcome.why;
                    if (outcome.last > 0)
                      of->core.reaches(index, outcome.last);
                    of->core.ended(index, todo.direction, result, after, why, loop_.now());
                    if (result == StepResult::fenced)
                      token_ = 0;
                    log_.info("step ended",
                              {{"build", log::text(build)},
                               {"step", ended.id},
                               {"result", to_string(result)},
                               {"after", log::text(after)},
                               {"took_ms", log::text((loop_.now() - of->began).count() / 1000)},
                               {"why", why}});
                    try {
                      write(*of, ended, "ended", todo.direction, to_string(result), after,
                            todo.attempt, why);
                    } catch (const journal::Failed& bad) {
                      failed(bad.what());
                    }
                    at("ended");
                    pull();
                  });
      break;
    case ActionKind::look_for_mark:
      target_.mark(run.core.plan(), step, token_, looked);
      break;
    case ActionKind::check:
    case ActionKind::verify:
      target_.check(step, looked);
      break;
    case ActionKind::ask_operator:
      log_.warn("a step waits for the operator",
                {{"build", log::text(build)}, {"step", step.id}, {"why", todo.why}});
      break;
  }
}

std::string Runner::pause(bool on, const std::string& who, const std::string& why) {
  for (auto& run : runs_)
    run->core.pause(on);
  log_.info(on ? "steps paused" : "steps resumed", {{"who", who}, {"why", why}});
  pull();
  return "";
}

std::string Runner::retry(int build, const std::string& id, const std::string& who,
                          const std::string& why) {
  Run* run = find(build);
  const int step = run ? run->core.step(id) : -1;
  if (step < 0)
    return "no such step";
  if (!run->core.retry(step))
    return "step " + id + " does not wait";
  log_.info("step tried again", {{"step", id}, {"who", who}, {"why", why}});
  pull();
  return "";
}

std::string Runner::skip(int build, const std::string& id, const std::string& who,
                         const std::string& why) {
  if (why.empty())
    return "a skip needs a reason";
  Run* run = find(build);
  const int step = run ? run->core.step(id) : -1;
  if (step < 0)
    return "no such step";
  if (!run->core.skip(step))
    return "step " + id + " is done already, or running";
  try {
    write(*run, run->core.plan().steps[step], "skipped", Direction::apply, "", 0, 0, why, who);
  } catch (const journal::Failed& bad) {
    failed(bad.what());
  }
  log_.warn("step skipped", {{"step", id}, {"who", who}, {"why", why}});
  pull();
  return "";
}

void Runner::client_outcomes(long requests, long unsuccessful) {
  for (auto& run : runs_)
    run->core.client_outcomes(requests, unsuccessful, loop_.now());
}

bool Runner::succeeded() const {
  return std::all_of(runs_.begin(), runs_.end(),
                     [](auto& run) { return run->core.succeeded() && !run->core.busy(); });
}

bool Runner::stuck() const {
  return std::any_of(runs_.begin(), runs_.end(), [](auto& run) {
    return std::any_of(run->core.progress().begin(), run->core.progress().end(),
                       [](auto& p) { return p.stuck; });
  });
}

// The answers come one by one; nothing that is decided goes by them.
struct Runner::Verification {
  struct Asked {
    int build;
    Step step;
    std::string state{}, why{};
  };
  std::vector<Asked> asked{};
  std::size_t next = 0;
  std::function<void(const std::string&)> done{};
};

void Runner::verify(std::function<void(const std::string&)> done) {
  auto verification = std::make_shared<Verification>();
  verification->done = std::move(done);
  for (auto& run : runs_)
    for (std::size_t i = 0; i < run->core.plan().steps.size(); ++i) {
      const Progress& progress = run->core.progress()[i];
      verification->asked.push_back({run->core.plan().build, run->core.plan().steps[i],
                                     progress.skipped ? "skipped"
                                     : progress.fact == StepState::applied
                                         ? ""
                                         : to_string(progress.fact)});
    }
  verify_next(verification);
}

void Runner::verify_next(const std::shared_ptr<Verification>& verification) {
  for (; verification->next < verification->asked.size(); ++verification->next) {
    Verification::Asked& asked = verification->asked[verification->next];
    if (!asked.state.empty())
      continue;
    const Step& step = asked.step;
    if (step.check.empty() && !step.transactional) {
      asked.state = "nothing can tell";
      continue;
    }
    const auto told = [this, verification, &asked](ProbeResult answer, std::int64_t,
                                                   const std::string& why) {
      asked.state = answer == ProbeResult::yes  ? "holds"
                    : answer == ProbeResult::no ? "does not hold"
                                                : "not answered";
      asked.why = why;
      ++verification->next;
      verify_next(verification);
    };
    if (step.check.empty())
      target_.mark(find(asked.build)->core.plan(), step, token_, told);
    else
      target_.check(step, told);
    return;
  }
  json::Writer out;
  out.begin_object().begin_array("steps");
  for (const Verification::Asked& asked : verification->asked)
    out.begin_object()
        .put("build", asked.build)
        .put("id", asked.step.id)
        .put("state", asked.state)
        .put("why", asked.why)
        .end_object();
  verification->done(out.end_array().end_object().text());
}

namespace {
std::string state_of(const Progress& progress) {
  return progress.skipped ? "skipped"
         : progress.stuck ? "waits for the operator"
                          : to_string(progress.fact);
}
}  // namespace

std::vector<Runner::StepSummary> Runner::steps_of(int build) const {
  std::vector<StepSummary> seen;
  if (const Run* run = find(build))
    for (std::size_t i = 0; i < run->core.plan().steps.size(); ++i) {
      const Step& step = run->core.plan().steps[i];
      seen.push_back({step.id, to_string(step.phase), state_of(run->core.progress()[i])});
    }
  return seen;
}

std::string Runner::status() const {
  json::Writer out;
  out.begin_object()
      .put("holds_lease", token_ > 0)
      .put("token", static_cast<long>(token_))
      .put("journal", broken_.empty() ? "well" : broken_);
  out.begin_array("plans");
  for (auto& run : runs_) {
    const PlanStateMachine& core = run->core;
    out.begin_object()
        .put("build", core.plan().build)
        .put("paused", core.paused())
        .put("busy", core.busy());
    out.put("undoing", core.undoing()).put_ms("throttle_ms", core.throttle()).begin_array("steps");
    for (std::size_t i = 0; i < core.plan().steps.size(); ++i) {
      const Step& step = core.plan().steps[i];
      const Progress& progress = core.progress()[i];
      out.begin_object()
          .put("id", step.id)
          .put("phase", to_string(step.phase))
          .put("before_wave", step.before_stage);
      out.put("state", state_of(progress));
      out.put("verified", progress.verified)
          .put("tries", progress.tries)
          .put("after", static_cast<long>(progress.after));
      if (auto estimate = core.estimate(static_cast<int>(i))) {
        out.put("part", estimate->part);
        if (estimate->left)
          out.put_ms("left_ms", *estimate->left);
      }
      out.put("why", progress.why).end_object();
    }
    out.end_array().end_object();
  }
  return out.end_array().end_object().text();
}

}  // namespace robinhoist::migration
