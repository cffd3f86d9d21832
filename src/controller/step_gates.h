/// Synchronizes the rollout and the runner of migration steps: the runner receives the state of
/// each release, and the rollout receives the gates of the stages.
#pragma once
#include <map>

#include "migration/runner.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::controller {

/// Stores the gates as last set so that only changes are passed to the rollout.
class StepGates {
 public:
  /// `stages` is the number of stages of a release. The rollout and the runner must outlive this
  /// object.
  StepGates(rollout::Rollout& rollout, migration::Runner& runner, int stages)
      : rollout_(rollout), runner_(runner), stages_(stages) {}

  /// Updates both sides; returns true if a gate was set for the first time or has changed.
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
