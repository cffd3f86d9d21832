/// Builds the status of a release object from the rollout, the proxies and the migration steps.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "migration/runner.h"
#include "releases/release.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::controller {

/// Reads the objects that it refers to, which must outlive it, and does not change them.
class ReleaseStatusBuilder {
 public:
  ReleaseStatusBuilder(const rollout::Settings& settings, const rollout::Rollout& rollout,
                       const membership::Membership& membership)
      : settings_(settings), rollout_(rollout), membership_(membership) {}

  /// Sets the runner of migration steps. Without one, no stage waits for steps.
  void set_steps(const migration::Runner* steps) { steps_ = steps; }

  /// `now` and `wall_now` are the same instant.
  releases::Status build(const releases::Release& release, TimePoint now,
                         releases::WallMillis wall_now) const;

 private:
  bool is_current(const releases::Release& release, TimePoint now) const;
  releases::Status progress(const releases::Release& release, TimePoint now,
                            releases::WallMillis wall_now) const;
  std::string reason_of_last_change(int build, const std::string& fallback) const;
  // The reason why the next stage has to wait for migration steps; no value if it does not.
  std::optional<std::string> blocking_reason(const releases::Release& release,
                                             const releases::Status& status, bool current) const;
  std::vector<releases::StageStatus> stages(const releases::Status& status, bool current,
                                            bool next_is_blocked) const;
  // The stage that receives traffic, or received it last.
  int active_stage(const releases::Status& status, bool current) const;
  std::vector<releases::ProxyStatus> proxies(const releases::Release& release, TimePoint now,
                                             releases::WallMillis wall_now) const;

  const rollout::Settings& settings_;
  const rollout::Rollout& rollout_;
  const membership::Membership& membership_;
  const migration::Runner* steps_ = nullptr;
};

}  // namespace robinhoist::controller
