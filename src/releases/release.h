/// The release object of the API. Plain data; shares range from 0 to 1.
///
/// Like a Kubernetes object, it has metadata (name, uid, generation, version, labels, finalizers),
/// a spec written by its author and a status written only by the controller. The generation
/// increases with each change of the spec, the version with every change.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "objects/store.h"
#include "policy/release.h"

namespace robinhoist::releases {

using objects::WallMillis;

/// The finalizer that keeps a deleted release until its last machine is gone.
inline constexpr const char* machines_finalizer = "robinhoist/machines-run";

/// One aspect of a release's state, like a Kubernetes condition.
struct Condition {
  std::string type{};
  std::string reason{};
  std::string message{};
  bool status = false;
  WallMillis last_transition{};
  bool operator==(const Condition&) const = default;
};

/// The progress of a release in one stage.
enum class StageState { done, running, next, waiting_for_steps, not_reached, rolled_back };

/// One stage of a release's rollout.
struct StageStatus {
  /// The share of the slots that run the release.
  double share = 0;
  /// The share of a proxy's requests that may go to the release.
  double cap = 0;
  StageState state = StageState::not_reached;
  bool operator==(const StageStatus&) const = default;
};

/// A proxy's vote, and the stage and cap that it has acknowledged.
struct ProxyStatus {
  std::string proxy{};
  Verdict vote = Verdict::none;
  int stage = -1;
  std::optional<double> cap{};
  WallMillis acknowledged_at{};
  bool operator==(const ProxyStatus&) const = default;
};

/// A migration step of the release's plan.
struct StepStatus {
  std::string id{};
  std::string phase{};
  std::string state{};
  bool operator==(const StepStatus&) const = default;
};

/// The state of the rollout of a release.
struct Status {
  /// No value while the release is pending.
  std::optional<ReleasePhase> phase{};
  int stage = 0;
  double cap = 0;
  /// When the phase and stage began.
  WallMillis since{};
  bool held = false;
  /// The reason for the last change.
  std::string why{};
  /// The generation of the spec that this status reflects.
  std::int64_t observed_generation = 0;
  int machines = 0;
  int machines_up = 0;
  std::vector<StageStatus> stages{};
  std::vector<ProxyStatus> proxies{};
  /// In execution order.
  std::vector<StepStatus> steps{};
  std::vector<Condition> conditions{};

  /// Whether the rollout of the release has ended, whatever its outcome.
  bool is_final() const {
    return phase == ReleasePhase::released || phase == ReleasePhase::rolled_back;
  }
  /// Sets a condition. The time of its last transition changes only if its status changes.
  void set_condition(const Condition& condition, WallMillis now);
  bool operator==(const Status&) const = default;
};

/// The object: metadata, spec (build, description) and status.
struct Release {
  std::string name{};
  std::string uid{};
  std::int64_t generation = 1;
  std::int64_t version = 0;
  WallMillis created{};
  /// When deletion was requested; the epoch if it was not.
  WallMillis deletion_requested{};
  objects::Fields labels{};
  std::vector<std::string> finalizers{};
  int build = 0;
  std::string description{};
  Status status{};

  bool is_deleting() const { return deletion_requested > WallMillis{}; }
};

}  // namespace robinhoist::releases
