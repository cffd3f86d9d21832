// The clients of the platform's services: discovery and the release API.
#include <gmock/gmock.h>

#include <deque>
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

/// A loop, and a logger that writes nothing.
class PlatformService : public testing::Test {
 protected:
  // Of tests that stop the loop themselves; longer than their advances of the clock.
  static constexpr Duration max_run_time = 60s;

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

// Truncated and invalid data is not delivered. The watch is resumed from the known version, also at
// a new address.
TEST_F(Discovery, resumes_after_truncated_and_invalid_data_and_at_a_new_address) {
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

// Objects may span several lines, arrive byte by byte or two at a time, and have braces in strings.
// A list that is older than the known one is rejected.
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
  ASSERT_EQ(service.targets.size(), 2u);  // reconnected after the older list
  EXPECT_EQ(service.targets[1], "/discovery/hosts?watch=1&from=10");
}

TEST_F(Discovery, accepts_a_new_series_of_versions_after_the_propagation_deadline) {
  int rejected = 0;
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    exchange->on_disconnect = [&] {
      ++rejected;
      loop_.advance(2s);
    };
    exchange->write(endpoint_list(2, true));
  });
  platform::Discovery discovery(loop_, service.address(), known_version,
                                platform::Discovery::watch_settings(1), log_);
  discovery.start([&](const registry::Update& update) {
    versions_.push_back(update.version);
    EXPECT_GE(rejected, 3);  // in 6 s
    loop_.stop();
  });
  run_loop_for(max_run_time);
  EXPECT_THAT(versions_, ElementsAre(2));
}

// Guards against a drain that is undone by late lists: two with a long time between them are no new
// series of versions.
TEST_F(Discovery, late_lists_far_apart_are_no_new_series) {
  int connections = 0;
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    switch (++connections) {
      case 2:
        loop_.advance(7s);  // the connection is silent for too long
        break;
      case 4:
        loop_.stop();
        break;
      default:
        exchange->write(endpoint_list(2, true));
    }
  });
  const auto discovery = start(service);
  run_loop_for(max_run_time);
  EXPECT_EQ(connections, 4);
  EXPECT_THAT(versions_, IsEmpty());
}

// Guards against the same after a change of the address: a late list of the former service says
// nothing about the versions of the present one.
TEST_F(Discovery, late_lists_of_two_addresses_are_no_new_series) {
  int rejected = 0;
  std::function<void()> on_rejected;
  const auto handler = [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    exchange->on_disconnect = [&] { on_rejected(); };
    exchange->write(endpoint_list(2, true));
  };
  ScriptedService first(loop_, handler);
  ScriptedService second(loop_, handler);
  const auto discovery = start(first);
  on_rejected = [&] {
    ++rejected;
    if (rejected == 3)
      discovery->set_address(second.address());
    else if (rejected == 5)
      loop_.stop();
    else
      loop_.advance(2500ms);
  };
  run_loop_for(max_run_time);
  EXPECT_EQ(rejected, 5);
  EXPECT_THAT(versions_, IsEmpty());
  on_rejected = [] {};
}

// Guards against a refresh that is lost or lets an older list in: until the complete list arrives,
// the watch asks for it, and lists older than the known one are rejected.
TEST_F(Discovery, refresh_gets_the_complete_list_and_no_older_one) {
  int connections = 0;
  ScriptedService service(loop_, [&](const http::ExchangePtr& exchange) {
    exchange->begin_stream({});
    switch (++connections) {
      case 1:
        exchange->write(endpoint_list(8, false) + endpoint_list(9, false));
        break;
      case 2:
        exchange->write(endpoint_list(5, true));
        break;
      case 3:
        exchange->write(endpoint_list(10, true));
        break;
      default:
        loop_.stop();
    }
  });
  platform::Discovery discovery(loop_, service.address(), known_version,
                                platform::Discovery::watch_settings(1), log_);
  discovery.start([&](const registry::Update& update) {
    versions_.push_back(update.version);
    if (update.version == 8)
      discovery.refresh();
    if (update.version == 10)
      loop_.stop();
  });
  run_loop_for(max_run_time);
  EXPECT_THAT(versions_, ElementsAre(8, 10));
  EXPECT_THAT(service.targets,
              ElementsAre("/discovery/hosts?watch=1&from=7", "/discovery/hosts?watch=1&from=0",
                          "/discovery/hosts?watch=1&from=0"));
}

