/// Unit tests of the decision module's components that handle requests, and of sliding windows.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "policy/admission_controller.h"
#include "policy/request_scheduler.h"
#include "policy/retry_budget.h"
#include "policy/retry_rules.h"
#include "time/units.h"
#include "util/sliding_window.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

RequestClass class_with(Idempotency idempotency, DedupScope scope = DedupScope::all) {
  return {.latency_objective = 400ms,
          .deadline = 1s,
          .dedup_window = 2s,
          .idempotency = idempotency,
          .dedup_scope = scope,
          .priority_weight = 1,
          .late_weight_share = 0,
          .stream = false};
}

EndpointInfo endpoint_info(int endpoint, int zone, int cell) {
  return {.endpoint = endpoint,
          .zone = zone,
          .cell = cell,
          .build = 1,
          .phase = EndpointPhase::ready,
          .size = 1,
          .started = {}};
}

RequestInfo request_info(int request_id, int tenant, TimePoint deadline) {
  return {.request_id = request_id,
          .request_class = 0,
          .tenant = tenant,
          .deadline = deadline,
          .cost_hint_ms = 0,
          .key = "",
          .is_retry = false};
}

TEST(SlidingWindowTest, KeepsTheLatestSamplesNewestFirst) {
  SlidingWindow<int> window(3);
  for (int i = 1; i <= 5; ++i)
    window.push(i);
  ASSERT_EQ(window.size(), 3u);
  EXPECT_EQ(window.back(0), 5);
  EXPECT_EQ(window.back(2), 3);
  window.clear();
  EXPECT_EQ(window.size(), 0u);
}

TEST(EventWindowTest, CountsRecentEvents) {
  EventWindow window(3);
  for (bool happened : {true, true, false, true})
    window.push(happened);
  EXPECT_EQ(window.size(), 3u);
  EXPECT_EQ(window.count(), 2);
}

TEST(QuantileWindowTest, ReturnsQuantiles) {
  QuantileWindow window(8);
  EXPECT_TRUE(window.empty());
  for (int i = 1; i <= 8; ++i)
    window.push(i);
  EXPECT_DOUBLE_EQ(window.at(0.5), 5);
  EXPECT_DOUBLE_EQ(window.at(1), 8);
}

TEST(RetryBudgetTest, LimitsHedgesAndRetriesAmongRecentAttempts) {
  RetryBudget budget;
  for (int i = 0; i < 7; ++i)
    budget.attempt_sent(true);
  EXPECT_TRUE(budget.allows_hedge());
  budget.attempt_sent(true);
  EXPECT_FALSE(budget.allows_hedge());
  EXPECT_TRUE(budget.allows_retry(1));
  EXPECT_FALSE(budget.allows_retry(0.4));
  for (int i = 0; i < 100; ++i)
    budget.attempt_sent(false);
  EXPECT_TRUE(budget.allows_hedge());
}

class RetryRulesTest : public testing::Test {
 protected:
  RetryRulesTest() {
    endpoints_.update(EndpointUpdateKind::complete,
                      {endpoint_info(0, 0, 0), endpoint_info(1, 0, 1), endpoint_info(2, 1, 2)},
                      start);
  }
  bool may_retry(int endpoint, const RequestClass& request_class, TimePoint now = start + 1s) {
    return may_retry_at(endpoint, request_class, attempts_, endpoints_, 5ms, now);
  }

  EndpointSet endpoints_{EndpointSettings{}};
  std::vector<Attempt> attempts_{{.endpoint = 0, .build = 1, .sent = start, .concurrency = 1}};
};

TEST_F(RetryRulesTest, IdempotentRequestsMayBeRetriedAnywhere) {
  EXPECT_TRUE(may_retry(2, class_with(Idempotency::idempotent), start + 1h));
  EXPECT_TRUE(client_may_retry(class_with(Idempotency::idempotent), attempts_));
}

TEST_F(RetryRulesTest, NonIdempotentRequestsMayBeRetriedOnlyIfTheyHaveNotRun) {
  const RequestClass request_class = class_with(Idempotency::non_idempotent);
  EXPECT_FALSE(may_retry(1, request_class));
  EXPECT_FALSE(client_may_retry(request_class, attempts_));
  attempts_.front().never_ran = true;
  EXPECT_TRUE(may_retry(1, request_class));
  EXPECT_TRUE(client_may_retry(request_class, attempts_));
}

