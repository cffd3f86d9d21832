/// Fleet slowdown check of the canary analysis: whether a release slows the whole fleet, including
/// the baseline.
#pragma once
#include <optional>

#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

/// The samples that the check uses, and the load under which they were taken.
struct FleetObservation {
  const SlidingWindow<Sample>& canary;
  const SlidingWindow<Sample>& baseline;
  double load;  ///< requests per second per endpoint of usual size
  TimePoint now;
};

/// A release that slows the whole fleet looks healthy in comparison with the baseline. This check
/// compares the fleet with its own state before the build was offered. It fails if nearly all
/// endpoints answer much more slowly for some seconds and the load does not explain it. Only this
/// proxy's load is known, so a rise of other proxies' traffic during a canary can cause a false
/// alarm.
class FleetSlowdownCheck {
 public:
  FleetSlowdownCheck(bool many_votes, int request_classes)
      : many_votes_(many_votes), request_classes_(request_classes) {}

  /// A new build is offered: drops the reference taken for the previous one.
  void build_offered() { reference_.reset(); }
  /// A stage or phase of the release has begun: the next run may take or check the reference.
  void stage_began() { reference_due_ = true; }

  /// Must be called at every analysis of a release. It fails only once a slowdown has persisted
  /// over several calls.
  CheckResult run(const ReleaseUpdate& release, const FleetObservation& fleet, bool comparable);

 private:
  /// The state of the fleet before the build was offered.
  struct Reference {
    double load;
    double mean_log_objective_ratio;
  };

  void update_reference(const ReleaseUpdate& release, const FleetObservation& fleet);
  bool slower_than_reference(const ReleaseUpdate& release, const FleetObservation& fleet,
                             bool comparable) const;
  double min_answers() const;
  TimePoint window_start(const SlidingWindow<Sample>& samples, TimePoint now) const;

  bool many_votes_;
  int request_classes_;
  bool reference_due_ = false;
  std::optional<Reference> reference_{};
  TimePoint last_healthy_at_ = long_ago;  // the last run in which the fleet was not slower
};

}  // namespace robinhoist
