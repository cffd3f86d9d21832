// The router with the platform's protocol: the scripts in tests/platform/*.txt, the configuration,
// isolation between configurations, and bounded resource use.
#include <gmock/gmock.h>
#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <thread>

#include "child_process.h"
#include "platform/protocol.h"
#include "platform/router_settings.h"
#include "platform_fixture.h"
#include "proxy/upstream_pool.h"
#include "proxy_fixture.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

// A router with the platform's protocol and one configuration.
struct PlatformFixture {
  explicit PlatformFixture(const std::string& text) : config(platform::decode_config(text)) {}
  platform::Config config;
  platform::PlatformProtocol protocol{config.module_settings};
  ProxyFixture proxy{[this](ProxyFixture& proxy) {
    return std::make_unique<proxy::Router>(proxy.loop, platform::router_settings(config),
                                           config.module_settings, protocol, proxy.log,
                                           proxy.endpoints, proxy.releases);
  }};
};

class PlatformScript : public testing::TestWithParam<std::string> {};

TEST_P(PlatformScript, runs_as_scripted) {
  PlatformFixture platform(config_text());
  run_script(platform.proxy, GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, PlatformScript,
                         testing::ValuesIn(files_in(TESTS "/platform", ".txt")), script_name);

TEST(Config, error_names_the_invalid_field) {
  struct Case {
    const char* valid;
    const char* invalid;
    const char* error;
  };
  const std::string long_zone =
      R"("members": [{"id": "a", "host_port": "127.0.0.1:1", "locality": ")" +
      std::string(257, 'x') + R"("}])";
  const Case cases[] = {
      {R"("seed": "8c1f30d27a5be964")", R"("seed": "xyz")", "field seed holds 'xyz'"},
      {R"("discovery": "127.0.0.1:1")", R"("discovery": "nowhere")",
       "field discovery holds 'nowhere'"},
      {R"("sockets": 256)", R"("sockets": "many")", "limits: field sockets is not a number"},
      {R"("State": "COMPLETE")", R"("State": "DONE")",
       "release_api: field State holds the unknown word"},
      {R"("members": [])", R"("members": 3)", "known: field members is not an array"},
      {R"("members": [])", long_zone.c_str(), "known: field locality is not a name of at most 256"},
      {R"("tick_ms": 1.0,)", "", "settings: missing field tick_ms"},
      {R"("name": "n0",)", "", "missing field name"},
      {R"("balancers": 1,)", R"("balancers": 1)", "at byte"}};
  for (const Case& test : cases)
    try {
      platform::decode_config(replace_once(config_text(), test.valid, test.invalid));
      ADD_FAILURE() << "accepted: " << test.error;
    } catch (const json::DecodeError& error) {
      EXPECT_THAT(error.what(), testing::HasSubstr(test.error));
    }
}

TEST(Config, descriptors_are_reserved_for_endpoints_and_platform) {
  const platform::Config config = platform::decode_config(config_text());
  const proxy::RouterSettings settings = platform::router_settings(config);
  EXPECT_GE(settings.server.max_clients, 256u / 3);
  EXPECT_GT(settings.upstream.max_connections, settings.server.max_clients);
  EXPECT_LT(settings.server.max_clients + settings.upstream.max_connections, 240u);
  EXPECT_LT(settings.upstream.idle_timeout, config.module_settings.endpoint_idle_timeout);
}

registry::Update endpoint_update(bool complete, EndpointPhase phase,
                                 const std::vector<std::string>& names) {
  registry::Update update{.series = "", .version = 1, .complete = complete, .entries = {}};
  for (const std::string& name : names)
    update.entries.push_back({.name = name, .address = "127.0.0.1:9", .phase = phase});
  return update;
}