// A change counts as known 6 s after it was made. A broken watch is detected early enough for two
// retries within that time.
TEST_F(Discovery, detects_an_idle_connection_in_time) {
  const platform::Watch::Settings settings = platform::Discovery::watch_settings(1);
  EXPECT_GT(settings.timeouts.next, 2s);  // the interval of the keepalive lines
  EXPECT_LE(settings.timeouts.next + 2 * (settings.timeouts.first + settings.max_retry_delay), 6s);
}

// Guards against lists that take many times the memory of their text once they are parsed.
TEST(Framer, rejects_objects_with_many_tiny_values) {
  constexpr std::size_t max_size = 8000;
  const std::string values = [] {
    std::string text = "0";
    for (std::size_t i = 0; i < max_size / 8; ++i)
      text += ",0";
    return text;
  }();
  EXPECT_EQ(json::Framer(max_size).next("{\"a\":[" + values + "]}"), json::FrameStatus::malformed);
  EXPECT_EQ(json::Framer(max_size).next("{\"a\":[" + values.substr(8) + "]}"),
            json::FrameStatus::object);
  EXPECT_EQ(json::Framer(max_size).next("{\"a\":\"" + values + "\"}"), json::FrameStatus::object);
}

using Watch = PlatformService;

// A connection that sends an object without ever completing it counts as idle, and so does one
// without any response. The object is received on the third connection.
TEST_F(Watch, treats_incomplete_objects_as_inactivity) {
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
  std::string response;  // status and body, "disconnect", or "none"
  Outcome outcome;
};

class ReleaseApiVote : public PlatformService, public testing::WithParamInterface<VoteCase> {
 protected:
  void answer(const http::ExchangePtr& exchange) const {
    const std::string& response = GetParam().response;
    if (exchange->request.target == "/v1/watch")
      exchange->begin_stream({});
    else if (response == "disconnect")
      exchange->abort_connection();
    else if (response != "none")
      exchange->answer(http::json_response(std::stoi(response), response.substr(4)));
  }
};

TEST_P(ReleaseApiVote, reports_once_whether_the_vote_may_have_been_counted) {
  ScriptedService service(loop_, [this](const http::ExchangePtr& exchange) { answer(exchange); });
  platform::ReleaseApi api(loop_, service.address(),
                           ReleaseUpdate{2, 0, ReleasePhase::canary, 0.1, 1s}, 100ms, 1, log_);
  std::vector<int> stages;
  api.start([&](const ReleaseUpdate& release) { stages.push_back(release.stage); });
  std::vector<Outcome> outcomes;
  api.vote({2, 0, Verdict::roll_back}, [&](Outcome outcome) { outcomes.push_back(outcome); });
  // The address changes while the vote is in flight: its response is still received.
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
                    VoteCase{"disconnect", Outcome::timeout}, VoteCase{"none", Outcome::timeout}));

