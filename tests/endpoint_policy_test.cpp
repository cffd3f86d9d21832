/// Unit tests of the decision module's components that handle endpoints.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "policy/latency_model.h"
#include "policy/list_subscription.h"
#include "policy/slow_start_limiter.h"
#include "policy/subset_size.h"
#include "policy/upstream_cluster.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr TimePoint start{1h};

EndpointInfo endpoint_info(int endpoint, int build, TimePoint started = {}) {
  return {.endpoint = endpoint,
          .zone = 0,
          .cell = 0,
          .build = build,
          .phase = EndpointPhase::ready,
          .size = 1,
          .started = started,
          .sort_key = static_cast<std::uint64_t>(endpoint)};
}

EndpointSettings endpoint_settings() {
  EndpointSettings settings{};
  settings.warm_up_time = 4s;
  settings.collapse_window = 1s;
  settings.initial_warm_up_factor = 0.2;
  settings.collapse_multiple = 2;
  return settings;
}

RequestClass request_class() {
  RequestClass request_class{};
  request_class.latency_objective = 400ms;
  request_class.deadline = 1s;
  request_class.priority_weight = 1;
  return request_class;
}

class EndpointSetTest : public testing::Test {
 protected:
  EndpointSet endpoints_{endpoint_settings()};
};

TEST_F(EndpointSetTest, GroupsReadyEndpointsByBuildAndZone) {
  EndpointInfo remote = endpoint_info(2, 1);
  remote.zone = 1;
  EndpointInfo draining = endpoint_info(3, 2);
  draining.phase = EndpointPhase::draining;
  endpoints_.update(EndpointUpdateKind::complete,
                    {endpoint_info(0, 2), endpoint_info(1, 1), remote, draining}, start);
  EXPECT_EQ(endpoints_.newest_build(), 2);
  EXPECT_TRUE(endpoints_.has_older_build());
  EXPECT_THAT(endpoints_.group(BuildGroup::newest, Locality::local), ElementsAre(0));
  EXPECT_THAT(endpoints_.group(BuildGroup::newest, Locality::remote), IsEmpty());
  EXPECT_THAT(endpoints_.group(BuildGroup::older, Locality::local), ElementsAre(1));
  EXPECT_THAT(endpoints_.group(BuildGroup::older, Locality::remote), ElementsAre(2));
}

TEST_F(EndpointSetTest, OrdersAGroupBySortKey) {
  EndpointInfo last = endpoint_info(0, 1);
  last.sort_key = 9;
  endpoints_.update(EndpointUpdateKind::complete, {last, endpoint_info(1, 1), endpoint_info(2, 1)},
                    start);
  EXPECT_THAT(endpoints_.group(BuildGroup::newest, Locality::local), ElementsAre(1, 2, 0));
}

TEST_F(EndpointSetTest, CompleteListRemovesEndpointsItDoesNotContain) {
  endpoints_.update(EndpointUpdateKind::complete, {endpoint_info(0, 1), endpoint_info(1, 1)},
                    start);
  endpoints_.update(EndpointUpdateKind::incremental, {endpoint_info(1, 1)}, start);
  EXPECT_TRUE(endpoints_.is_ready(0));
  endpoints_.update(EndpointUpdateKind::complete, {endpoint_info(1, 1)}, start);
  EXPECT_FALSE(endpoints_.is_ready(0));
  EXPECT_TRUE(endpoints_.is_ready(1));
}

TEST_F(EndpointSetTest, UpdateReturnsNewAndReplacedEndpoints) {
  EXPECT_THAT(endpoints_.update(EndpointUpdateKind::complete, {endpoint_info(0, 1)}, start),
              ElementsAre(0));
  EXPECT_THAT(endpoints_.update(EndpointUpdateKind::incremental, {endpoint_info(0, 1)}, start),
              IsEmpty());
  EXPECT_THAT(
      endpoints_.update(EndpointUpdateKind::incremental, {endpoint_info(0, 1, start)}, start),
      ElementsAre(0));
}

