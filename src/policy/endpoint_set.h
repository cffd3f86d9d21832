/// The endpoints that this proxy knows: what the list says of each, and how warm each is.
#pragma once
#include <vector>

#include "policy/endpoint.h"
#include "time/time_types.h"

namespace robinhoist {

/// What is known of an endpoint from the list and from its recoveries.
struct EndpointState : EndpointInfo {
  bool listed = false;                ///< false: a number that no update has named yet
  TimePoint listed_at = long_ago;     ///< when its present process was first listed
  TimePoint recovered_at = long_ago;  ///< when it answered again after it had seemed lost
};

/// Whether an endpoint runs the newest of the builds that take requests.
enum class BuildGroup { older, newest };

/// Whether an endpoint is in the proxy's own zone.
enum class Locality { remote, local };

/// Owns the list of endpoints. An endpoint's number is its index everywhere in the module; numbers
/// are never reused for another endpoint, and removed endpoints stay known.
class EndpointSet {
 public:
  explicit EndpointSet(const EndpointSettings& settings);

  /// Applies a list update other than a failed one. Returns the endpoints that are another process
  /// than before (another start or build): what was known of the old one says nothing any more.
  std::vector<int> update(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                          TimePoint now);

  /// Notes that an endpoint answered again after it had seemed lost. It counts as just started.
  void mark_recovered(int endpoint, TimePoint now) { endpoints_[endpoint].recovered_at = now; }

  /// All endpoints, by number.
  const std::vector<EndpointState>& all() const { return endpoints_; }

  const EndpointState& operator[](int endpoint) const { return endpoints_[endpoint]; }

  int size() const { return static_cast<int>(endpoints_.size()); }

  /// Whether the list says that the endpoint takes requests.
  bool is_ready(int endpoint) const;

  bool is_local(int endpoint) const { return endpoints_[endpoint].zone == zone_; }

  /// What part of its warm capacity the endpoint has, up to 1.
  double warm_up_factor(int endpoint, TimePoint now) const;

  bool is_warm(int endpoint, TimePoint now) const { return warm_up_factor(endpoint, now) >= 1; }

  /// The newest build with a ready endpoint, -1 for none.
  int newest_build() const { return newest_build_; }

  /// Whether any ready endpoint runs another build than the newest.
  bool has_older_build() const;

  /// The ready endpoints of a group, in an order that is the same at every proxy.
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
