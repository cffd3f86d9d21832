#include "release.h"

#include <chrono>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

constexpr Duration news_interval = 2s;
constexpr Duration first_report = 500ms;
constexpr Duration report_interval = 100ms;
constexpr Duration initial_age = 100ms;
// If the proxy casts no vote in the second stage, votes of others roll back the release by then.
constexpr Duration max_second_stage = 1500ms;
constexpr double first_stage_cap = 0.5;
constexpr double second_stage_cap = 1.0;

const char* wire_name(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::canary:
      return "IN_PROGRESS";
    case ReleasePhase::released:
      return "COMPLETE";
    case ReleasePhase::rolling_back:
      return "ROLLING_BACK";
    case ReleasePhase::rolled_back:
      break;
  }
  return "ROLLED_BACK";
}

ReleaseUpdate initial_update(bool has_canary) {
  if (has_canary)
    return {.build = canary_build,
            .stage = 0,
            .phase = ReleasePhase::canary,
            .cap = first_stage_cap,
            .since = {}};
  return {
      .build = released_build, .stage = 0, .phase = ReleasePhase::released, .cap = 1, .since = {}};
}

}  // namespace

Release::Release(net::Loop& loop, const Plan& plan, Observer& observer, WriteLine write_line)
    : loop_(loop),
      timers_(loop),
      plan_(plan),
      observer_(observer),
      write_line_(std::move(write_line)),
      state_{.update = initial_update(plan.canary.has_value()), .began = loop.now() - initial_age},
      announced_(state_) {}

Release::~Release() = default;

std::string Release::to_json(const State& state) const {
  return R"({"Revision":)" + std::to_string(state.update.build) + R"(,"Wave":)" +
         std::to_string(state.update.stage) + R"(,"State":")" + wire_name(state.update.phase) +
         R"(","MaxShare":)" + std::to_string(state.update.cap) + R"(,"AgeMs":)" +
         std::to_string((loop_.now() - state.began) / 1ms) + "}";
}

std::string Release::news_line() const {
  return R"({"type":"ROLLOUT","object":)" + announced_json() + "}\n";
}

void Release::start(TimePoint traffic_start) {
  if (!plan_.canary)
    return;
  timers_.at(traffic_start + plan_.canary->second_stage, [this] { begin_second_stage(); });
  timers_.at(traffic_start + plan_.canary->second_stage + max_second_stage,
             [this] { roll_back(); });
  timers_.in(news_interval, [this] { repeat_news(); });
  timers_.at(traffic_start + first_report, [this] { report_wrong_answers(); });
}

// The reason for the proxy to vote; that the canary answers well keeps it in use until it is rolled
// back.
void Release::report_wrong_answers() {
  write_line_(R"({"type":"DISPUTE","object":{"InstanceId":")" + std::string(canary_name) +
              R"(","Lane":"look","AgeMs":100}})" + "\n");
  timers_.in(report_interval, [this] { report_wrong_answers(); });
}

void Release::enter(int stage, ReleasePhase phase, double cap, Duration news_delay) {
  state_.update.stage = stage;
  state_.update.phase = phase;
  state_.update.cap = cap;
  state_.began = loop_.now();
  timers_.in(news_delay, [this, state = state_] {
    if (state.began > announced_.began)  // news of a later state may take less time
      announced_ = state;
    announce();
  });
}

void Release::begin_second_stage() {
  enter(1, ReleasePhase::canary, second_stage_cap, plan_.canary->stage_news_delay);
}

void Release::roll_back() {
  if (state_.update.phase == ReleasePhase::canary)
    enter(1, ReleasePhase::rolling_back, 0, plan_.canary->rollback_news_delay);
}

void Release::announce() const {
  if (write_line_(news_line()))
    record_news_sent();
}

void Release::repeat_news() {
  announce();
  timers_.in(news_interval, [this] { repeat_news(); });
}

void Release::answer_vote(const http::ExchangePtr& exchange) {
  if (!plan_.canary) {
    exchange->answer(http::json_response(200, announced_json()));
    return;
  }
  if (state_.update.stage == 1)
    timers_.in(plan_.canary->rollback_delay, [this] { roll_back(); });
  timers_.in(plan_.canary->vote_delay,
             [this, exchange, update = state_.update, json = to_json(state_)] {
               exchange->answer(http::json_response(200, json));
               observer_.release_sent(update);
             });
}

}  // namespace robinhoist::soak
