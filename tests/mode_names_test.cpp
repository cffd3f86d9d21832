/// The REST status and traces keep the mode wording of the API's first version.
#include "proxy/mode_names.h"

#include <gtest/gtest.h>

namespace robinhoist::proxy {
namespace {

ReleaseUpdate release(ReleasePhase phase) {
  return {.build = 7, .stage = 1, .phase = phase, .cap = 0.3, .since = {}};
}

struct ModeCase {
  AnalysisReport report;
  const char* text;
};

class ModeNames : public testing::TestWithParam<ModeCase> {};

TEST_P(ModeNames, KeepTheWordingOfTheFirstVersion) {
  EXPECT_EQ(api_mode(GetParam().report), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    All, ModeNames,
    testing::Values(
        ModeCase{{}, "watching"},
        ModeCase{{{Verdict::none, AnalysisReason::released}, release(ReleasePhase::released)},
                 "watching build 7 stage 1 released: released"},
        ModeCase{
            {{Verdict::roll_back, AnalysisReason::failures, 4, 60}, release(ReleasePhase::canary)},
            "back build 7 stage 1 trial: failures 4 against 60"},
        ModeCase{{{Verdict::promote, AnalysisReason::request_class_failures, 0, 20},
                  release(ReleasePhase::canary)},
                 "on build 7 stage 1 trial: failures of a product 0 against 20"},
        ModeCase{{{Verdict::roll_back, AnalysisReason::wrong_answers, 3, 1500},
                  release(ReleasePhase::rolling_back)},
                 "back build 7 stage 1 going back: wrong answers 3 against 1.5e+03"},
        ModeCase{{{Verdict::roll_back, AnalysisReason::fleet_slowdown, 2.5, 2.25},
                  release(ReleasePhase::rolled_back)},
                 "back build 7 stage 1 withdrawn: all slower; load 2.5 against 2.25"},
        ModeCase{{{Verdict::roll_back, AnalysisReason::p99_latency, 1.5, 0.5},
                  release(ReleasePhase::canary)},
                 "back build 7 stage 1 trial: p99 in SLA times 1.5 against 0.5"},
        ModeCase{{{Verdict::roll_back, AnalysisReason::latency, 2.125, 1.25},
                  release(ReleasePhase::canary)},
                 "back build 7 stage 1 trial: times the older's latency 2.12 against 1.25"},
        ModeCase{{{Verdict::roll_back, AnalysisReason::ageing, 0.0005, 0.001},
                  release(ReleasePhase::canary)},
                 "back build 7 stage 1 trial: early machines alone are poorly, by chance 0.0005 "
                 "against 0.001"},
        ModeCase{{{Verdict::hold, AnalysisReason::hold, 6, 1}, release(ReleasePhase::canary)},
                 "hold build 7 stage 1 trial: held at 6 against 1"}));

}  // namespace
}  // namespace robinhoist::proxy
