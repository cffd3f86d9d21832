#include "policy/wrong_answer_check.h"

#include <algorithm>

#include "policy/statistics.h"

namespace robinhoist {

namespace {

constexpr double prior_reports = 1;
constexpr double prior_answers = 250;
constexpr double suspicious_p_value = 0.1;
constexpr double min_significance = 0.002;
// Reports that a proxy needs if its vote alone rolls back, and if many votes are needed.
constexpr double min_reports_single_vote = 3;
constexpr double min_reports_many_votes = 1;

}  // namespace

CheckResult WrongAnswerCheck::run(int build, const CheckContext& context) const {
  Answers canary;
  Answers earlier;
  for (const auto& [answered_by, answers] : by_build_) {
    if (answered_by == build)
      canary = answers;
    if (answered_by >= build)
      continue;
    earlier.forwarded += answers.forwarded;
    earlier.wrong += answers.wrong;
  }
  const double expected =
      canary.forwarded * (earlier.wrong + prior_reports) / (earlier.forwarded + prior_answers);
  const double p_value = poisson_upper_tail(canary.wrong, expected);
  const double min_reports = context.many_votes ? min_reports_many_votes : min_reports_single_vote;
  const bool enough = canary.wrong >= min_reports &&
                      canary.wrong > 0.5 * failure_threshold * report_share_ * canary.forwarded;
  if (enough && p_value < std::max(min_significance, context.significance))
    return CheckResult::failure(AnalysisReason::wrong_answers, canary.wrong, canary.forwarded);
  return CheckResult::not_failed(canary.wrong >= 1 && p_value < suspicious_p_value);
}

}  // namespace robinhoist
