/// The known endpoints: their entries in the list, their groups, and their warm-up.
#pragma once
#include <vector>

#include "policy/endpoint.h"
#include "time/time_types.h"

namespace robinhoist {

/// An endpoint's entry in the list and its last recovery.
struct EndpointState : EndpointInfo {
  bool listed = false;                ///< false for a number that no update has contained yet
  TimePoint listed_at = long_ago;     ///< when its present process was first listed
  TimePoint recovered_at = long_ago;  ///< when it answered again after its ejection
};

/// Whether an endpoint runs the newest build among the ready endpoints.
enum class BuildGroup { older, newest };

/// Whether an endpoint is in the proxy's own zone.
enum class Locality { remote, local };

/// Owns the list of endpoints. Throughout the module an endpoint's number is its index. Numbers are
/// never reused for another endpoint, and removed endpoints keep their entry.
class EndpointSet {
 public:
  explicit EndpointSet(const EndpointSettings& settings);

  /// Applies a list update other than a failed one. Returns the endpoints that are new or have been
  /// replaced by another process, with another start or build. Observations of the old process do
  /// not apply to the new one.
  std::vector<int> update(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                          TimePoint now);

  /// Records that an endpoint answered again after its ejection. It then counts as just started.
  void mark_recovered(int endpoint, TimePoint now) { endpoints_[endpoint].recovered_at = now; }

  /// All endpoints, by number.
  const std::vector<EndpointState>& all() const { return endpoints_; }

  const EndpointState& operator[](int endpoint) const { return endpoints_[endpoint]; }

  int size() const { return static_cast<int>(endpoints_.size()); }

  /// Whether the endpoint is listed as accepting requests.
  bool is_ready(int endpoint) const;

  bool is_local(int endpoint) const { return endpoints_[endpoint].zone == zone_; }

  /// The endpoint's present capacity as part of its warm capacity, up to 1.
  double warm_up_factor(int endpoint, TimePoint now) const;

  bool is_warm(int endpoint, TimePoint now) const { return warm_up_factor(endpoint, now) >= 1; }

  /// The newest build among the ready endpoints, -1 if there are none.
  int newest_build() const { return newest_build_; }

  /// Whether any ready endpoint runs an older build than the newest.
  bool has_older_build() const;

  /// The ready endpoints of a group, in the same order at all proxies.
  const std::vector<int>& group(BuildGroup build, Locality locality) const;

  /// The group that a ready endpoint belongs to.
  const std::vector<int>& group_of(int endpoint) const;

 private:
  struct ByLocality {
    std::vector<int> remote{};
    std::vector<int> local{};
  };
  std::vector<int>& mutable_group(BuildGroup build, Locality locality);
  BuildGroup build_group(int endpoint) const;
  Locality locality(int endpoint) const;
  void regroup();

  int zone_;
  Duration warm_up_time_;
  double initial_warm_up_factor_;
  bool uses_sizes_;
  std::vector<EndpointState> endpoints_{};
  int newest_build_ = -1;
  ByLocality older_{};
  ByLocality newest_{};
};

}  // namespace robinhoist
