/// Wrong answer check of the canary analysis: whether clients report more wrong answers of the
/// canary than of the builds before it.
#pragma once
#include <map>

#include "policy/canary_check.h"

namespace robinhoist {

/// Counts answers and reports by build. Reports come seconds after the answer, so the counts are
/// kept over the stages of a release.
class WrongAnswerCheck {
 public:
  /// `report_share` is the part of wrong answers that clients report.
  explicit WrongAnswerCheck(double report_share) : report_share_(report_share) {}

  void answer_passed_on(int build) { by_build_[build].given += 1; }
  void wrong_answer_reported(int build) { by_build_[build].wrong += 1; }

  /// Judges `build` against all earlier builds.
  CheckResult run(int build, const CheckContext& context) const;

 private:
  struct Answers {
    double given = 0;
    double wrong = 0;
  };

  double report_share_;
  std::map<int, Answers> by_build_{};
};

}  // namespace robinhoist
