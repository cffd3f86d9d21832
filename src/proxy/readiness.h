/// Determines when a restarted proxy reports itself as ready to the load balancers in front of it.
#pragma once
#include <chrono>

#include "time/time_types.h"

namespace robinhoist::proxy {

class Readiness {
 public:
  void started(TimePoint now) { started_at_ = now; }
  /// The endpoint source has delivered a list since the start. A cached list does not count.
  void live_list_received() { has_live_list_ = true; }
  /// Ready with a live list of endpoints; with a cached list if no live one arrived within
  /// `cached_list_grace`; without any endpoints after `max_startup_time`.
  bool ready(bool knows_endpoints, TimePoint now) const {
    const bool list_is_good = has_live_list_ || now > started_at_ + cached_list_grace;
    return (knows_endpoints && list_is_good) || now > started_at_ + max_startup_time;
  }

 private:
  static constexpr Duration cached_list_grace = std::chrono::seconds(1);
  // Nine in ten restarted processes have to be ready within 10 s. A proxy without endpoints rejects
  // requests immediately, which is harmless.
  static constexpr Duration max_startup_time = std::chrono::seconds(8);

  TimePoint started_at_{};
  bool has_live_list_ = false;
};

}  // namespace robinhoist::proxy