TEST_F(RetryRulesTest, KeysAreSharedWithinTheirScopeOnly) {
  const RequestClass by_zone = class_with(Idempotency::idempotent_with_key, DedupScope::zone);
  const RequestClass by_cell = class_with(Idempotency::idempotent_with_key, DedupScope::cell);
  EXPECT_TRUE(may_retry(1, by_zone));
  EXPECT_FALSE(may_retry(2, by_zone));
  EXPECT_TRUE(may_retry(0, by_cell));
  EXPECT_FALSE(may_retry(1, by_cell));
  EXPECT_FALSE(client_may_retry(by_zone, attempts_));
}

TEST_F(RetryRulesTest, KeysExpireATickBeforeTheWindowEnds) {
  const RequestClass request_class = class_with(Idempotency::idempotent_with_key);
  EXPECT_TRUE(may_retry(1, request_class, start + 1994ms));
  EXPECT_FALSE(may_retry(1, request_class, start + 1995ms));
  EXPECT_TRUE(client_may_retry(request_class, attempts_));
}

// Guards against a retry that is chosen while its key is remembered and written after that.
TEST_F(RetryRulesTest, KeyedRetriesMustBeWrittenWhileTheKeyIsRemembered) {
  const RequestClass keyed = class_with(Idempotency::idempotent_with_key);
  EXPECT_EQ(retry_must_be_written_before(keyed, {}), TimePoint{});
  EXPECT_EQ(retry_must_be_written_before(keyed, attempts_), start + 2s);
  attempts_.push_back({.endpoint = 1, .build = 1, .sent = start + 1s, .concurrency = 1});
  EXPECT_EQ(retry_must_be_written_before(keyed, attempts_), start + 2s);
  attempts_.front().never_ran = true;
  EXPECT_EQ(retry_must_be_written_before(keyed, attempts_), start + 3s);
  EXPECT_EQ(retry_must_be_written_before(class_with(Idempotency::idempotent), attempts_),
            TimePoint{});
}

class AdmissionControllerTest : public testing::Test {
 protected:
  AdmissionControllerTest() {
    cluster_.list_updated(EndpointUpdateKind::complete, {endpoint_info(0, 0, 0)}, start);
  }
  static RequestSettings request_settings() {
    RequestSettings settings{};
    settings.request_classes = {class_with(Idempotency::idempotent)};
    settings.tenants = {{.share = 0.5, .allowance_per_s = 10},
                        {.share = 0.5, .allowance_per_s = 10}};
    return settings;
  }
  void end_attempt(Outcome outcome, Duration latency) {
    const Attempt attempt{.endpoint = 0, .build = 1, .sent = now_, .concurrency = 1};
    now_ += latency;
    admission_.attempt_ended(attempt, outcome, 0, now_);
  }

  RequestSettings settings_ = request_settings();
  UpstreamCluster cluster_{EndpointSettings{}, settings_.request_classes};
  AdmissionController admission_{settings_, cluster_};
  std::minstd_rand random_{5};
  TimePoint now_ = start;
};

TEST_F(AdmissionControllerTest, RateFallsWithSlowAnswersAndRisesWithFastOnes) {
  EXPECT_DOUBLE_EQ(admission_.admission_rate(), 1);
  for (int i = 0; i < 20; ++i)
    end_attempt(Outcome::ok, 500ms);
  const double congested = admission_.admission_rate();
  EXPECT_LT(congested, 0.9);
  for (int i = 0; i < 20; ++i)
    end_attempt(Outcome::ok, 20ms);
  EXPECT_GT(admission_.admission_rate(), congested);
}

TEST_F(AdmissionControllerTest, CancelledAttemptsAreIgnored) {
  for (int i = 0; i < 20; ++i)
    end_attempt(Outcome::cancelled, 500ms);
  EXPECT_DOUBLE_EQ(admission_.admission_rate(), 1);
}

TEST_F(AdmissionControllerTest, AdmitsAllWithoutRandomDrawsUnlessShedding) {
  const std::minstd_rand before = random_;
  EXPECT_TRUE(admission_.admits(request_info(0, 0, now_ + 1s), now_, random_));
  EXPECT_EQ(random_, before);
}

