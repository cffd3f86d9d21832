// The clients of the platform's services: discovery and the release API.
#include <gmock/gmock.h>

#include <functional>
#include <optional>

#include "platform/discovery.h"
#include "platform/release_api.h"
#include "platform_fixture.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;

/// A loop and a log that says nothing.
class PlatformService : public testing::Test {
 protected:
  void run_loop_for(Duration time) {
    loop_.in(time, [this] { loop_.stop(); });
    loop_.run();
  }

  net::Loop loop_{net::steady_now()};
  log::Logger log_{"test", "off"};
};

class Discovery : public PlatformService {
 protected:
  static constexpr std::int64_t known_version = 7;

  std::unique_ptr<platform::Discovery> start(const ScriptedService& service) {
    auto discovery = std::make_unique<platform::Discovery>(
        loop_, service.address(), known_version, platform::Discovery::watch_settings(1), log_);
    discovery->start(
        [this](const registry::Update& update) { versions_.push_back(update.version); });
    return discovery;
  }

  std::vector<std::int64_t> versions_{};  // of all updates
};

// What is cut in mid-line or makes no sense is not delivered, and the watch is resumed from the
// known version, also at another address.
TEST_F(Discovery, is_resumed_after_cuts_noise_and_moves) {
  int connections = 0;
  ScriptedService first(loop_, [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    ++connections;
    if (connections == 1) {
      exchange->write(endpoint_list(8, true) + "\n" + endpoint_list(9, false).substr(0, 30));
      exchange->abort_connection();
    } else if (connections == 2) {
      exchange->write(endpoint_list(9, false) + "what is this\n" + endpoint_list(10, false));
    } else {
      exchange->write("\n");
    }
  });
  ScriptedService second(loop_, [](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    exchange->write(endpoint_list(12, false));
  });
  const auto discovery = start(first);
  loop_.in(600ms, [&] { discovery->set_address(second.address()); });
  run_loop_for(800ms);
  EXPECT_THAT(versions_, ElementsAre(8, 9, 12));
  ASSERT_GE(first.targets.size(), 3u);
  EXPECT_EQ(first.targets[0], "/discovery/hosts?watch=1&from=7");
  EXPECT_EQ(first.targets[1], "/discovery/hosts?watch=1&from=8");
  EXPECT_EQ(first.targets[2], "/discovery/hosts?watch=1&from=9");
  EXPECT_EQ(second.targets.at(0), "/discovery/hosts?watch=1&from=9");
}

// Over many lines, in the smallest pieces, two at a time, with braces in strings. A list that is
// older than the known one is refused.
TEST_F(Discovery, accepts_complete_lists_in_any_layout) {
  std::string indented = replace_once(endpoint_list(8, true), ",", ",\r\n    ");
  indented = replace_once(indented, "\"m\"", "\"}]\\\"{\\\\\"");
  int connections = 0;
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    if (++connections > 1)
      return;
    for (const char byte : indented)
      exchange->write(std::string(1, byte));
    exchange->write(endpoint_list(9, false) + endpoint_list(9, false));
    exchange->write(endpoint_list(10, true) + endpoint_list(7, true) + endpoint_list(11, false));
  });
  const auto discovery = start(service);
  run_loop_for(300ms);
  EXPECT_THAT(versions_, ElementsAre(8, 9, 9, 10));
  ASSERT_EQ(service.targets.size(), 2u);  // again after the older one
  EXPECT_EQ(service.targets[1], "/discovery/hosts?watch=1&from=10");
}

TEST_F(Discovery, accepts_a_new_series_of_versions_in_the_end) {
  ScriptedService service(loop_, [](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    exchange->write(endpoint_list(2, true));
  });
  const auto discovery = start(service);
  loop_.in(100ms, [&] {
    EXPECT_THAT(versions_, IsEmpty());
    loop_.advance(6s);
    loop_.in(800ms, [&] { loop_.stop(); });
  });
  loop_.run();
  EXPECT_THAT(versions_, ElementsAre(2));
}

// A change counts as known 6 s after it was made: by then two retries have had their time.
TEST_F(Discovery, notices_silence_in_time) {
  const platform::Watch::Settings settings = platform::Discovery::watch_settings(1);
  EXPECT_GT(settings.timeouts.next, 2s);  // an empty line is due so often
  EXPECT_LE(settings.timeouts.next + 2 * (settings.timeouts.first + settings.max_retry_delay), 6s);
}

using Watch = PlatformService;

// A connection that trickles an object without its end is silent, and so is one that is never
// answered: the third has the object.
TEST_F(Watch, takes_bytes_without_a_complete_object_for_silence) {
  const platform::Watch::Settings settings{.resource = "x",
                                           .timeouts = {.first = 100ms, .next = 100ms},
                                           .max_retry_delay = 50ms,
                                           .seed = 1};
  int connections = 0;
  std::function<void(const http::ExchangePtr&)> trickle = [&](const http::ExchangePtr& exchange) {
    if (exchange->write("{"))
      loop_.in(5ms, [&trickle, exchange] { trickle(exchange); });
  };
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    if (++connections == 2)
      return;
    exchange->begin_stream({});
    exchange->write("\n{\"n\":" + std::to_string(connections) + "}");
    if (connections == 1)
      trickle(exchange);
  });
  platform::Watch watch(loop_, service.address(), settings, log_);
  std::vector<int> objects;
  watch.start([] { return "/"; },
              [&](const json::Value& object) {
                objects.push_back(json::integer(object, "n"));
                if (objects.size() == 2)
                  loop_.stop();
              });
  run_loop_for(5s);
  EXPECT_THAT(objects, ElementsAre(1, 3));
  EXPECT_EQ(connections, 3);
}

