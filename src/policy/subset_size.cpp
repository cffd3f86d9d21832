#include "policy/subset_size.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist {

namespace {
constexpr std::size_t attempt_window = 40;
constexpr double attempts_per_s_each = 2;  // that an endpoint should get from this proxy
constexpr std::size_t min_endpoints = 4;
constexpr std::size_t min_endpoints_scarce = 2;  // while connections are scarce
constexpr double scarce_divisor = 5;             // the subset is so much smaller then
constexpr double scarce_share = 0.15;            // of recent connections, refused
constexpr double min_refused = 2;
}  // namespace

SubsetSize::SubsetSize() : attempts_(attempt_window), refused_connections_(attempt_window) {}

void SubsetSize::attempt_ended(bool connection_refused) {
  refused_connections_.push(connection_refused);
  const double max_refused =
      std::max(min_refused, scarce_share * static_cast<double>(refused_connections_.size()));
  connections_scarce_ = refused_connections_.count() > max_refused;
}

double SubsetSize::attempts_per_s(TimePoint now) const {
  return rate_of(attempts_, now);
}

std::size_t SubsetSize::endpoints(TimePoint now) const {
  const double divisor = connections_scarce_ ? scarce_divisor : 1;
  const double wanted = std::ceil(attempts_per_s(now) / attempts_per_s_each / divisor);
  return std::max(connections_scarce_ ? min_endpoints_scarce : min_endpoints,
                  static_cast<std::size_t>(wanted));
}

}  // namespace robinhoist
