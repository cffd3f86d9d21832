/// Wrong answer check of the canary analysis: whether clients report wrong answers of the canary
/// more often than of earlier builds.
#pragma once
#include <map>

#include "policy/canary_check.h"

namespace robinhoist {

/// Counts answers and reports by build. Reports arrive seconds after the answer, so the counts are
/// kept across the stages of a release.
class WrongAnswerCheck {
 public:
  /// `report_share` is the share of wrong answers that clients report.
  explicit WrongAnswerCheck(double report_share) : report_share_(report_share) {}

  void answer_forwarded(int build) { by_build_[build].forwarded += 1; }
  void wrong_answer_reported(int build) { by_build_[build].wrong += 1; }

  /// Judges `build` against all earlier builds.
  CheckResult run(int build, const CheckContext& context) const;

 private:
  struct Answers {
    double forwarded = 0;
    double wrong = 0;  // as reported
  };

  double report_share_;
  std::map<int, Answers> by_build_{};
};

}  // namespace robinhoist