using ReleaseApi = PlatformService;

struct VoteCase {
  std::string answer;  // status and body, or "break", or "silence"
  Outcome outcome;
};

class ReleaseApiVote : public PlatformService, public testing::WithParamInterface<VoteCase> {
 protected:
  void answer(const http::ExchangePtr& exchange) const {
    const std::string& answer = GetParam().answer;
    if (exchange->request.target == "/v1/watch")
      exchange->begin_stream({});
    else if (answer == "break")
      exchange->abort_connection();
    else if (answer != "silence")
      exchange->answer(http::json_response(std::stoi(answer), answer.substr(4)));
  }
};

TEST_P(ReleaseApiVote, gets_one_result_that_says_whether_it_may_count) {
  ScriptedService service(loop_, [this](const http::ExchangePtr& exchange) { answer(exchange); });
  platform::ReleaseApi api(loop_, service.address(),
                           ReleaseUpdate{2, 0, ReleasePhase::canary, 0.1, 1s}, 100ms, 1, log_);
  std::vector<int> stages;
  api.start([&](const ReleaseUpdate& release) { stages.push_back(release.stage); });
  std::vector<Outcome> outcomes;
  api.vote({2, 0, Verdict::roll_back}, [&](Outcome outcome) { outcomes.push_back(outcome); });
  // The address moves while the vote is in flight: its answer still comes.
  api.set_address("127.0.0.1:1");
  run_loop_for(200ms);
  EXPECT_THAT(outcomes, ElementsAre(GetParam().outcome));
  EXPECT_EQ(stages.size(), GetParam().outcome == Outcome::ok ? 2u : 1u);
  EXPECT_EQ(service.bodies.back(), R"({"Revision":2,"Wave":0,"Decision":"stop"})");
}

INSTANTIATE_TEST_SUITE_P(
    All, ReleaseApiVote,
    testing::Values(VoteCase{"200 " + release_json(2, 1, "IN_PROGRESS"), Outcome::ok},
                    VoteCase{"200 {\"Revision\":2,", Outcome::timeout},
                    VoteCase{"200 {\"words\":\"other\"}", Outcome::timeout},
                    VoteCase{"409 {\"error\":\"conflict\"}", Outcome::obsolete},
                    VoteCase{"429 {\"error\":\"throttled\"}", Outcome::rejected},
                    VoteCase{"500 {\"error\":\"internal\"}", Outcome::error},
                    VoteCase{"break", Outcome::timeout}, VoteCase{"silence", Outcome::timeout}));

TEST_F(ReleaseApi, drops_earlier_states_and_passes_wrong_answer_reports_on) {
  ScriptedService service(loop_, [](const http::ExchangePtr& exchange) {
    const std::string older =
        replace_once(release_json(2, 0, "IN_PROGRESS"), "\"AgeMs\":0", "\"AgeMs\":5000");
    exchange->begin_stream({});
    exchange->write(
        R"({"type":"ROLLOUT","object":)" + release_json(2, 1, "IN_PROGRESS") + "}\n{}\n" +
        R"({"type":"ROLLOUT","object":)" + older + "}\n" +
        R"({"type":"DISPUTE","object":{"InstanceId":"s1","Lane":"look","AgeMs":1200}})" + "\n");
  });
  platform::ReleaseApi api(loop_, service.address(),
                           ReleaseUpdate{1, 0, ReleasePhase::released, 1, 1s}, 100ms, 1, log_);
  std::vector<std::pair<int, int>> updates;  // build and stage
  std::vector<std::string> wrong;
  api.on_wrong_answer([&](const std::string& endpoint, Duration) { wrong.push_back(endpoint); });
  api.start(
      [&](const ReleaseUpdate& release) { updates.emplace_back(release.build, release.stage); });
  run_loop_for(100ms);
  EXPECT_THAT(updates, ElementsAre(Pair(1, 0), Pair(2, 1)));
  EXPECT_THAT(wrong, ElementsAre("s1"));
}

// The answer to a vote may come so late that its stage is over: that stage's cap must not return.
TEST_F(ReleaseApi, does_not_return_to_a_stage_by_a_late_answer) {
  http::ExchangePtr watch;
  http::ExchangePtr vote;
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    if (exchange->request.target != "/v1/watch") {
      vote = exchange;
      return;
    }
    exchange->begin_stream({});
    watch = exchange;
  });
  platform::ReleaseApi api(loop_, service.address(),
                           ReleaseUpdate{2, 0, ReleasePhase::canary, 0.1, 1s}, 200ms, 1, log_);
  std::vector<std::pair<int, ReleasePhase>> updates;
  api.start(
      [&](const ReleaseUpdate& release) { updates.emplace_back(release.stage, release.phase); });
  api.vote({2, 0, Verdict::roll_back}, [](Outcome) {});
  // The answer's age was true when it was written.
  loop_.in(100ms,
           [&] { vote->answer(http::json_response(200, release_json(2, 0, "IN_PROGRESS"))); });
  loop_.in(50ms, [&] {
    watch->write(R"({"type":"ROLLOUT","object":)" + release_json(2, 1, "ROLLING_BACK") + "}\n");
  });
  run_loop_for(200ms);
  EXPECT_THAT(updates,
              ElementsAre(Pair(0, ReleasePhase::canary), Pair(1, ReleasePhase::rolling_back)));
}

}  // namespace
}  // namespace robinhoist