TEST_F(EndpointSetTest, WarmsUpFromItsStartAndAgainAfterARecovery) {
  endpoints_.update(EndpointUpdateKind::complete, {endpoint_info(0, 1, start)}, start);
  EXPECT_DOUBLE_EQ(endpoints_.warm_up_factor(0, start), 0.2);
  EXPECT_DOUBLE_EQ(endpoints_.warm_up_factor(0, start + 2s), 0.6);
  EXPECT_TRUE(endpoints_.is_warm(0, start + 4s));
  endpoints_.mark_recovered(0, start + 10s);
  EXPECT_DOUBLE_EQ(endpoints_.warm_up_factor(0, start + 10s), 0.2);
}

TEST(LatencyModelTest, DerivesLatenciesFromTheObjectiveBeforeTheFirstAnswer) {
  LatencyModel model({request_class()});
  EXPECT_DOUBLE_EQ(model.typical_ms(0, 0.5), 100);
  EXPECT_EQ(model.response_timeout(), 200ms);
  EXPECT_DOUBLE_EQ(model.latency_ratio(0, 50ms, 0), 0.5);
  EXPECT_DOUBLE_EQ(model.objective_ratio(0, 800ms), 2);
}

TEST(LatencyModelTest, UsesRecordedLatenciesAndCostHints) {
  LatencyModel model({request_class()});
  model.record(0, 300ms, 30);
  EXPECT_DOUBLE_EQ(model.typical_ms(0, 0.5), 300);
  EXPECT_EQ(model.response_timeout(), 600ms);
  EXPECT_DOUBLE_EQ(model.latency_ratio(0, 300ms, 15), 2);
}

TEST(ListSubscriptionTest, RetriesAfterFailuresWithBackoff) {
  std::minstd_rand random(1);
  ListSubscription subscription(true);
  ASSERT_TRUE(subscription.next(start, random));
  EXPECT_FALSE(subscription.next(start + 1h, random));
  subscription.updated(EndpointUpdateKind::failed, start);
  EXPECT_FALSE(subscription.next(start + 399ms, random));
  ASSERT_TRUE(subscription.next(start + 600ms, random));
  subscription.updated(EndpointUpdateKind::failed, start + 1s);
  EXPECT_FALSE(subscription.next(start + 1s + 799ms, random));
  EXPECT_TRUE(subscription.next(start + 3s, random));
}

TEST(ListSubscriptionTest, NeverSubscribesIfNotNeeded) {
  std::minstd_rand random(1);
  EXPECT_FALSE(ListSubscription(false).next(start, random));
}

TEST(SubsetSizeTest, GrowsWithTheRateAndShrinksWhileConnectionsAreRefused) {
  SubsetSize subset_size;
  EXPECT_EQ(subset_size.endpoints(start), 4u);
  for (int i = 0; i < 40; ++i)
    subset_size.attempt_sent(start + i * 25ms);
  EXPECT_EQ(subset_size.endpoints(start + 1s), 20u);
  for (int i = 0; i < 3; ++i)
    subset_size.attempt_ended(true);
  EXPECT_EQ(subset_size.endpoints(start + 1s), 4u);
}

class UpstreamClusterTest : public testing::Test {
 protected:
  UpstreamClusterTest() {
    cluster_.list_updated(EndpointUpdateKind::complete, {endpoint_info(0, 1), endpoint_info(1, 1)},
                          start);
  }
  Attempt send(int endpoint, TimePoint at) {
    cluster_.attempt_sent(endpoint, at);
    return {.endpoint = endpoint, .build = 1, .sent = at, .concurrency = 1};
  }
  void send_and_end(int endpoint, Outcome outcome, TimePoint at) {
    cluster_.attempt_ended(send(endpoint, at), outcome, request_, at + 10ms);
  }
  int pick(TimePoint now) {
    return cluster_.pick({.build = BuildGroup::newest,
                          .may_use = [](int) { return true; },
                          .avoid_recent_losses = false,
                          .max_wait = 1s},
                         now, random_);
  }

