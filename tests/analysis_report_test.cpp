/// The wording of the log line, and when the decision engine writes one.
#include "policy/analysis_report.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "policy/decision_engine.h"

namespace robinhoist {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

struct WordingCase {
  AnalysisResult result;
  const char* text;
};

class AnalysisReportTest : public testing::TestWithParam<WordingCase> {};

TEST_P(AnalysisReportTest, WordsTheReasonWithItsFigures) {
  EXPECT_EQ(describe_reason(GetParam().result), GetParam().text);
}

constexpr Verdict roll_back = Verdict::roll_back;
INSTANTIATE_TEST_SUITE_P(
    Reasons, AnalysisReportTest,
    testing::Values(
        WordingCase{{}, ""},
        WordingCase{{roll_back, AnalysisReason::failures, 4, 60}, "failures 4 of 60 attempts"},
        WordingCase{{roll_back, AnalysisReason::request_class_failures, 3, 20},
                    "failures of one request class 3 of 20 attempts"},
        WordingCase{{roll_back, AnalysisReason::wrong_answers, 3, 1500},
                    "wrong answers 3 of 1.5e+03"},
        WordingCase{{roll_back, AnalysisReason::fleet_slowdown, 2.5, 2.25},
                    "whole fleet slower, load 2.5 against 2.25 before"},
        WordingCase{{roll_back, AnalysisReason::p99_latency, 1.5, 0.5},
                    "p99 in latency objectives 1.5 against 0.5"},
        WordingCase{{roll_back, AnalysisReason::latency, 2.125, 1.25},
                    "latency 2.12 times the baseline's, uncertainty factor 1.25"},
        WordingCase{{roll_back, AnalysisReason::answer_rate, 1, 8.25},
                    "answers 1 where the baseline's rate gives 8.25"},
        WordingCase{{roll_back, AnalysisReason::ageing, 0.0001, 0.001},
                    "only the oldest canary endpoints are unhealthy, p-value 0.0001 against 0.001"},
        WordingCase{{Verdict::hold, AnalysisReason::hold, 4, 1}, "held after 4 attempts, 1 failed"},
        WordingCase{{Verdict::none, AnalysisReason::released},
                    "analysis goes on until the next build"}));

AnalysisReport report_on(Verdict verdict, const ReleaseUpdate& release) {
  return {{verdict, AnalysisReason::failures, 4, 60}, release};
}

TEST(AnalysisReportLine, NamesVerdictBuildStageAndPhase) {
  EXPECT_EQ(to_string(AnalysisReport{}), "watching");
  EXPECT_EQ(to_string(report_on(Verdict::roll_back, {7, 1, ReleasePhase::canary, 0.1, {}})),
            "roll back build 7 stage 1 canary: failures 4 of 60 attempts");
  EXPECT_EQ(to_string(AnalysisReport{{}, ReleaseUpdate{7, 2, ReleasePhase::rolling_back, 0, {}}}),
            "watching build 7 stage 2 rolling back");
  EXPECT_EQ(to_string(AnalysisReport{{}, ReleaseUpdate{7, 0, ReleasePhase::rolled_back, 0, {}}}),
            "watching build 7 stage 0 rolled back");
  EXPECT_EQ(to_string(AnalysisReport{{Verdict::promote},
                                     ReleaseUpdate{7, 0, ReleasePhase::released, 1, {}}}),
            "promote build 7 stage 0 released");
}

TEST(AnalysisReportMode, IgnoresFiguresAndCap) {
  const ReleaseUpdate release{7, 1, ReleasePhase::canary, 0.1, {}};
  const AnalysisReport report = report_on(Verdict::none, release);
  AnalysisReport other_figures = report;
  other_figures.result = {Verdict::none, AnalysisReason::released, 1, 2};
  other_figures.release->cap = 0.3;
  EXPECT_TRUE(same_mode(report, other_figures));
  EXPECT_TRUE(same_mode({}, {}));
  EXPECT_FALSE(same_mode(report, {}));
  EXPECT_FALSE(same_mode(report, report_on(Verdict::hold, release)));
  for (const ReleaseUpdate& other : {ReleaseUpdate{8, 1, ReleasePhase::canary, 0.1, {}},
                                     ReleaseUpdate{7, 2, ReleasePhase::canary, 0.1, {}},
                                     ReleaseUpdate{7, 1, ReleasePhase::released, 0.1, {}}})
    EXPECT_FALSE(same_mode(report, report_on(Verdict::none, other)));
}

class LogLineTest : public testing::Test {
 protected:
  LogLineTest()
      : engine_(1, EndpointSettings{}, CanaryQuotaSettings{}, AnalysisSettings{}, one_class()) {}

  static RequestSettings one_class() {
    RequestSettings settings{};
    settings.request_classes.resize(1);
    return settings;
  }

  // The log lines of half a second.
  std::vector<std::string> log_lines() {
    std::vector<std::string> lines;
    for (int step = 0; step < 10; ++step) {
      now_ += std::chrono::milliseconds(50);
      while (const auto decision = engine_.next(now_)) {
        if (decision->action != Action::log)
          continue;
        EXPECT_TRUE(decision->report.has_value());
        EXPECT_EQ(decision->text, to_string(decision->report.value_or(AnalysisReport{})));
        lines.push_back(decision->text);
      }
    }
    return lines;
  }

  void release(int stage, ReleasePhase phase) {
    engine_.release_updated({7, stage, phase, 0.1, Duration{}}, now_);
  }

  DecisionEngine engine_;
  TimePoint now_{std::chrono::seconds(100)};
};

TEST_F(LogLineTest, IsWrittenOnceForEachChangeOfMode) {
  EXPECT_THAT(log_lines(), ElementsAre("watching"));
  EXPECT_THAT(log_lines(), IsEmpty());
  release(0, ReleasePhase::rolling_back);
  EXPECT_THAT(log_lines(), ElementsAre("watching build 7 stage 0 rolling back"));
  release(0, ReleasePhase::rolling_back);
  EXPECT_THAT(log_lines(), IsEmpty());
  release(1, ReleasePhase::rolling_back);
  EXPECT_THAT(log_lines(), ElementsAre("watching build 7 stage 1 rolling back"));
}

}  // namespace
}  // namespace robinhoist
