#include "policy/subset_size.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist {

namespace {
constexpr std::size_t attempt_window = 40;
constexpr double attempts_per_s_per_endpoint = 2;  // target rate from this proxy
constexpr std::size_t min_endpoints = 4;
// Connections are scarce if more than this share of the recent ones, and more than this number,
// failed. Then the subset size is divided and its minimum is lower.
constexpr double scarce_share = 0.15;
constexpr double min_failed = 2;
constexpr double scarce_divisor = 5;
constexpr std::size_t min_endpoints_scarce = 2;
}  // namespace

SubsetSize::SubsetSize() : attempts_(attempt_window), failed_connections_(attempt_window) {}

void SubsetSize::attempt_ended(bool connection_failed) {
  failed_connections_.push(connection_failed);
  const double max_failed =
      std::max(min_failed, scarce_share * static_cast<double>(failed_connections_.size()));
  connections_scarce_ = failed_connections_.count() > max_failed;
}

double SubsetSize::attempts_per_s(TimePoint now) const {
  return rate_of(attempts_, now);
}

std::size_t SubsetSize::endpoints(TimePoint now) const {
  const double divisor = connections_scarce_ ? scarce_divisor : 1;
  const double wanted = std::ceil(attempts_per_s(now) / attempts_per_s_per_endpoint / divisor);
  return std::max(connections_scarce_ ? min_endpoints_scarce : min_endpoints,
                  static_cast<std::size_t>(wanted));
}

}  // namespace robinhoist
