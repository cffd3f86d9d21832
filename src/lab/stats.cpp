#include "lab/stats.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>

namespace robinhoist::lab {
namespace {
constexpr double confidence_level = 0.95;
constexpr int max_pairs = 100000;

// The factor from the standard error of `count` values to half the confidence interval.
double t_quantile(int count) {
  return boost::math::quantile(boost::math::students_t(count - 1), 0.5 + confidence_level / 2);
}
}  // namespace

Mean mean_of(const std::vector<double>& values) {
  Mean mean;
  mean.count = static_cast<int>(values.size());
  if (values.empty())
    return mean;
  for (double value : values)
    mean.mean += value / mean.count;
  double squares = 0;
  for (double value : values)
    squares += (value - mean.mean) * (value - mean.mean);
  if (mean.count < 2) {
    mean.half_width = std::numeric_limits<double>::infinity();
    return mean;
  }
  mean.standard_deviation = std::sqrt(squares / (mean.count - 1));
  mean.half_width = t_quantile(mean.count) * mean.standard_deviation / std::sqrt(mean.count);
  return mean;
}

PairedComparison compare(const std::vector<double>& first, const std::vector<double>& second,
                         bool more_is_better) {
  std::vector<double> differences;
  for (std::size_t i = 0; i < std::min(first.size(), second.size()); ++i)
    differences.push_back(second[i] - first[i]);
  PairedComparison paired;
  paired.difference = mean_of(differences);
  const double distance = std::abs(paired.difference.mean);
  if (paired.difference.count >= 2 && distance > paired.difference.half_width) {
    paired.verdict =
        (paired.difference.mean > 0) == more_is_better ? Verdict::better : Verdict::worse;
    return paired;
  }
  if (paired.difference.count < 2 || distance == 0)
    return paired;
  // The interval shrinks with the square root of the count. Find the smallest count at which it
  // would exclude zero, with a growing step: an estimate is enough.
  for (int count = paired.difference.count + 1; count < max_pairs; count += 1 + count / 50)
    if (t_quantile(count) * paired.difference.standard_deviation / std::sqrt(count) < distance) {
      paired.additional_pairs = count - paired.difference.count;
      break;
    }
  return paired;
}

const char* to_string(Verdict verdict) {
  static const char* const names[] = {"better", "worse", "can't tell"};
  return names[static_cast<int>(verdict)];
}

}  // namespace robinhoist::lab
