#include "controller/controller.h"

#include <algorithm>
#include <utility>

#include "json/writer.h"
#include "policy/analysis_report.h"

namespace robinhoist::controller {
namespace {

using namespace std::chrono_literals;

constexpr Duration journal_retry_interval = 500ms;
constexpr const char* rollout_key = "rollout";

membership::Settings membership_settings(const Settings& settings) {
  membership::Settings membership = settings.membership;
  membership.expected = settings.proxies;
  return membership;
}

}  // namespace

Controller::Controller(net::Loop& loop, const Settings& settings, const log::Logger& log,
                       ControllerCallbacks callbacks)
    : loop_(loop),
      settings_(settings),
      log_(log),
      callbacks_(std::move(callbacks)),
      membership_(membership_settings(settings)),
      timers_(loop),
      api_(std::make_unique<ApiServer>(loop, settings.server, settings.tokens,
                                       settings.requests_per_s)) {
  settings_.rollout.gates_closed_by_default = !settings.steps_target.empty();
  if (!settings.journal.empty())
    journal_ = std::make_unique<journal::Journal>(settings.journal);
  rollout_ = resume_or_start_rollout();
  status_ = std::make_unique<ReleaseStatusBuilder>(settings_.rollout, *rollout_, membership_);
  objects_ = std::make_unique<ReleaseObjects>(
      ReleaseObjects::Dependencies{loop_, settings_, log_, journal_.get(), *rollout_, *status_,
                                   faults_},
      callbacks_.notified);
  submit_pending_releases();
  if (!settings.steps_target.empty())
    start_steps();

  const auto decide_now = [this] { decide(); };
  monitor_ = std::make_unique<MembershipMonitor>(loop_, log_, membership_, *rollout_, decide_now);
  release_routes_ = std::make_unique<ReleaseRoutes>(ReleaseRoutes::Dependencies{
      loop_, log_, settings_, journal_.get(), *rollout_, *objects_, decide_now});
  proxy_routes_ = std::make_unique<ProxyRoutes>(ProxyRoutes::Dependencies{
      loop_, log_, settings_, membership_, *monitor_, *rollout_, objects_->catalog(),
      objects_->watches(), faults_, runner_.get(), callbacks_.voted, decide_now});
  step_routes_ = std::make_unique<StepRoutes>(
      runner_.get(), [this] { sync_steps(); }, decide_now);
  machine_routes_ = std::make_unique<MachineRoutes>(loop_, *rollout_, decide_now);
  api_->set_routes(routes());

  // The objects exist before the first request is served.
  monitor_->check();
  decide();
}

Controller::~Controller() {
  loop_.cancel(check_timer_);
}

std::unique_ptr<rollout::Rollout> Controller::resume_or_start_rollout() {
  const auto text = journal_ ? journal_->state(rollout_key) : std::nullopt;
  if (!text)
    return std::make_unique<rollout::Rollout>(settings_.rollout, settings_.slots,
                                              settings_.initial_build, settings_.proxies);
  auto resumed =
      std::make_unique<rollout::Rollout>(settings_.rollout, settings_.slots, settings_.proxies,
                                         rollout::decode_state(*text), loop_.now());
  const ReleaseUpdate update = resumed->release_update(loop_.now());
  log_.info("resumed", {{"build", log::text(update.build)},
                        {"stage", log::text(update.stage)},
                        {"phase", robinhoist::to_string(update.phase)}});
  return resumed;
}

void Controller::start_steps() {
  const int stages = static_cast<int>(settings_.rollout.stages.size());
  target_ = std::make_unique<migration::Target>(loop_, settings_.steps_target);
  migration::RunnerSettings runner_settings;
  runner_settings.holder = settings_.name;
  runner_settings.lease_length = settings_.steps_lease;
  runner_settings.stages = stages;
  runner_ = std::make_unique<migration::Runner>(loop_, runner_settings, *journal_, *target_, log_);
  step_gates_.emplace(*rollout_, *runner_, stages);
  status_->set_steps(runner_.get());
  runner_->on_changed = [this] {
    if (sync_steps())
      timers_.in(Duration(0), [this] { decide(); });
    objects_->schedule_update();
  };
}

// Submits releases that were written to the journal but not submitted before the process ended.
void Controller::submit_pending_releases() {
  std::vector<int> builds;
  for (const auto& [name, release] : objects_->catalog().all())
    if (release.build > rollout_->newest_build() && !release.is_deleting())
      builds.push_back(release.build);
  std::sort(builds.begin(), builds.end());
  for (const int build : builds)
    rollout_->submit(build, loop_.now());
}

std::vector<Route> Controller::routes() {
  using Action = ReleaseRoutes::Action;
  using Request = const ApiRequest&;
  return {
      {"GET", "/v1", Role::read, [this](Request r) { list_routes(r); }},
      {"GET", "/v1/releases", Role::read, [this](Request r) { release_routes_->list(r); }},
      {"POST", "/v1/releases", Role::operate, [this](Request r) { release_routes_->create(r); }},
      {"GET", "/v1/releases/{name}", Role::read, [this](Request r) { release_routes_->get(r); }},
      {"PATCH", "/v1/releases/{name}", Role::operate,
       [this](Request r) { release_routes_->patch(r); }},
      {"DELETE", "/v1/releases/{name}", Role::operate,
       [this](Request r) { release_routes_->remove(r); }},
      {"POST", "/v1/releases/{name}/hold", Role::operate,
       [this](Request r) { release_routes_->apply_action(r, Action::hold); }},
      {"POST", "/v1/releases/{name}/resume", Role::operate,
       [this](Request r) { release_routes_->apply_action(r, Action::resume); }},
      {"POST", "/v1/releases/{name}/back", Role::operate,
       [this](Request r) { release_routes_->apply_action(r, Action::roll_back); }},
      {"POST", "/v1/releases/{name}/votes", Role::proxy,
       [this](Request r) { proxy_routes_->vote(r); }},
      {"GET", "/v1/umpires", Role::read, [this](Request r) { proxy_routes_->list(r); }},
      {"POST", "/v1/umpires/{name}/heartbeat", Role::proxy,
       [this](Request r) { proxy_routes_->heartbeat(r); }},
      {"DELETE", "/v1/umpires/{name}", Role::proxy, [this](Request r) { proxy_routes_->leave(r); }},
      {"POST", "/v1/patients", Role::proxy,
       [this](Request r) { proxy_routes_->client_outcomes(r); }},
      {"POST", "/v1/plans", Role::operate, [this](Request r) { step_routes_->submit_plan(r); }},
      {"GET", "/v1/steps", Role::read, [this](Request r) { step_routes_->status(r); }},
      {"POST", "/v1/steps/verify", Role::read, [this](Request r) { step_routes_->verify(r); }},
      {"POST", "/v1/steps/pause", Role::operate, [this](Request r) { step_routes_->pause(r); }},
      {"POST", "/v1/steps/resume", Role::operate, [this](Request r) { step_routes_->resume(r); }},
      {"POST", "/v1/steps/retry", Role::operate, [this](Request r) { step_routes_->retry(r); }},
      {"POST", "/v1/steps/skip", Role::operate, [this](Request r) { step_routes_->skip(r); }},
      {"GET", "/v1/orders", Role::operate,
       [this](Request r) { machine_routes_->fetch_commands(r); }},
      {"POST", "/v1/machines", Role::operate, [this](Request r) { machine_routes_->report(r); }},
  };
}

void Controller::list_routes(const ApiRequest& request) const {
  json::Writer out;
  out.begin_object();
  out.begin_array("routes");
  for (const Route& route : api_->routes())
    out.begin_object().put("method", route.method).put("path", route.path).end_object();
  out.end_array();
  out.end_object();
  request.exchange->answer(http::json_response(200, out.text()));
}

bool Controller::create_release(int build, const std::string& author) {
  return release_routes_->create_release(build, author);
}

void Controller::inject_fault(Fault fault, double counted_votes) {
  faults_.set(fault, counted_votes);
  if (!faults_.active())
    decide();
}

bool Controller::sync_steps() {
  return step_gates_ && step_gates_->sync(loop_.now());
}

std::vector<rollout::Command> Controller::decide_commands(TimePoint now) {
  std::vector<rollout::Command> commands;
  // Gates are updated first, so that a release that begins here sees the state of its steps.
  do {
    sync_steps();
    while (const auto command = rollout_->next_command(now))
      commands.push_back(*command);
  } while (sync_steps());
  return commands;
}

void Controller::decide() {
  loop_.cancel(check_timer_);
  if (faults_.active())
    return;
  const TimePoint now = loop_.now();
  const std::vector<rollout::Command> commands = decide_commands(now);
  unwritten_commands_.insert(unwritten_commands_.end(), commands.begin(), commands.end());
  if (runner_)
    runner_->run_due_actions();
  try {
    objects_->update();
  } catch (const journal::JournalError& error) {
    log_.error("nothing is published or commanded: cannot write to the journal",
               {{"error", error.what()}});
    check_timer_ = loop_.in(journal_retry_interval, [this] { decide(); });
    return;
  }
  execute(std::exchange(unwritten_commands_, {}));
  log_progress(now);
  if (const auto due = rollout_->next_check_at(now))
    check_timer_ = loop_.at(*due, [this] { decide(); });
}

void Controller::execute(const std::vector<rollout::Command>& commands) {
  for (const rollout::Command& command : commands) {
    log_.debug("command", {{"kind", rollout::to_string(command.kind)},
                           {"machine", log::text(command.machine)},
                           {"slot", log::text(command.slot)},
                           {"build", log::text(command.build)}});
    if (callbacks_.execute)
      callbacks_.execute(command);
    else
      machine_routes_->enqueue(command);
  }
}

void Controller::log_progress(TimePoint now) {
  const auto& changes = rollout_->changes();
  for (; logged_changes_ < changes.size(); ++logged_changes_) {
    const rollout::Change& change = changes[logged_changes_];
    log_.info("release", {{"build", log::text(change.build)},
                          {"stage", log::text(change.stage)},
                          {"phase", robinhoist::to_string(change.phase)},
                          {"reason", change.why}});
  }
  const ActiveStage active{rollout_->release_update(now).build, rollout_->active_stage()};
  if (active != logged_stage_ && active.stage >= 0) {
    const auto gate_wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(rollout_->gate_wait());
    log_.info("stage takes traffic", {{"build", log::text(active.build)},
                                      {"stage", log::text(active.stage)},
                                      {"waited_for_steps_ms", log::text(gate_wait.count())}});
  }
  logged_stage_ = active;
}

}  // namespace robinhoist::controller
