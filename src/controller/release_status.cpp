#include "controller/release_status.h"

#include <algorithm>

namespace robinhoist::controller {
namespace {

using releases::StageState;
using releases::Status;
using releases::WallMillis;

// The reason in the status of a release that never began. Part of the API.
constexpr const char* skipped = "a newer release took its place before it began";

// The types of conditions in the API.
namespace condition {
constexpr const char* progressing = "Progressing";
constexpr const char* available = "Available";
constexpr const char* rolled_back = "SentBack";
}  // namespace condition

std::chrono::milliseconds to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

releases::Condition progressing(const Status& status, const std::string& missing_step) {
  const bool is_canary = status.phase == ReleasePhase::canary;
  releases::Condition condition{.type = condition::progressing};
  condition.status = is_canary && !status.held && missing_step.empty();
  condition.message = status.held ? status.why : missing_step;
  if (status.held)
    condition.reason = "Held";
  else if (!missing_step.empty())
    condition.reason = "StepsMissing";
  else
    condition.reason = is_canary ? "OnTrial" : "Settled";
  return condition;
}

releases::Condition available(const Status& status) {
  releases::Condition condition{.type = condition::available};
  condition.status = status.machines > 0 && status.machines_up == status.machines;
  condition.message =
      std::to_string(status.machines_up) + " of " + std::to_string(status.machines) + " up";
  if (status.machines == 0)
    condition.reason = "NoMachines";
  else
    condition.reason = status.machines_up == status.machines ? "AllUp" : "SomeDown";
  return condition;
}

releases::Condition rolled_back(const Status& status) {
  releases::Condition condition{.type = condition::rolled_back};
  condition.status =
      status.phase == ReleasePhase::rolling_back || status.phase == ReleasePhase::rolled_back;
  condition.reason = condition.status ? "Back" : "NotSentBack";
  condition.message = condition.status ? status.why : "";
  return condition;
}

}  // namespace

Status ReleaseStatusBuilder::build(const releases::Release& release, TimePoint now,
                                   WallMillis wall_now) const {
  const bool current = is_current(release, now);
  Status status = progress(release, now, wall_now);
  for (const auto& [id, machine] : rollout_.machines()) {
    if (machine.build != release.build)
      continue;
    ++status.machines;
    if (machine.phase == rollout::MachinePhase::up)
      ++status.machines_up;
  }
  if (steps_)
    for (const auto& step : steps_->step_summaries(release.build))
      status.steps.push_back({step.id, step.phase, step.state});
  const auto reason = blocking_reason(release, status, current);
  status.stages = stages(status, current, reason.has_value());
  status.proxies = current ? proxies(release, now, wall_now) : release.status.proxies;
  status.set_condition(progressing(status, reason.value_or("")), wall_now);
  status.set_condition(available(status), wall_now);
  status.set_condition(rolled_back(status), wall_now);
  return status;
}

bool ReleaseStatusBuilder::is_current(const releases::Release& release, TimePoint now) const {
  return release.build == rollout_.release_update(now).build;
}

// Fills in the phase, stage, cap and the reason for the last change.
Status ReleaseStatusBuilder::progress(const releases::Release& release, TimePoint now,
                                      WallMillis wall_now) const {
  const ReleaseUpdate update = rollout_.release_update(now);
  const auto& outcomes = rollout_.past_outcomes();
  const auto outcome = outcomes.find(release.build);
  Status status;
  status.why = release.status.why;
  status.since = wall_now;
  if (release.build == update.build) {
    status.phase = update.phase;
    status.stage = update.stage;
    status.cap = update.cap;
    status.since = wall_now - to_milliseconds(update.since);
    status.held = rollout_.on_hold(now);
  } else if (outcome != outcomes.end()) {
    status.phase = outcome->second;
    status.stage = release.status.stage;
    status.cap = outcome->second == ReleasePhase::released ? 1 : 0;
  } else if (rollout_.queued_build() != release.build && release.build <= rollout_.newest_build()) {
    status.phase = ReleasePhase::rolled_back;
    status.why = skipped;
  }
  status.why = reason_of_last_change(release.build, status.why);
  return status;
}

std::string ReleaseStatusBuilder::reason_of_last_change(int build,
                                                        const std::string& fallback) const {
  const auto& changes = rollout_.changes();
  const auto last = std::find_if(changes.rbegin(), changes.rend(),
                                 [&](const auto& change) { return change.build == build; });
  return last == changes.rend() ? fallback : last->why;
}

int ReleaseStatusBuilder::active_stage(const Status& status, bool current) const {
  return current ? rollout_.active_stage() : status.stage;
}

std::optional<std::string> ReleaseStatusBuilder::blocking_reason(const releases::Release& release,
                                                                 const Status& status,
                                                                 bool current) const {
  const int next = active_stage(status, current) + 1;
  const bool exists = next < static_cast<int>(settings_.stages.size());
  if (!steps_ || !current || !exists || status.phase != ReleasePhase::canary)
    return {};
  return steps_->blocking_reason(release.build, next);
}

std::vector<releases::StageStatus> ReleaseStatusBuilder::stages(const Status& status, bool current,
                                                                bool next_is_blocked) const {
  const bool runs = current && status.phase == ReleasePhase::canary;
  const int active = active_stage(status, current);
  const auto state_of = [&](int stage) {
    if (status.phase == ReleasePhase::released || stage < active)
      return StageState::done;
    if (stage == active && status.phase)
      return runs ? StageState::running : StageState::rolled_back;
    if (runs && stage == active + 1)
      return next_is_blocked ? StageState::waiting_for_steps : StageState::next;
    return StageState::not_reached;
  };
  std::vector<releases::StageStatus> stages;
  stages.reserve(settings_.stages.size());
  for (int stage = 0; stage < static_cast<int>(settings_.stages.size()); ++stage)
    stages.push_back({settings_.stages[stage], settings_.caps[stage], state_of(stage)});
  return stages;
}

std::vector<releases::ProxyStatus> ReleaseStatusBuilder::proxies(const releases::Release& release,
                                                                 TimePoint now,
                                                                 WallMillis wall_now) const {
  std::vector<releases::ProxyStatus> proxies;
  const auto votes = rollout_.standing_votes(now);
  for (const auto& [name, member] : membership_.all()) {
    releases::ProxyStatus proxy{.proxy = name};
    if (const auto vote = votes.find(name); vote != votes.end())
      proxy.vote = vote->second.verdict;
    if (member.acknowledged && member.acknowledged->build == release.build) {
      proxy.cap = member.acknowledged->cap;
      proxy.stage = member.acknowledged->stage;
      proxy.acknowledged_at = wall_now - to_milliseconds(now - member.acknowledged->at);
      // Keeps the previous time: recomputed from two clocks, it could differ by a millisecond,
      // which would count as a change.
      for (const releases::ProxyStatus& before : release.status.proxies)
        if (before.proxy == name && before.cap == proxy.cap && before.stage == proxy.stage)
          proxy.acknowledged_at = before.acknowledged_at;
    }
    proxies.push_back(std::move(proxy));
  }
  return proxies;
}

}  // namespace robinhoist::controller
