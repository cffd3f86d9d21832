// Means with confidence intervals, paired comparisons and a verdict, by Boost.Math. Free of I/O.
#pragma once
#include <optional>
#include <vector>

namespace robinhoist::lab {

struct Mean {
  double mean = 0, half_width = 0;  // half the width of the 95% interval; infinite for one value
  double standard_deviation = 0;
  int count = 0;
};
Mean mean_of(const std::vector<double>& values);

enum class Verdict { better, worse, cannot_tell };

struct PairedComparison {
  Mean difference{};  // of the second from the first, pair by pair: the same seed in both
  Verdict verdict = Verdict::cannot_tell;
  std::optional<int> additional_pairs{};  // so many more pairs would likely tell, if the difference
                                          // is what it seems
};
// `more_is_better`; runs that are missing on either side must be left out of both.
PairedComparison compare(const std::vector<double>& first, const std::vector<double>& second,
                         bool more_is_better);
const char* to_string(Verdict verdict);

}  // namespace robinhoist::lab