// Guards against an endpoint list that grows without end, and against a maximum that keeps out the
// endpoints of a new list while those of the old one have just been removed.
TEST(UpstreamPool, knows_a_maximum_of_endpoints_and_reuses_slots_at_it) {
  constexpr std::size_t max_endpoints = 3;
  net::Loop loop(net::steady_now());
  const log::Logger log("test", "off");
  const auto settings = platform::decode_config(config_text()).module_settings;
  proxy::UpstreamPool pool(loop, {}, settings, log, net::wall_now, max_endpoints);
  const auto apply = [&](bool complete, EndpointPhase phase,
                         const std::vector<std::string>& names) {
    loop.advance(1ms);
    return pool.apply(endpoint_update(complete, phase, names)).size();
  };
  EXPECT_EQ(apply(true, EndpointPhase::ready, {"a", "b", "c"}), 3u);
  EXPECT_EQ(apply(true, EndpointPhase::ready, {"d", "e", "f"}), 3u);
  EXPECT_EQ(apply(false, EndpointPhase::ready, {"g", "h"}), 0u);
  EXPECT_EQ(pool.slots().size(), max_endpoints);
  EXPECT_EQ(pool.listed().size(), max_endpoints);
  EXPECT_FALSE(pool.find("g"));
  EXPECT_EQ(apply(false, EndpointPhase::removed, {"e"}), 1u);
  EXPECT_EQ(apply(false, EndpointPhase::ready, {"g", "h"}), 1u);
  EXPECT_TRUE(pool.find("g"));
  EXPECT_EQ(pool.slots().size(), max_endpoints);
}

// Guards against a wall clock that is stepped: a start that was listed before stays where it was,
// and a new one is neither taken for one long ago, so that a cold endpoint is pushed over, nor for
// one in the future.
TEST(UpstreamPool, start_times_do_not_move_with_the_wall_clock) {
  for (const Duration step : {Duration(1h), Duration(-1h), Duration(2s), Duration(-2s)}) {
    net::Loop loop(net::steady_now());
    const log::Logger log("test", "off");
    const auto settings = platform::decode_config(config_text()).module_settings;
    WallTime wall_zero{1000000s};
    const auto wall_now = [&] { return wall_zero + loop.now().time_since_epoch(); };
    proxy::UpstreamPool pool(loop, {}, settings, log, wall_now, 10);
    const auto started = [&](const char* name, WallTime start) {
      registry::Update update = endpoint_update(false, EndpointPhase::ready, {name});
      update.entries[0].started = start;
      return pool.apply(update).at(0).started;
    };
    loop.advance(100s);
    const WallTime before_step = wall_now() - 500ms;
    const TimePoint known = started("known", before_step);
    EXPECT_LE(known, loop.now() - 400ms);
    wall_zero += step;
    EXPECT_EQ(started("known", before_step), known);
    // Stamped before the step, by the page read afterwards.
    EXPECT_GE(started("late", before_step), known - 100ms);
    EXPECT_LE(started("late", before_step), loop.now());
    const TimePoint restart = loop.now();
    EXPECT_GE(started("known", wall_now()), restart - 100ms);
    EXPECT_LE(started("new", wall_now() - 1ms), loop.now());
    EXPECT_GE(started("new", wall_now() - 1ms), restart - 100ms);
  }
}

// The settings of a different customer: the same values with other names.
std::string renamed(std::string text) {
  struct Renaming {
    const char* from;
    const char* to;
  };
  const Renaming renamings[] = {{R"("look")", R"("browse")"},
                                {R"("book")", R"("reserve")"},
                                {R"("pay")", R"("settle")"},
                                {R"("here")", R"("elsewhere")"}};
  for (const Renaming& renaming : renamings)
    text = replace_once(text, renaming.from, renaming.to);
  return text;
}

std::string description(const Decision& decision) {
  return std::to_string(static_cast<int>(decision.action)) + " " +
         std::to_string(decision.request_id) + " " + std::to_string(decision.endpoint) + " " +
         std::to_string(decision.duration.count()) + decision.text;
}