  UpstreamCluster cluster_{endpoint_settings(), {request_class()}};
  RequestInfo request_{};
  std::minstd_rand random_{3};
};

TEST_F(UpstreamClusterTest, EjectsAfterTwoLossesThenAllowsOneAttempt) {
  send_and_end(0, Outcome::connect_failure, start);
  EXPECT_FALSE(cluster_.health().is_ejected(0, start + 20ms));
  send_and_end(0, Outcome::connect_failure, start + 20ms);
  EXPECT_TRUE(cluster_.health().is_ejected(0, start + 40ms));
  EXPECT_EQ(cluster_.health().consecutive_losses(0), 2);
  EXPECT_FALSE(cluster_.health().is_ejected(0, start + 600ms));
  cluster_.attempt_sent(0, start + 600ms);
  EXPECT_TRUE(cluster_.health().is_ejected(0, start + 601ms));
}

TEST_F(UpstreamClusterTest, EndpointThatRecoversWarmsUpAgain) {
  send_and_end(0, Outcome::connect_failure, start);
  send_and_end(0, Outcome::connect_failure, start + 20ms);
  EXPECT_TRUE(cluster_.endpoints().is_warm(0, start + 30ms));
  send_and_end(0, Outcome::ok, start + 1s);
  EXPECT_EQ(cluster_.health().consecutive_losses(0), 0);
  EXPECT_FALSE(cluster_.endpoints().is_warm(0, start + 2s));
  EXPECT_LT(cluster_.capacity(start + 2s), 2);
}

TEST_F(UpstreamClusterTest, RejectionsMakeAnEndpointUnhealthyForAShortTime) {
  send_and_end(0, Outcome::rejected, start);
  EXPECT_FALSE(cluster_.health().is_healthy(0, start + 50ms));
  EXPECT_TRUE(cluster_.health().is_healthy(0, start + 200ms));
}

TEST_F(UpstreamClusterTest, FrequentFailuresMakeAnEndpointUnhealthy) {
  for (int i = 0; i < 3; ++i)
    send_and_end(0, Outcome::error, start + i * 20ms);
  EXPECT_FALSE(cluster_.health().is_healthy(0, start + 100ms));
  EXPECT_TRUE(cluster_.health().is_healthy(0, start + 3s));
}

TEST_F(UpstreamClusterTest, ReplacedProcessHasNoHistory) {
  send_and_end(0, Outcome::connect_failure, start);
  send_and_end(0, Outcome::connect_failure, start + 20ms);
  cluster_.list_updated(EndpointUpdateKind::incremental, {endpoint_info(0, 1, start + 30ms)},
                        start + 30ms);
  EXPECT_FALSE(cluster_.health().is_ejected(0, start + 40ms));
}

TEST_F(UpstreamClusterTest, PicksTheLessLoadedOfTwo) {
  for (int i = 0; i < 3; ++i)
    cluster_.attempt_sent(0, start);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(pick(start), 1);
}

TEST_F(UpstreamClusterTest, LoadReportsExpireAfterASecond) {
  cluster_.load_reported(0, {.in_flight = 20}, start);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(pick(start + 500ms), 1);
  EXPECT_FALSE(cluster_.health().fresh_load(0, start + 1s).in_flight);
}

TEST_F(UpstreamClusterTest, WarmingEndpointGetsOneRequestPerWindowBeforeAnySuccess) {
  cluster_.list_updated(EndpointUpdateKind::complete, {endpoint_info(0, 1, start)}, start);
  EXPECT_EQ(pick(start), 0);
  cluster_.attempt_sent(0, start);
  EXPECT_EQ(pick(start + 500ms), -1);
  EXPECT_EQ(pick(start + 1001ms), 0);
}

}  // namespace
}  // namespace robinhoist
