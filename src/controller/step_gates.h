/// The exchange between the rollout and the runner of migration steps: the runner learns where each
/// release stands, the rollout which stages its steps allow.
#pragma once
#include <map>

#include "migration/runner.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::controller {

/// Remembers the gates as last set, so that only changes go to the rollout.
class StepGates {
 public:
  /// `stages` is the number of stages of a release. Both must outlive it.
  StepGates(rollout::Rollout& rollout, migration::Runner& runner, int stages)
      : rollout_(rollout), runner_(runner), stages_(stages) {}

  /// Brings both up to date; true when a gate has opened or closed.
  bool sync(TimePoint now);

 private:
  struct StageId {
    int build;
    int stage;
    friend bool operator<(const StageId& a, const StageId& b) {
      return a.build != b.build ? a.build < b.build : a.stage < b.stage;
    }
  };

  void report_releases(TimePoint now);

  rollout::Rollout& rollout_;
  migration::Runner& runner_;
  int stages_;
  std::map<StageId, rollout::Gate> gates_{};  // as last set
};

}  // namespace robinhoist::controller