TEST_F(AdmissionControllerTest, WhileRejectingATenantOverItsQuotaHasAShorterMaxWait) {
  for (int i = 0; i < 10; ++i)
    admission_.request_arrived(0);
  const RequestInfo first_tenant = request_info(0, 0, now_ + 10s);
  const RequestInfo second_tenant = request_info(1, 1, now_ + 10s);
  EXPECT_EQ(admission_.max_wait(first_tenant, now_), 300ms);
  for (int i = 0; i < 6; ++i)
    admission_.request_rejected();
  EXPECT_NEAR(to_millis(admission_.max_wait(first_tenant, now_)), 210, 0.01);
  EXPECT_EQ(admission_.max_wait(second_tenant, now_), 300ms);
}

class RequestSchedulerTest : public testing::Test {
 protected:
  RequestSchedulerTest() {
    cluster_.list_updated(EndpointUpdateKind::complete,
                          {endpoint_info(0, 0, 0), endpoint_info(1, 0, 0)}, start);
  }
  static RequestSettings request_settings(Idempotency idempotency) {
    RequestSettings settings{};
    settings.request_classes = {class_with(idempotency)};
    settings.max_attempts = 2;
    settings.hedging = true;
    settings.cancelling = true;
    settings.retry_after = true;
    settings.retry_delay = 2s;
    settings.tick = 5ms;
    return settings;
  }
  static RequestInfo request(int id) { return request_info(id, 0, start + 1s); }

  RequestSettings settings_ = request_settings(Idempotency::idempotent);
  std::minstd_rand random_{7};
  UpstreamCluster cluster_{EndpointSettings{}, settings_.request_classes};
  CanaryQuota quota_{CanaryQuotaSettings{}, 1, 5ms};
  RequestScheduler scheduler_{settings_, cluster_, quota_, random_};
};

TEST_F(RequestSchedulerTest, ForwardsARequestAndRemovesItOnceAnswered) {
  scheduler_.request_arrived(request(4));
  const auto decision = scheduler_.next(start);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->action, Action::forward);
  EXPECT_EQ(decision->request_id, 4);
  EXPECT_FALSE(scheduler_.next(start));
  scheduler_.attempt_ended(4, 0, Outcome::ok, true, start + 10ms);
  EXPECT_FALSE(scheduler_.has_request(4));
}

TEST_F(RequestSchedulerTest, HedgesAtAnotherEndpointAndCancelsTheFirstAttempt) {
  scheduler_.request_arrived(request(0));
  const auto first = scheduler_.next(start);
  ASSERT_TRUE(first);
  ASSERT_FALSE(scheduler_.next(start));
  const auto hedge_at = scheduler_.next_check_at();
  ASSERT_TRUE(hedge_at);
  EXPECT_EQ(*hedge_at, start + 140ms);
  const auto hedge = scheduler_.next(*hedge_at);
  ASSERT_TRUE(hedge);
  EXPECT_EQ(hedge->action, Action::forward);
  EXPECT_NE(hedge->endpoint, first->endpoint);
  scheduler_.attempt_ended(0, 1, Outcome::ok, true, start + 200ms);
  const auto cancel = scheduler_.next(start + 200ms);
  ASSERT_TRUE(cancel);
  EXPECT_EQ(cancel->action, Action::cancel);
  EXPECT_EQ(cancel->attempt, 0);
  EXPECT_TRUE(scheduler_.has_request(0));
  scheduler_.attempt_ended(0, 0, Outcome::cancelled, false, start + 210ms);
  EXPECT_FALSE(scheduler_.has_request(0));
}

TEST_F(RequestSchedulerTest, RejectsWithRetryAfterWhenAttemptsAreExhausted) {
  scheduler_.request_arrived(request(0));
  for (int attempt = 0; attempt < 2; ++attempt) {
    ASSERT_TRUE(scheduler_.next(start));
    scheduler_.attempt_ended(0, attempt, Outcome::error, false, start + 5ms);
  }
  const auto decision = scheduler_.next(start + 5ms);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->action, Action::reject);
  EXPECT_EQ(decision->duration, 2s);
  EXPECT_FALSE(scheduler_.has_request(0));
}

TEST_F(RequestSchedulerTest, ClientDisconnectEndsItsRequest) {
  scheduler_.request_arrived(request(0));
  scheduler_.client_disconnected(0);
  EXPECT_FALSE(scheduler_.has_request(0));
  EXPECT_FALSE(scheduler_.next(start));
}

}  // namespace
}  // namespace robinhoist
