#include "emulator/simulated_controller.h"

#include <algorithm>

#include "record/lines.h"
#include "rollout/names.h"

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;

constexpr Duration heartbeat_interval = 1s;
constexpr Duration lease = 3s;
constexpr Duration retention = 10min;
constexpr Duration submit_retry_interval = 100ms;

}  // namespace

SimulatedController::SimulatedController(Simulation& simulation, SimulatedServers& servers)
    : simulation_(simulation),
      servers_(servers),
      membership_({simulation.day.deployment.proxies, lease, retention}) {}

void SimulatedController::start() {
  const day::Scenario& day = simulation_.day;
  const auto& deployment = day.deployment;
  if (saved_.machines.empty())
    rollout_ = std::make_unique<rollout::Rollout>(deployment.rollout, day.server_slots,
                                                  day.initial_build.number, deployment.proxies);
  else
    rollout_ = std::make_unique<rollout::Rollout>(
        deployment.rollout, day.server_slots, deployment.proxies, saved_, simulation_.engine.now());
  published_version_ = 0;
  logged_changes_ = 0;
  for (const int machine : servers_.listed())
    rollout_->machine_started(machine, simulation_.engine.now());
  decide();
}

void SimulatedController::crash() {
  rollout_.reset();
  simulation_.engine.cancel(check_timer_);
}

void SimulatedController::machine_started(int machine) {
  if (!rollout_)
    return;
  rollout_->machine_started(machine, simulation_.engine.now());
  decide();
}

void SimulatedController::machine_stopped(int machine) {
  if (rollout_)
    rollout_->machine_stopped(machine, simulation_.engine.now());
}

void SimulatedController::decide() {
  if (!rollout_ || unresponsive_ || failing_)
    return;
  const TimePoint now = simulation_.engine.now();
  rollout_->set_electorate({membership_.promotion_electorate(), membership_.rollback_electorate()});
  while (const auto command = rollout_->next_command(now)) {
    servers_.execute(*command);
    if (!rollout_)
      return;
  }
  saved_ = rollout_->state(now);
  log_changes();
  if (rollout_->version() != published_version_) {
    published_version_ = rollout_->version();
    publish();
  }
  simulation_.engine.cancel(check_timer_);
  if (const auto due = rollout_->next_check_at(now))
    check_timer_ = simulation_.engine.at(*due, [this] { decide(); });
}

void SimulatedController::log_changes() {
  const auto& changes = rollout_->changes();
  for (; logged_changes_ < changes.size(); ++logged_changes_) {
    const rollout::Change& change = changes[logged_changes_];
    const char* phase = rollout::api_name(change.phase);
    simulation_.summary.release_changes.push_back(
        {change.at, change.build, change.stage, phase, change.why});
    if (simulation_.log.notifications)
      record::release_changed(*simulation_.log.notifications, change.at, change.build, change.stage,
                              phase, change.why);
  }
}

void SimulatedController::publish() {
  const TimePoint now = simulation_.engine.now();
  last_publish_due_ = std::max(last_publish_due_, now + publish_delay_);
  simulation_.engine.at(last_publish_due_, [this, update = rollout_->release_update(now), now] {
    published_ = update;
    published_at_ = now;
    for (int proxy = 0; proxy < static_cast<int>(simulation_.proxies.size()); ++proxy)
      notify(proxy);
  });
}

void SimulatedController::notify(int proxy) {
  SimulatedProxy& to = *simulation_.proxies[proxy];
  if (!to.up() || !rollout_)
    return;
  const TimePoint now = simulation_.engine.now();
  if (simulation_.log.notifications)
    record::release_notified(*simulation_.log.notifications, now, proxy_name(proxy),
                             published_.build, published_.stage,
                             rollout::api_name(published_.phase), published_.cap);
  ReleaseUpdate update = published_;
  update.since += now - published_at_;
  simulation_.engine.in(simulation_.network.sample_delay(),
                        [&to, update, incarnation = to.incarnation()] {
                          if (to.incarnation() == incarnation)
                            to.release_updated(update);
                        });
}

void SimulatedController::vote(int proxy, int build, int stage, Verdict verdict) {
  ++simulation_.summary.votes;
  const int incarnation = simulation_.proxies[proxy]->incarnation();
  if (!rollout_) {
    answer_vote({proxy, incarnation}, 2 * simulation_.network.sample_delay(),
                Outcome::connect_failure);
    return;
  }
  simulation_.engine.in(
      simulation_.network.sample_delay(), [this, proxy, incarnation, build, stage, verdict] {
        if (rollout_)
          count_vote({proxy, incarnation}, build, stage, verdict);
        else
          answer_vote({proxy, incarnation}, simulation_.network.sample_delay(), Outcome::reset);
      });
}

void SimulatedController::count_vote(Voter voter, int build, int stage, Verdict verdict) {
  const bool counts =
      !failing_ && (!unresponsive_ || simulation_.uniform_sample() < counted_share_);
  const TimePoint now = simulation_.engine.now();
  Outcome outcome = Outcome::error;
  if (counts) {
    heartbeat(voter.proxy);
    outcome = rollout_->vote(proxy_name(voter.proxy), build, stage, verdict, now);
  }
  if (simulation_.log.notifications)
    record::vote_received(*simulation_.log.notifications, now, proxy_name(voter.proxy), build,
                          stage, rollout::api_name(verdict), rollout::api_name(outcome));
  if (unresponsive_) {
    answer_vote(voter, simulation_.day.deployment.vote_timeout, Outcome::timeout);
    return;
  }
  answer_vote(voter, simulation_.network.sample_delay(), outcome);
  decide();
}

void SimulatedController::answer_vote(Voter voter, Duration after, Outcome outcome) {
  simulation_.engine.in(after, [this, voter, outcome] {
    SimulatedProxy& to = *simulation_.proxies[voter.proxy];
    if (to.incarnation() == voter.incarnation)
      to.vote_answered(outcome);
  });
}

void SimulatedController::heartbeat(int proxy) {
  membership_.heartbeat(proxy_name(proxy),
                        std::to_string(simulation_.proxies[proxy]->incarnation()),
                        simulation_.engine.now());
}

void SimulatedController::start_heartbeats() {
  const bool reachable = rollout_ && !unresponsive_ && !failing_;
  for (int proxy = 0; reachable && proxy < static_cast<int>(simulation_.proxies.size()); ++proxy)
    if (simulation_.proxies[proxy]->up())
      heartbeat(proxy);
  const TimePoint now = simulation_.engine.now();
  if (rollout_)
    membership_.set_canary_running(rollout_->release_update(now).phase == ReleasePhase::canary);
  membership_.expire(now);
  simulation_.engine.in(heartbeat_interval, [this] { start_heartbeats(); });
}

void SimulatedController::submit(const day::ScheduledRelease& release) {
  if (!rollout_) {
    simulation_.engine.in(submit_retry_interval, [this, &release] { submit(release); });
    return;
  }
  rollout_->submit(release.build.number, simulation_.engine.now());
  decide();
}

void SimulatedController::stop_answering_votes(double counted_share) {
  unresponsive_ = true;
  counted_share_ = counted_share;
}

void SimulatedController::recover() {
  unresponsive_ = false;
  failing_ = false;
  decide();
}

}  // namespace robinhoist::emulator
