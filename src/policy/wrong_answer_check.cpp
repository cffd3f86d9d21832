#include "policy/wrong_answer_check.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

namespace {

constexpr double prior_reports = 1;
constexpr double prior_answers = 250;
constexpr double suspicious_p_value = 0.1;
constexpr double min_significance = 0.002;
// Reports that one proxy needs, where its vote alone rolls back and where many must agree.
constexpr double min_reports_alone = 3;
constexpr double min_reports_among_many = 1;

}  // namespace

CheckResult WrongAnswerCheck::run(int build, const CheckContext& context) const {
  Answers canary;
  Answers earlier;
  for (const auto& [answered_by, answers] : by_build_) {
    if (answered_by == build)
      canary = answers;
    if (answered_by >= build)
      continue;
    earlier.given += answers.given;
    earlier.wrong += answers.wrong;
  }
  const double expected =
      canary.given * (earlier.wrong + prior_reports) / (earlier.given + prior_answers);
  const double p_value = poisson_upper_tail(canary.wrong, expected);
  const double min_reports = context.many_votes ? min_reports_among_many : min_reports_alone;
  const bool many = canary.wrong >= min_reports &&
                    canary.wrong > 0.5 * failure_threshold * report_share_ * canary.given;
  if (many && p_value < std::max(min_significance, context.significance))
    return CheckResult::failure(AnalysisReason::wrong_answers, canary.wrong, canary.given);
  return CheckResult::undecided(canary.wrong >= 1 && p_value < suspicious_p_value);
}

}  // namespace robinhoist
