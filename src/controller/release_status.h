/// The status of a release object, as the rollout, the proxies and the migration steps stand.
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

/// Builds statuses from what it refers to, which must outlive it. Decides nothing.
class ReleaseStatusBuilder {
 public:
  ReleaseStatusBuilder(const rollout::Settings& settings, const rollout::Rollout& rollout,
                       const membership::Membership& membership)
      : settings_(settings), rollout_(rollout), membership_(membership) {}

  /// The runner of migration steps; without one, no stage waits for steps.
  void set_steps(const migration::Runner* steps) { steps_ = steps; }

  /// `wall_now` is the same moment as `now`.
  releases::Status build(const releases::Release& release, TimePoint now,
                         releases::WallMillis wall_now) const;

 private:
  bool is_present(const releases::Release& release, TimePoint now) const;
  releases::Status progress(const releases::Release& release, TimePoint now,
                            releases::WallMillis wall_now) const;
  std::string reason_of_last_change(int build, const std::string& fallback) const;
  // Why the stage that follows has to wait for migration steps; nothing when it does not.
  std::optional<std::string> blocking_reason(const releases::Release& release,
                                             const releases::Status& status, bool present) const;
  std::vector<releases::StageStatus> stages(const releases::Status& status, bool present,
                                            bool next_is_blocked) const;
  // The stage that takes traffic, or took it last.
  int active_stage(const releases::Status& status, bool present) const;
  std::vector<releases::ProxyStatus> proxies(const releases::Release& release, TimePoint now,
                                             releases::WallMillis wall_now) const;

  const rollout::Settings& settings_;
  const rollout::Rollout& rollout_;
  const membership::Membership& membership_;
  const migration::Runner* steps_ = nullptr;
};

}  // namespace robinhoist::controller
