/// The answer rate check of the canary analysis: when open attempts are evidence of a slow build.
#include "policy/answer_rate_check.h"

#include <gtest/gtest.h>

#include <vector>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

constexpr CheckContext many_votes{.significance = 0.016, .many_votes = true, .comparable = true};

class AnswerRateCheckTest : public testing::Test {
 protected:
  static TimePoint at(Duration time) { return TimePoint(time); }

  /// For five seconds, sends attempts one after the other to each endpoint; each is answered after
  /// `latency`.
  void answer_attempts(bool canary, const std::vector<int>& endpoints, Duration latency) {
    for (Duration sent{}; sent + latency <= 5s; sent += latency)
      for (const int endpoint : endpoints) {
        const AttemptKey key{next_request_++, 0};
        check_.attempt_sent(key, canary, endpoint, at(sent));
        check_.attempt_ended(key, true, at(sent + latency));
      }
  }
  void leave_open(bool canary, int endpoint, Duration sent) {
    check_.attempt_sent({next_request_++, 0}, canary, endpoint, at(sent));
  }
  void healthy_baseline() { answer_attempts(false, {1, 2, 3, 4}, 500ms); }
  CheckOutcome outcome(const CheckContext& context = many_votes, Duration from = 0s) const {
    return check_.run(at(from), context, at(5s)).outcome;
  }

  AnswerRateCheck check_{true};
  int next_request_ = 1;
};

// A bad build must not be released because its slow attempts are still open.
TEST_F(AnswerRateCheckTest, OpenAttemptsAloneRevealASlowBuild) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 2s);
  EXPECT_EQ(outcome(), CheckOutcome::failed);
}

TEST_F(AnswerRateCheckTest, FewOpenAttemptsAreSuspicious) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13})
    leave_open(true, endpoint, 4200ms);
  EXPECT_EQ(outcome(), CheckOutcome::suspicious);
}

TEST_F(AnswerRateCheckTest, BuildAsFastAsTheBaselinePasses) {
  healthy_baseline();
  answer_attempts(true, {11, 12, 13, 14}, 500ms);
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 4700ms);
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, OneHangingEndpointIsExcluded) {
  healthy_baseline();
  for (int i = 0; i < 8; ++i)
    leave_open(true, 11, 500ms);
  answer_attempts(true, {12, 13, 14}, 500ms);
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, EquallySlowBaselinePasses) {
  healthy_baseline();
  for (const int endpoint : {1, 2, 3, 4})
    for (int i = 0; i < 10; ++i)
      leave_open(false, endpoint, 1s);
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 2s);
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, PassesWithoutAComparableBaseline) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 2s);
  EXPECT_EQ(outcome({.significance = 0.016, .many_votes = true, .comparable = false}),
            CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, PassesWhereASingleVoteRollsBack) {
  check_ = AnswerRateCheck(false);
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 2s);
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, CountsOnlyWaitingTimeSinceTheStageBegan) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 0s);
  EXPECT_EQ(outcome(many_votes, 3s), CheckOutcome::failed);
  EXPECT_NE(outcome(many_votes, 4500ms), CheckOutcome::failed);
}

TEST_F(AnswerRateCheckTest, IgnoresAttemptsOfAnEarlierBuild) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14})
    leave_open(true, endpoint, 1s);
  check_.build_offered();
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

TEST_F(AnswerRateCheckTest, IgnoresWithdrawnAttempts) {
  healthy_baseline();
  for (const int endpoint : {11, 12, 13, 14}) {
    leave_open(true, endpoint, 1s);
    check_.attempt_withdrawn({next_request_ - 1, 0});
  }
  EXPECT_EQ(outcome(), CheckOutcome::passed);
}

}  // namespace
}  // namespace robinhoist