std::vector<EndpointInfo> ready_endpoints(int count) {
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < count; ++i) {
    EndpointInfo endpoint{};
    endpoint.endpoint = i;
    endpoint.build = 1;
    endpoint.size = 1;
    endpoint.phase = EndpointPhase::ready;
    endpoint.sort_key = static_cast<unsigned>(i);
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

// Creates an engine with a customer's settings and returns all its decisions on a number of
// requests. `interleaved` runs between any two requests.
std::vector<std::string> decisions(const std::string& config,
                                   const std::function<void()>& interleaved) {
  const auto settings = platform::decode_config(config).module_settings;
  DecisionEngine engine(7, settings.endpoints, settings.canary_quota, settings.analysis,
                        settings.requests);
  std::vector<std::string> decided;
  TimePoint now{1s};
  const auto run_engine = [&] {
    while (const auto decision = engine.next(now)) {
      decided.push_back(description(*decision));
      if (decision->action != Action::forward)
        continue;
      const bool rejected = decision->request_id % 3 == 0;
      engine.attempt_ended(decision->request_id, 0, rejected ? Outcome::rejected : Outcome::ok,
                           !rejected, {}, now + 5ms);
    }
    interleaved();
  };
  engine.release_updated({1, 0, ReleasePhase::released, 1, Duration{}}, now);
  engine.endpoints_updated(EndpointUpdateKind::complete, ready_endpoints(6), now);
  for (int request_id = 1; request_id < 200; ++request_id) {
    engine.request_arrived({request_id, request_id % 3, 0, now + 400ms, 0, "", false}, now);
    run_engine();
    now += 7ms;
  }
  return decided;
}

TEST(Customers, names_do_not_affect_decisions_and_engines_share_no_state) {
  const std::vector<std::string> alone = decisions(config_text(), [] {});
  EXPECT_GT(alone.size(), 200u);
  EXPECT_EQ(decisions(renamed(config_text()), [] {}), alone);
  int requests = 0;
  const auto run_another_engine = [&] {
    if (++requests % 50 == 0)
      decisions(renamed(config_text()), [] {});
  };
  EXPECT_EQ(decisions(config_text(), run_another_engine), alone);
}

// Two routers run one after the other in the same process at the same address. The second must not
// know the request classes of the first.
TEST(Customers, routers_in_sequence_at_the_same_address_are_independent) {
  const int port = free_port();
  for (const bool second : {false, true}) {
    const std::string text =
        replace_once(config_text(), "127.0.0.1:0", "127.0.0.1:" + std::to_string(port));
    PlatformFixture platform(second ? renamed(text) : text);
    ProxyFixture& fixture = platform.proxy;
    const auto step = [&](const Words& words, Duration then = 0ms) {
      fixture.loop.call([&] { fixture.step(words); });
      std::this_thread::sleep_for(then);
    };
    step({"node", "a", "ok"});
    const std::string id = "Request-Id: r1", time = "Request-Timeout: 400m";
    step({"send", "first", "GET", "/look", id, time}, 50ms);
    step({"send", "second", "GET", "/browse", id, time}, 50ms);
    step({"expect", "first", "status", second ? "404" : "200"});
    step({"expect", "second", "status", second ? "200" : "404"});
  }
}

// One attempt is waiting for its connection, another for its response.
// An endpoint that is replaced by a new process under the same name and address.
class WrongAnswerReports : public testing::Test {
 protected:
  void list(int build, WallTime started) {
    platform_.proxy.loop.call([&] {
      const int port = platform_.proxy.scripted.at("a")->port();
      const registry::Endpoint endpoint{.name = "a",
                                        .address = "127.0.0.1:" + std::to_string(port),
                                        .zone = "here",
                                        .build = build,
                                        .started = started};
      platform_.proxy.endpoints.on_update(
          {.series = "s", .version = ++version_, .complete = false, .entries = {endpoint}});
    });
  }
  void begin_canary(int build) {
    platform_.proxy.loop.call([&] {
      platform_.proxy.releases.on_update({build, 0, ReleasePhase::canary, 0.5, Duration{}});
    });
  }
  // Reports some answers to attempts that were sent this long ago.
  void report(Duration ago) {
    constexpr int reports = 5;
    platform_.proxy.loop.call([&] {
      for (int i = 0; i < reports; ++i)
        EXPECT_TRUE(platform_.proxy.router->report_wrong_answer("a", ago));
    });
  }
  bool votes_to_roll_back(Duration within) {
    constexpr Duration poll_interval = 10ms;
    for (Duration waited{}; waited < within; waited += poll_interval) {
      bool voted = false;
      platform_.proxy.loop.call([&] {
        const auto& votes = platform_.proxy.releases.votes;
        voted = std::find(votes.begin(), votes.end(), Verdict::roll_back) != votes.end();
      });
      if (voted)
        return true;
      std::this_thread::sleep_for(poll_interval);
    }
    return false;
  }

  PlatformFixture platform_{config_text()};

 private:
  void SetUp() override {
    platform_.proxy.loop.call([this] { platform_.proxy.step({"node", "a", "ok"}); });
  }
  int version_ = 1;
};

// Guards against a good build that is voted back for wrong answers of the build before it: clients
// report them seconds later, when the endpoint may already run the next build.
TEST_F(WrongAnswerReports, about_an_earlier_build_do_not_count_against_its_successor) {
  list(2, net::wall_now());
  begin_canary(2);
  report(5s);
  EXPECT_FALSE(votes_to_roll_back(500ms));
  report(0s);
  EXPECT_TRUE(votes_to_roll_back(20s));
}

// A restart of the endpoint with the same build takes nothing from the evidence on it.
TEST_F(WrongAnswerReports, about_an_earlier_process_count_if_it_had_the_same_build) {
  list(2, WallTime{});
  list(2, net::wall_now());
  begin_canary(2);
  report(5s);
  EXPECT_TRUE(votes_to_roll_back(20s));
}

TEST(Router, can_be_destroyed_with_requests_open) {
  PlatformFixture platform(config_text());
  ProxyFixture& fixture = platform.proxy;
  fixture.loop.call([&] {
    fixture.step({"node", "a", "silence"});
    fixture.step({"send", "c", "GET", "/look", "Request-Id: r1", "Request-Timeout: 400m"});
  });
  std::this_thread::sleep_for(30ms);
  fixture.loop.call([&] {
    fixture.step({"listed", "a", "out"});
    fixture.step({"node", "b", "stuck"});
    fixture.step({"send", "d", "GET", "/look", "Request-Id: r2", "Request-Timeout: 400m"});
  });
  std::this_thread::sleep_for(30ms);
  fixture.loop.call([&] {
    EXPECT_EQ(fixture.router->open_requests(), 2u);
    fixture.router.reset();
  });
  std::this_thread::sleep_for(30ms);
  fixture.loop.call([&] {
    for (const char* name : {"c", "d"})
      EXPECT_TRUE(fixture.clients[name].closed) << name;
  });
}

std::ptrdiff_t open_descriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

// Simulates hours in which endpoints, builds, ids and connections are replaced.
class RouterResourceUse : public testing::Test {
 protected:
  static constexpr int endpoints = 8;
  static constexpr int clients = 20;

  void step(const Words& words) {
    proxy_.loop.call([&] { proxy_.step(words); });
  }

  static std::string endpoint_name(int round, int endpoint) {
    return "n" + std::to_string(round) + "-" + std::to_string(endpoint);
  }

  void play_round(int round) {
    for (int endpoint = 0; endpoint < endpoints; ++endpoint)
      step({"node", endpoint_name(round, endpoint), "ok", "in", std::to_string(1 + round)});
    for (int client = 0; client < clients; ++client) {
      const std::string id = std::to_string(round) + "-" + std::to_string(client);
      step({"send", "c" + std::to_string(client), "POST", "/book", "Request-Id: i" + id,
            "Idempotency-Key: k" + id, "Request-Timeout: 400m"});
    }
    EXPECT_EQ(wait_for_answers(), 0u);
    for (int endpoint = 0; endpoint < endpoints; ++endpoint)
      step({"listed", endpoint_name(round, endpoint), "out"});
    proxy_.loop.call([&] {
      proxy_.clients.clear();
      proxy_.scripted.clear();
      proxy_.loop.advance(61s);
    });
    std::this_thread::sleep_for(20ms);
  }

  // Returns how many requests are still open after a second.
  std::size_t wait_for_answers() {
    std::size_t unanswered = 1;
    for (int tries = 0; tries < 200 && unanswered > 0; ++tries) {
      std::this_thread::sleep_for(5ms);
      proxy_.loop.call([&] { unanswered = proxy_.router->open_requests(); });
    }
    return unanswered;
  }

  PlatformFixture platform_{config_text()};
  ProxyFixture& proxy_ = platform_.proxy;
};

TEST_F(RouterResourceUse, memory_descriptors_and_slots_stay_bounded) {
  constexpr int rounds = 60;
  constexpr int warm_up_rounds = 20;
  constexpr std::size_t tolerated_growth = std::size_t{64} * 1024;  // bytes
  std::size_t memory = 0;
  std::size_t slots = 0;
  std::ptrdiff_t descriptors = 0;
  for (int round = 0; round < rounds; ++round) {
    play_round(round);
    proxy_.loop.call([&] {
      if (round == warm_up_rounds) {
        memory = ::mallinfo2().uordblks;
        slots = proxy_.router->upstream_slots();
        descriptors = open_descriptors();
      }
      if (round + 1 < rounds)
        return;
      EXPECT_LE(proxy_.router->upstream_slots(), slots);
      EXPECT_LE(open_descriptors(), descriptors);
      EXPECT_LT(::mallinfo2().uordblks, memory + tolerated_growth);
    });
  }
}

}  // namespace
}  // namespace robinhoist
