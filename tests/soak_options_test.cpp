/// The soak's command line, and that generated plans are allowed by the platform's protocol.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>

#include "soak/options.h"
#include "soak/plan.h"

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

std::string error_of(const std::vector<std::string>& arguments) {
  try {
    parse_options(arguments);
  } catch (const UsageError& error) {
    return error.what();
  }
  return "";
}

TEST(SoakOptions, ReadsSeedsAndFolder) {
  const Options one = parse_options({"--seeds", "7"});
  EXPECT_EQ(one.first_seed, 7);
  EXPECT_EQ(one.last_seed, 7);
  const Options several = parse_options({"--out", "x", "--seeds", "3-9"});
  EXPECT_EQ(several.first_seed, 3);
  EXPECT_EQ(several.last_seed, 9);
  EXPECT_EQ(several.folder, "x");
}

TEST(SoakOptions, ReportsTheInvalidArgument) {
  EXPECT_EQ(error_of({"--seeds", "x"}), "--seeds: 'x' is not a number from 1 to 1000000000");
  EXPECT_EQ(error_of({"--seeds", "1-"}), "--seeds: '' is not a number from 1 to 1000000000");
  EXPECT_EQ(error_of({"--seeds", "0"}), "--seeds: '0' is not a number from 1 to 1000000000");
  EXPECT_EQ(error_of({"--seeds", "3-1"}), "--seeds: '3-1' ends before it begins");
  EXPECT_EQ(error_of({"--seed", "3"}),
            "unknown option '--seed': use --seeds FIRST[-LAST], --out DIR");
  EXPECT_EQ(error_of({"--out"}), "--out needs a value");
}

TEST(SoakPlan, ConformsToTheProtocol) {
  constexpr long seeds = 1000;
  int plans_with_reload_after_shutdown = 0;
  int plans_with_bad_clients = 0;
  int plans_with_canary = 0;
  for (long seed = 1; seed <= seeds; ++seed) {
    const Plan plan = draw_plan(seed);
    ASSERT_EQ(plan.kill, plan.terminate + 3700ms) << seed;
    ASSERT_GE(plan.last_connect, plan.terminate + 200ms) << seed;
    ASSERT_LE(plan.last_connect, plan.terminate + 400ms) << seed;
    ASSERT_GT(plan.clients, 0) << seed;
    ASSERT_LT(plan.endpoints.front().hang_share, 1) << seed;
    const auto first_term =
        std::find_if(plan.signals.begin(), plan.signals.end(),
                     [](const SignalEvent& signal) { return signal.number == SIGTERM; });
    ASSERT_NE(first_term, plan.signals.end()) << seed;
    ASSERT_EQ(first_term->at, plan.terminate) << seed;
    plans_with_reload_after_shutdown += plan.signals.back().number == SIGHUP ? 1 : 0;
    plans_with_bad_clients += plan.bad_clients_at ? 1 : 0;
    if (!plan.canary)
      continue;
    ++plans_with_canary;
    for (const Duration delay : {plan.canary->stage_news_delay, plan.canary->rollback_news_delay}) {
      ASSERT_GE(delay, 150ms) << seed;
      ASSERT_LE(delay, 780ms) << seed;
    }
    ASSERT_LT(plan.canary->vote_delay, 1200ms) << seed;  // the vote timeout
    ASSERT_LT(plan.canary->second_stage + 3s, plan.terminate) << seed;
  }
  EXPECT_GT(plans_with_reload_after_shutdown, seeds / 10);
  EXPECT_GT(plans_with_bad_clients, seeds / 4);
  EXPECT_GT(plans_with_canary, seeds / 4);
}

}  // namespace
}  // namespace robinhoist::soak
