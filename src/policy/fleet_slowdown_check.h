/// Fleet slowdown check of the canary analysis: whether a release harms the whole fleet, the
/// baseline included.
#pragma once
#include <optional>

#include "policy/canary_check.h"
#include "policy/cohort_statistics.h"
#include "policy/release.h"
#include "time/time_types.h"

namespace robinhoist {

/// The samples that the test looks at, and the load under which they were taken.
struct FleetObservation {
  const SlidingWindow<Sample>& canary;
  const SlidingWindow<Sample>& baseline;
  double load;  ///< attempts per second for each endpoint's worth of capacity
  TimePoint now;
};

/// A release that slows the whole fleet looks healthy beside the baseline. The check compares the
/// fleet with itself before the offer: it fails if nearly all endpoints answer much slower for some
/// seconds, though no more requests arrive. It errs where other proxies' traffic jumps during a
/// canary and this one's does not.
class FleetSlowdownCheck {
 public:
  FleetSlowdownCheck(bool many_votes, int request_classes)
      : many_votes_(many_votes), request_classes_(request_classes) {}

  /// A new build is offered: what is known of the fleet before the last one is dropped.
  void build_offered() { reference_.reset(); }
  /// A stage or phase of the release has begun: the next run may take the fleet as the reference.
  void stage_began() { reference_due_ = true; }

  /// Call at every analysis of a release; a slowdown must last between the calls.
  CheckResult run(const ReleaseUpdate& release, const FleetObservation& fleet, bool comparable);

 private:
  /// The fleet before the offer.
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
  TimePoint healthy_at_ = long_ago;  // when the fleet was last not slower
};

}  // namespace robinhoist
