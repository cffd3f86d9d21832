/// Decides when a restarted proxy reports itself as ready to load balancers in front of it.
#pragma once
#include <chrono>

#include "time/time_types.h"

namespace robinhoist::proxy {

class Readiness {
 public:
  void started(TimePoint now) { started_at_ = now; }
  /// The endpoint source has delivered a list since the start, other than a cached one.
  void live_list_received() { has_live_list_ = true; }
  /// By a live list of endpoints; by a cached one if no live one came in time; in the end without
  /// any.
  bool ready(bool knows_endpoints, TimePoint now) const {
    const bool list_is_good = has_live_list_ || now > started_at_ + cached_list_grace;
    return (knows_endpoints && list_is_good) || now > started_at_ + ready_by;
  }

 private:
  static constexpr Duration cached_list_grace = std::chrono::seconds(1);
  // Nine in ten restarted processes have to be ready within 10 s. A proxy that knows no endpoints
  // rejects at once, which is harmless.
  static constexpr Duration ready_by = std::chrono::seconds(8);

  TimePoint started_at_{};
  bool has_live_list_ = false;
};

}  // namespace robinhoist::proxy
