/// Means with confidence intervals and paired comparisons, by Student's t distribution. Free of
/// I/O.
#pragma once
#include <optional>
#include <vector>

namespace robinhoist::lab {

struct Mean {
  double mean = 0;
  double half_width = 0;  ///< of the 95% confidence interval; infinite for a single value
  double standard_deviation = 0;
  int count = 0;
};
Mean mean_of(const std::vector<double>& values);

enum class Verdict { better, worse, undecided };

struct PairedComparison {
  Mean difference{};  ///< second minus first, pair by pair
  Verdict verdict = Verdict::undecided;
  /// How many more pairs would likely decide it, if the true difference is the one observed.
  std::optional<int> additional_pairs{};
};
/// Whether `second` is better than `first`. The values at the same index must come from runs with
/// the same seed.
PairedComparison compare(const std::vector<double>& first, const std::vector<double>& second,
                         bool more_is_better);
const char* to_string(Verdict verdict);

}  // namespace robinhoist::lab
