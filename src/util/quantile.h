/// Quantiles of a set of numbers.
#pragma once
#include <algorithm>
#include <vector>

namespace robinhoist {

/// The value below which this fraction (0 to 1) of the values lies; 0 when there are no values.
inline double quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto rank =
      values.begin() + static_cast<long>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), rank, values.end());
  return *rank;
}

}  // namespace robinhoist
