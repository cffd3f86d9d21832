#include "controller/step_gates.h"

namespace robinhoist::controller {

bool StepGates::sync(TimePoint now) {
  report_releases(now);
  const int build = rollout_.release_update(now).build;
  bool changed = false;
  for (int stage = 0; stage < stages_; ++stage) {
    const auto gate = runner_.allows(build, stage) ? rollout::Gate::open : rollout::Gate::closed;
    const auto [known, is_new] = gates_.try_emplace({build, stage}, gate);
    if (!is_new && known->second == gate)
      continue;
    known->second = gate;
    changed = true;
    rollout_.set_gate(build, stage, gate);
  }
  return changed;
}

void StepGates::report_releases(TimePoint now) {
  for (const auto& [build, phase] : rollout_.past_outcomes()) {
    const bool released = phase == ReleasePhase::released;
    migration::ReleaseState past{.stage = stages_ - 1, .offered = true};
    past.rolled_back = !released;
    past.rolling_back = !released;
    past.finalized = released;
    runner_.set_release(build, past);
  }
  const ReleaseUpdate update = rollout_.release_update(now);
  migration::ReleaseState current{.stage = rollout_.active_stage(), .offered = true};
  current.rolling_back = update.phase == ReleasePhase::rolling_back;
  current.rolled_back = update.phase == ReleasePhase::rolled_back;
  current.finalized = update.phase == ReleasePhase::released && !rollout_.can_roll_back(now);
  runner_.set_release(update.build, current);
}

}  // namespace robinhoist::controller