TEST_F(ReleaseApi, ignores_earlier_states_and_forwards_wrong_answer_reports) {
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

/// A release API whose watch and answers to votes are written by the test, one after the other.
class ReleaseApiOrder : public PlatformService {
 protected:
  static constexpr Duration vote_timeout = 2s;

  // Begins with this release in the configuration file, and a vote.
  void start(const ReleaseUpdate& known) {
    api_.emplace(loop_, service_.address(), known, vote_timeout, 1, log_);
    api_->start([this](const ReleaseUpdate& release) {
      updates_.emplace_back(release.stage, release.phase);
      last_age_ = release.since;
    });
    api_->vote({2, known.stage, Verdict::roll_back}, [](Outcome) {});
  }
  void answer_vote(const std::string& release) {
    steps_.emplace_back([this, release] { vote_->answer(http::json_response(200, release)); });
  }
  void write_watch(const std::string& release) {
    steps_.emplace_back([this, release] { watch_->write(release_event(release)); });
  }
  void advance(Duration time) {
    steps_.emplace_back([this, time] {
      loop_.advance(time);
      ++processed_otherwise_;
    });
  }
  // Takes each step when the message of the one before has been processed.
  void play() {
    take_next_step();
    run_loop_for(max_run_time);
    ASSERT_TRUE(steps_.empty()) << "a message was not processed";
  }
  // The age is as of the time when the message was made, which may be before it is delivered.
  static std::string state(int stage, const char* phase, Duration age) {
    return release_json(2, stage, phase, age);
  }

  std::vector<std::pair<int, ReleasePhase>> updates_{};  // stage and phase
  Duration last_age_{};
  std::optional<platform::ReleaseApi> api_{};

 private:
  static constexpr Duration poll_interval = 2ms;

  long processed() const {
    return static_cast<long>(updates_.size()) + api_->ignored() + processed_otherwise_;
  }
  void take_next_step() {
    const bool connected = watch_ && vote_;
    if (connected && processed() > steps_taken_) {
      if (steps_.empty()) {
        loop_.stop();
        return;
      }
      const auto step = steps_.front();
      steps_.pop_front();
      ++steps_taken_;
      step();
    }
    loop_.in(poll_interval, [this] { take_next_step(); });
  }

  http::ExchangePtr watch_{};
  http::ExchangePtr vote_{};
  ScriptedService service_{loop_, [this](const http::ExchangePtr& exchange) {
                             if (exchange->request.target != "/v1/watch") {
                               vote_ = exchange;
                               return;
                             }
                             exchange->begin_stream({});
                             watch_ = exchange;
                           }};
  std::deque<std::function<void()>> steps_{};
  long steps_taken_ = 0;
  long processed_otherwise_ = 0;
};

// The response to a vote may arrive after its stage has ended. It must not restore that stage's
// cap.
TEST_F(ReleaseApiOrder, late_vote_response_does_not_restore_an_earlier_stage) {
  start({2, 0, ReleasePhase::canary, 0.1, 1s});
  write_watch(state(1, "ROLLING_BACK", 0ms));
  advance(50ms);
  answer_vote(state(0, "IN_PROGRESS", 1s));
  play();
  EXPECT_THAT(updates_,
              ElementsAre(Pair(0, ReleasePhase::canary), Pair(1, ReleasePhase::rolling_back)));
}

// Guards against a rollback that is ignored, because the response to a vote, on its way for 0.9 s,
// made the stage before it seem to have begun later than the rollback.
TEST_F(ReleaseApiOrder, late_vote_response_does_not_hide_the_next_state) {
  start({2, 0, ReleasePhase::canary, 0.1, 1s});
  write_watch(state(1, "IN_PROGRESS", 150ms));
  advance(900ms);
  answer_vote(state(1, "IN_PROGRESS", 151ms));
  advance(200ms);
  write_watch(state(1, "ROLLING_BACK", 780ms));
  play();
  EXPECT_THAT(updates_,
              ElementsAre(Pair(0, ReleasePhase::canary), Pair(1, ReleasePhase::canary),
                          Pair(1, ReleasePhase::canary), Pair(1, ReleasePhase::rolling_back)));
}

// Guards against the same where the delayed response is the first to bring the stage.
TEST_F(ReleaseApiOrder, first_message_of_a_stage_does_not_hide_the_next_state_if_it_is_late) {
  start({2, 0, ReleasePhase::canary, 0.1, 1s});
  advance(900ms);
  answer_vote(state(1, "IN_PROGRESS", 0ms));
  write_watch(state(1, "ROLLING_BACK", 500ms));
  play();
  EXPECT_THAT(updates_, ElementsAre(Pair(0, ReleasePhase::canary), Pair(1, ReleasePhase::canary),
                                    Pair(1, ReleasePhase::rolling_back)));
}

// Guards against a rollback that is ignored after a restart: the age in the configuration file is
// as of the time when the file was written.
TEST_F(ReleaseApiOrder, old_configuration_file_does_not_hide_the_next_state) {
  start({2, 1, ReleasePhase::canary, 0.1, 300ms});
  write_watch(state(1, "ROLLING_BACK", 30s));
  play();
  EXPECT_THAT(updates_,
              ElementsAre(Pair(1, ReleasePhase::canary), Pair(1, ReleasePhase::rolling_back)));
}

// Guards against a cap that comes back: the watch tells a past stage later than the response to a
// vote has told its end, by more than the vote timeout.
TEST_F(ReleaseApiOrder, late_watch_event_does_not_restore_an_earlier_stage) {
  start({2, 0, ReleasePhase::canary, 0.1, 1s});
  answer_vote(state(1, "ROLLING_BACK", 0ms));
  advance(2500ms);
  write_watch(state(1, "IN_PROGRESS", 50ms));
  play();
  EXPECT_THAT(updates_,
              ElementsAre(Pair(0, ReleasePhase::canary), Pair(1, ReleasePhase::rolling_back)));
}

// Guards against a stage that becomes younger by the delay of a message that repeats it.
TEST_F(ReleaseApiOrder, delayed_repeat_keeps_the_age_of_a_state) {
  start({2, 1, ReleasePhase::canary, 0.1, 1s});
  advance(900ms);
  answer_vote(state(1, "IN_PROGRESS", 1s));
  play();
  ASSERT_EQ(updates_.size(), 2u);
  EXPECT_GE(last_age_, 1900ms);
}

}  // namespace
}  // namespace robinhoist
