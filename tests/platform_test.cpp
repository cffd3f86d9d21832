// Plays tests/platform/*.txt against the router with the platform's protocol; its configuration,
// discovery and release API against servers of the tests' own; and the process by its signals.
#include <malloc.h>

#include <csignal>

#include "child_process.h"
#include "platform/process.h"
#include "platform/protocol.h"
#include "platform/sources.h"
#include "stage.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

std::string config_text() {
  std::ifstream in(TESTS "/platform/config.json");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string with(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos)
    throw std::runtime_error("not in the configuration: " + from);
  return text.replace(at, from.size(), to);
}

// A stage whose router has the platform's protocol and one configuration.
struct OnPlatform {
  platform::Config config;
  platform::PlatformProtocol protocol{config.module_settings};
  tests::Stage stage{[this](tests::Stage& on) {
    return std::make_unique<proxy::Router>(on.loop, platform::router_settings(config),
                                           config.module_settings, protocol, on.log, on.endpoints,
                                           on.releases);
  }};
  explicit OnPlatform(const std::string& text) : config(platform::decoded(text)) {}
};

class PlatformPlay : public testing::TestWithParam<std::string> {};

TEST_P(PlatformPlay, goes_as_written) {
  OnPlatform on(config_text());
  tests::Stage& stage = on.stage;
  tests::play_on(stage, GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, PlatformPlay,
                         testing::ValuesIn(tests::files_in(TESTS "/platform", ".txt")),
                         tests::script_name);

TEST(Config, says_which_field_is_wrong) {
  const std::pair<std::pair<const char*, const char*>, const char*> cases[] = {
      {{"\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"xyz\""}, "field seed holds 'xyz'"},
      {{"\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"nowhere\""},
       "field discovery holds 'nowhere'"},
      {{"\"sockets\": 256", "\"sockets\": \"many\""}, "limits: field sockets is not a number"},
      {{"\"State\": \"COMPLETE\"", "\"State\": \"DONE\""},
       "release_api: field State holds the unknown word"},
      {{"\"members\": []", "\"members\": 3"}, "known: field members is not an array"},
      {{"\"tick_ms\": 1.0,", ""}, "settings: missing field tick_ms"},
      {{"\"name\": \"n0\",", ""}, "missing field name"},
      {{"\"balancers\": 1,", "\"balancers\": 1"}, "at byte"}};
  for (auto& [change, told] : cases)
    try {
      platform::decoded(with(config_text(), change.first, change.second));
      ADD_FAILURE() << "taken: " << told;
    } catch (const json::DecodeError& bad) {
      EXPECT_NE(std::string(bad.what()).find(told), std::string::npos) << bad.what();
    }
}

TEST(Config, descriptors_are_kept_for_nodes_and_platform) {
  const platform::Config config = platform::decoded(config_text());
  const proxy::RouterSettings settings = platform::router_settings(config);
  EXPECT_GE(settings.server.max_clients, 256u / 3);
  EXPECT_GT(settings.endpoint.max_connections, settings.server.max_clients);
  EXPECT_LT(settings.server.max_clients + settings.endpoint.max_connections, 240u);
  EXPECT_LT(settings.endpoint.idle_timeout, config.module_settings.keep_idle);
}

// A peer that drops idle connections unseen: what stood idle as long as those that broke is not
// used again.
TEST(Caller, learns_how_long_connections_may_stand_idle) {
  net::Loop loop(net::steady_now());
  tests::ScriptNode endpoint(loop, "stale-15");
  http::ConnectionPoolSettings settings;
  settings.budget = std::make_shared<http::ConnectionBudget>(10);
  http::ConnectionPool caller(
      loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(endpoint.port())), settings);
  int broken = 0, answered = 0;
  for (int i = 0; i < 40; ++i)
    loop.in(i * 25ms, [&] {
      caller.call({}, 1s, [&](http::CallResult how, http::Response&&) {
        broken += how == http::CallResult::connection_lost;
        answered += how == http::CallResult::answered;
      });
    });
  loop.in(1100ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(broken + answered, 40);
  EXPECT_GT(broken, 0);
  EXPECT_LT(broken, 13);  // 20 if it went on as it began
}

// What broke before its last byte was written has not run.
TEST(Caller, a_request_that_was_not_written_whole_did_not_reach) {
  net::Loop loop(net::steady_now());
  int fd = -1;
  net::Listener listener(loop, "127.0.0.1:0", [&](int accepted) { fd = accepted; });
  http::ConnectionPool caller(
      loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(listener.port())), {});
  http::Request request;
  request.method = "POST";
  request.body.assign(32 << 20, 'x');  // more than the kernel takes while nobody reads
  std::optional<http::CallResult> ended;
  caller.call(request, 1s, [&](http::CallResult how, http::Response&&) { ended = how; });
  loop.in(100ms, [&] { ::close(fd); });
  loop.in(200ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(ended, http::CallResult::connect_failed);
}

// A server of the platform's that says what the test wants, and remembers what it was asked.
struct Desk {
  net::Loop& loop;
  std::vector<std::string> asked{}, bodies{};
  std::vector<http::ExchangePtr> open{};
  std::function<void(const http::ExchangePtr&)> act{};
  http::Server server;
  explicit Desk(net::Loop& on, std::function<void(const http::ExchangePtr&)> how)
      : loop(on),
        act(std::move(how)),
        server(on, http::ServerSettings{}, [this](const http::ExchangePtr& e) {
          asked.push_back(e->request.target);
          bodies.push_back(e->request.body);
          open.push_back(e);
          act(e);
        }) {}
  std::string at() const { return "127.0.0.1:" + std::to_string(server.port()); }
};

const std::string member =
    R"({"id":"s1","host_port":"127.0.0.1:9","locality":"here","flavor":"m","cell":1,)"
    R"("phase":"ready","size":1.0,"up_since_ms":0,"build":1})";
std::string listed(int revision, bool whole) {
  return "{\"revision\":" + std::to_string(revision) +
         ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[" + member + "]}\n";
}
std::string rollout(int build, int stage, const char* state) {
  return "{\"Revision\":" + std::to_string(build) + ",\"Wave\":" + std::to_string(stage) +
         ",\"State\":\"" + state + "\",\"MaxShare\":0.5,\"AgeMs\":0}";
}

// What is cut in mid-line or makes no sense is not believed, and the watch goes on from what is
// held; moved, it goes on there.
TEST(Discovery, goes_on_from_its_version_through_cuts_noise_and_moves) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  int turn = 0;
  Desk first(loop, [&](const http::ExchangePtr& e) {
    e->begin_stream({});
    ++turn;
    if (turn == 1)
      e->write(listed(8, true) + "\n" + listed(9, false).substr(0, 30)), e->abort_connection();
    else if (turn == 2)
      e->write(listed(9, false) + "what is this\n" + listed(10, false));
    else
      e->write("\n");
  });
  Desk second(loop, [&](const http::ExchangePtr& e) {
    e->begin_stream({});
    e->write(listed(12, false));
  });
  platform::Discovery discovery(loop, first.at(), 7, platform::Discovery::watching(1), log);
  std::vector<std::int64_t> versions;
  discovery.start([&](const registry::Update& news) { versions.push_back(news.version); });
  loop.in(600ms, [&] { discovery.move(second.at()); });
  loop.in(800ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(versions, (std::vector<std::int64_t>{8, 9, 12}));
  ASSERT_GE(first.asked.size(), 3u);
  EXPECT_EQ(first.asked[0], "/discovery/hosts?watch=1&from=7");
  EXPECT_EQ(first.asked[1], "/discovery/hosts?watch=1&from=8");
  EXPECT_EQ(first.asked[2], "/discovery/hosts?watch=1&from=9");
  EXPECT_EQ(second.asked.at(0), "/discovery/hosts?watch=1&from=9");
}

// Laid out over many lines, in the smallest pieces, two at a time, with braces in strings; what is
// older than the list held is not believed, nor is a part.
TEST(Discovery, takes_whole_lists_however_they_come) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  std::string indented = with(listed(8, true), ",", ",\r\n    ");
  indented = with(indented, "\"m\"", "\"}]\\\"{\\\\\"");
  int turn = 0;
  Desk desk(loop, [&](const http::ExchangePtr& e) {
    e->begin_stream({});
    if (++turn > 1)
      return;
    for (const char c : indented)
      e->write(std::string(1, c));
    e->write(listed(9, false) + listed(9, false));
    e->write(listed(10, true) + listed(7, true) + listed(11, false));
  });
  platform::Discovery discovery(loop, desk.at(), 7, platform::Discovery::watching(1), log);
  std::vector<std::int64_t> versions;
  discovery.start([&](const registry::Update& news) { versions.push_back(news.version); });
  loop.in(300ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(versions, (std::vector<std::int64_t>{8, 9, 9, 10}));
  ASSERT_EQ(desk.asked.size(), 2u);  // anew after the older one
  EXPECT_EQ(desk.asked[1], "/discovery/hosts?watch=1&from=10");
}

TEST(Discovery, begun_anew_it_is_believed_in_the_end) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  Desk desk(loop, [&](const http::ExchangePtr& e) {
    e->begin_stream({});
    e->write(listed(2, true));
  });
  platform::Discovery discovery(loop, desk.at(), 7, platform::Discovery::watching(1), log);
  std::vector<std::int64_t> versions;
  discovery.start([&](const registry::Update& news) { versions.push_back(news.version); });
  loop.in(100ms, [&] {
    EXPECT_TRUE(versions.empty());
    loop.advance(6s);
    loop.in(800ms, [&] { loop.stop(); });
  });
  loop.run();
  EXPECT_EQ(versions, std::vector<std::int64_t>{2});
}

// A watch that trickles an object without its end is silent, and so is a connection that never
// comes up: the third has the list.
TEST(Watch, bytes_that_make_no_whole_are_no_sign_of_life) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  int turn = 0;
  std::function<void(http::ExchangePtr)> trickle = [&](http::ExchangePtr e) {
    if (e->write("{"))
      loop.in(5ms, [&, e] { trickle(e); });
  };
  Desk desk(loop, [&](const http::ExchangePtr& e) {
    if (++turn == 2)
      return;
    e->begin_stream({});
    e->write("\n{\"n\":" + std::to_string(turn) + "}");
    if (turn == 1)
      trickle(e);
  });
  platform::Watch watch(
      loop, desk.at(),
      {.what = "x", .silence = {.first = 100ms, .next = 100ms}, .pause_most = 50ms, .salt = 1},
      log);
  std::vector<int> heard;
  watch.start([] { return "/"; },
              [&](const json::Value& object) {
                heard.push_back(json::integer(object, "n"));
                if (heard.size() == 2)
                  loop.stop();
              });
  loop.in(5s, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(heard, (std::vector<int>{1, 3}));
  EXPECT_EQ(turn, 3);
}

// What a silent watch misses counts as told 6 s after: by then two tries have had their time.
TEST(Watch, a_silent_discovery_is_asked_anew_in_time) {
  const platform::Watch::Settings of = platform::Discovery::watching(1);
  EXPECT_GT(of.silence.next, 2s);  // an empty line is due so often
  EXPECT_LE(of.silence.next + 2 * (of.silence.first + of.pause_most), 6s);
}

TEST(ReleaseApi, each_vote_gets_one_answer_that_says_whether_it_may_count) {
  const std::pair<std::string, Outcome> answers[] = {
      {"200 " + rollout(2, 1, "IN_PROGRESS"), Outcome::ok},
      {"200 {\"Revision\":2,", Outcome::timeout},
      {"200 {\"words\":\"other\"}", Outcome::timeout},
      {"409 {\"error\":\"conflict\"}", Outcome::obsolete},
      {"429 {\"error\":\"throttled\"}", Outcome::rejected},
      {"500 {\"error\":\"internal\"}", Outcome::error},
      {"break", Outcome::timeout},
      {"silence", Outcome::timeout}};
  for (auto& [answer, outcome] : answers) {
    net::Loop loop(net::steady_now());
    log::Logger log("test", "off");
    Desk desk(loop, [&, answer = answer](const http::ExchangePtr& e) {
      if (e->request.target == "/v1/watch")
        return e->begin_stream({});
      if (answer == "break")
        return e->abort_connection();
      if (answer != "silence")
        e->answer(http::json_response(std::stoi(answer), answer.substr(4)));
    });
    platform::ReleaseApi api(loop, desk.at(), ReleaseUpdate{2, 0, ReleasePhase::canary, 0.1, 1s},
                             100ms, 1, log);
    std::vector<int> stages;
    api.start([&](const ReleaseUpdate& release) { stages.push_back(release.stage); });
    std::vector<Outcome> outcomes;
    api.vote(2, 0, Verdict::roll_back, [&](Outcome how) { outcomes.push_back(how); });
    // The address moves while the vote is out: its answer still comes.
    api.move("127.0.0.1:1");
    loop.in(200ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(outcomes, std::vector<Outcome>{outcome}) << answer;
    EXPECT_EQ(stages.size(), outcome == Outcome::ok ? 2u : 1u) << answer;
    EXPECT_EQ(desk.bodies.back(), R"({"Revision":2,"Wave":0,"Decision":"stop"})");
  }
}

TEST(ReleaseApi, what_stood_earlier_is_no_news_and_disputes_are_told) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  Desk desk(loop, [&](const http::ExchangePtr& e) {
    e->begin_stream({});
    std::string older = rollout(2, 0, "IN_PROGRESS");
    older.replace(older.find("\"AgeMs\":0"), 9, "\"AgeMs\":5000");
    e->write("{\"type\":\"ROLLOUT\",\"object\":" + rollout(2, 1, "IN_PROGRESS") + "}\n{}\n" +
             "{\"type\":\"ROLLOUT\",\"object\":" + older + "}\n" +
             R"({"type":"DISPUTE","object":{"InstanceId":"s1","Lane":"look","AgeMs":1200}})" +
             "\n");
  });
  platform::ReleaseApi api(loop, desk.at(), ReleaseUpdate{1, 0, ReleasePhase::released, 1, 1s},
                           100ms, 1, log);
  std::vector<int> builds;
  std::vector<std::string> flagged;
  api.on_flagged([&](const std::string& endpoint, Duration) { flagged.push_back(endpoint); });
  api.start(
      [&](const ReleaseUpdate& release) { builds.push_back(release.build * 10 + release.stage); });
  loop.in(100ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(builds, (std::vector<int>{10, 21}));
  EXPECT_EQ(flagged, std::vector<std::string>{"s1"});
}

// A vote's answer that is long on its way, from a stage that is over by then: its cap is not gone
// back to.
TEST(ReleaseApi, a_late_answer_does_not_bring_a_stage_back) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  http::ExchangePtr watching, vote;
  Desk desk(loop, [&](const http::ExchangePtr& e) {
    if (e->request.target != "/v1/watch")
      return void(vote = e);
    e->begin_stream({});
    watching = e;
  });
  platform::ReleaseApi api(loop, desk.at(), ReleaseUpdate{2, 0, ReleasePhase::canary, 0.1, 1s},
                           200ms, 1, log);
  std::vector<std::pair<int, ReleasePhase>> told;
  api.start([&](const ReleaseUpdate& release) { told.push_back({release.stage, release.phase}); });
  api.vote(2, 0, Verdict::roll_back, [](Outcome) {});
  loop.in(50ms, [&] {
    watching->write("{\"type\":\"ROLLOUT\",\"object\":" + rollout(2, 1, "ROLLING_BACK") + "}\n");
    // Its age was true when it was written.
    loop.in(50ms, [&] { vote->answer(http::json_response(200, rollout(2, 0, "IN_PROGRESS"))); });
  });
  loop.in(200ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(told, (std::vector<std::pair<int, ReleasePhase>>{{0, ReleasePhase::canary},
                                                             {1, ReleasePhase::rolling_back}}));
}

// A connection that is long in coming up: the node is told what is left by then. The kernel asks
// again after a second, when there is room at last.
TEST(Caller, words_the_time_left_when_it_writes) {
  net::Loop loop(net::steady_now());
  tests::ScriptNode endpoint(loop, "stuck");
  http::ConnectionPoolSettings settings;
  settings.connect_timeout = 3s;
  http::ConnectionPool caller(
      loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(endpoint.port())), settings);
  std::optional<Duration> left;
  caller.call(
      {}, 4s, [](http::CallResult, http::Response&&) {},
      [&](http::Request&, Duration then) {
        left = then;
        loop.stop();
      });
  std::function<void()> evict_idle = [&] {
    for (int fd; (fd = ::accept(endpoint.stuck[0], nullptr, nullptr)) >= 0;)
      endpoint.stuck.push_back(fd);
    loop.in(10ms, evict_idle);
  };
  loop.in(50ms, [&] {
    EXPECT_FALSE(left);
    evict_idle();
  });
  loop.in(3500ms, [&] { loop.stop(); });
  loop.run();
  ASSERT_TRUE(left);
  EXPECT_LT(*left, 4s - 50ms);
}

// A Server on its loop, and clients that read or don't; each step runs there, then time passes.
struct Served {
  net::Loop loop{net::steady_now()};
  std::vector<http::ExchangePtr> asked{};
  std::unique_ptr<http::Server> server;
  std::map<std::string, tests::RawClient> clients{};
  std::thread thread{};
  explicit Served(const http::ServerSettings& settings)
      : server(std::make_unique<http::Server>(
            loop, settings, [this](const http::ExchangePtr& e) { asked.push_back(e); })),
        thread([this] { loop.run(); }) {}
  ~Served() {
    loop.call([this] {
      clients.clear();
      server.reset();
    });
    loop.quit();
    thread.join();
  }
  void step(const std::function<void()>& what, Duration then = 40ms) {
    loop.call(what);
    std::this_thread::sleep_for(then);
  }
  void send(const std::string& name, const std::string& bytes) {
    step([&] {
      tests::RawClient& client = clients[name];
      if (!client.stream)
        client.stream = net::Stream::connect(
            loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(server->port())), client);
      client.stream->write(bytes);
    });
  }
};
const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// An answer that the client is slow to read is written to its end, though the server takes no more.
TEST(Server, a_drain_waits_for_answers_to_be_written) {
  Served on({});
  on.send("c", get);
  const std::size_t large = 32 << 20;  // more than the kernel takes
  on.step([&] {
    ASSERT_EQ(on.asked.size(), 1u);
    on.clients["c"].stream->read(false);
    on.asked[0]->answer(http::text_response(200, std::string(large, 'x')));
    on.server->drain();
  });
  on.step(
      [&] {
        EXPECT_EQ(on.server->clients(), 1u);
        on.clients["c"].stream->read(true);
      },
      1s);
  on.step([&] {
    EXPECT_GT(on.clients["c"].got.size(), large);
    EXPECT_EQ(on.server->clients(), 0u);
    EXPECT_TRUE(on.clients["c"].closed);
  });
}

// What a client has sent behind its last request lies unread at the close: it must not break the
// answer.
TEST(Server, a_close_is_no_reset_though_bytes_are_unread) {
  Served on({});
  on.send("c",
          "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + std::string(1 << 20, 'x'));
  on.step([&] {
    ASSERT_EQ(on.asked.size(), 1u);
    on.asked[0]->answer(http::text_response(200, "done"));
  });
  on.step([&] {
    const tests::RawClient& client = on.clients["c"];
    EXPECT_NE(client.got.find("done"), std::string::npos);
    ASSERT_TRUE(client.closed);
    EXPECT_EQ(client.how, net::CloseReason::by_peer);
    EXPECT_EQ(on.server->clients(), 0u);
  });
}

// A full house: first goes who has had its last answer, then who is idle, then who has asked by
// half, which is told so; never one with a request open.
TEST(Server, room_is_made_where_least_is_owed) {
  http::ServerSettings settings;
  settings.max_clients = 3;
  settings.evict_idle = true;
  Served on(settings);
  on.send("open", get);
  on.send("half", "GET / HT");
  on.send("idle", "");
  on.send("lingers", "what is this\r\n");
  on.step([&] {
    EXPECT_TRUE(on.clients["idle"].closed);
    EXPECT_FALSE(on.clients["half"].closed);
    on.clients["lingers"].stream->read(false);  // does not see the end
  });
  on.send("lingers", "\r\n");
  on.send("more", get);
  on.step([&] {
    EXPECT_EQ(on.asked.size(), 2u);
    EXPECT_EQ(on.server->clients(), 3u);
    EXPECT_FALSE(on.clients["half"].closed);
  });
  on.send("last", "");
  on.step([&] {
    EXPECT_EQ(on.clients["half"].got.substr(0, 12), "HTTP/1.1 503");
    for (const char* name : {"open", "more", "last"})
      EXPECT_FALSE(on.clients[name].closed) << name;
  });
}

// Another customer's settings: the same figures under other names.
std::string renamed(std::string text) {
  for (auto& [from, to] : {std::pair("\"look\"", "\"browse\""),
                           {"\"book\"", "\"reserve\""},
                           {"\"pay\"", "\"settle\""},
                           {"\"here\"", "\"elsewhere\""}})
    text = with(text, from, to);
  return text;
}

// The way of some txns through a module of its own, whose settings are of one customer; `beside`
// runs between any two steps.
std::vector<std::string> way(const std::string& config, const std::function<void()>& beside) {
  const module_settings::ModuleSettings module_settings = platform::decoded(config).module_settings;
  DecisionEngine engine(7, module_settings.endpoints, module_settings.canary_quota,
                        module_settings.analysis, module_settings.requests);
  std::vector<std::string> decided;
  TimePoint now{1s};
  const auto pull = [&] {
    while (auto d = engine.next(now)) {
      decided.push_back(std::to_string(static_cast<int>(d->action)) + " " +
                        std::to_string(d->request_id) + " " + std::to_string(d->endpoint) + " " +
                        std::to_string(d->span.count()) + d->text);
      if (d->action == Action::forward)
        engine.attempt_ended(d->request_id, 0,
                             d->request_id % 3 == 0 ? Outcome::rejected : Outcome::ok,
                             d->request_id % 3 != 0, {}, now + 5ms);
    }
    beside();
  };
  std::vector<EndpointInfo> entries(6);
  for (int n = 0; n < 6; ++n)
    entries[n].endpoint = n, entries[n].build = 1, entries[n].size = 1;
  for (EndpointInfo& entry : entries)
    entry.phase = EndpointPhase::ready, entry.order = static_cast<unsigned>(entry.endpoint);
  engine.release_updated({1, 0, ReleasePhase::released, 1, Duration{}}, now);
  engine.endpoints_updated(EndpointUpdateKind::complete, entries, now);
  for (int request_id = 1; request_id < 200; ++request_id, now += 7ms) {
    engine.request_arrived({request_id, request_id % 3, 0, now + 400ms, 0, "", false}, now);
    pull();
  }
  return decided;
}

TEST(Customers, names_decide_nothing_and_modules_share_nothing) {
  const std::vector<std::string> alone = way(config_text(), [] {});
  EXPECT_GT(alone.size(), 200u);
  EXPECT_EQ(way(renamed(config_text()), [] {}), alone);
  int turns = 0;
  const auto other = [&] {
    if (++turns % 50 == 0)
      way(renamed(config_text()), [] {});
  };
  EXPECT_EQ(way(config_text(), other), alone);
}

// One after the other in one process at one address: the second knows nothing of the first's
// products.
TEST(Customers, one_follows_another_at_the_same_address) {
  const int port = tests::free_port();
  for (const bool second : {false, true}) {
    const std::string text =
        with(config_text(), "127.0.0.1:0", "127.0.0.1:" + std::to_string(port));
    OnPlatform on(second ? renamed(text) : text);
    tests::Stage& stage = on.stage;
    const auto step = [&](const tests::Words& words, Duration then = 0ms) {
      stage.loop.call([&] { stage.step(words); });
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

// It ends while a submission waits for its connection and another for its answer.
TEST(Router, ends_with_requests_open) {
  OnPlatform on(config_text());
  tests::Stage& stage = on.stage;
  stage.loop.call([&] {
    stage.step({"node", "a", "silence"});
    stage.step({"send", "c", "GET", "/look", "Request-Id: r1", "Request-Timeout: 400m"});
  });
  std::this_thread::sleep_for(30ms);
  stage.loop.call([&] {
    stage.step({"listed", "a", "out"});
    stage.step({"node", "b", "stuck"});
    stage.step({"send", "d", "GET", "/look", "Request-Id: r2", "Request-Timeout: 400m"});
  });
  std::this_thread::sleep_for(30ms);
  stage.loop.call([&] {
    EXPECT_EQ(stage.router->open_requests(), 2u);
    stage.router.reset();
  });
  std::this_thread::sleep_for(30ms);
  stage.loop.call([&] {
    for (const char* name : {"c", "d"})
      EXPECT_TRUE(stage.clients[name].closed) << name;
  });
}

// Nodes, builds, ids and connections come and go for hours: what is kept of them levels off.
TEST(Router, what_is_kept_levels_off) {
  OnPlatform on(config_text());
  tests::Stage& stage = on.stage;
  const auto step = [&](const tests::Words& words) { stage.loop.call([&] { stage.step(words); }); };
  const auto descriptors = [] {
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
  };
  std::size_t memory = 0, upstreams = 0;
  long open = 0;
  const int rounds = 60, succeeded_in = 20;
  for (int round = 0; round < rounds; ++round) {
    const std::string r = std::to_string(round);
    for (int n = 0; n < 8; ++n)
      step({"node", "n" + r + "-" + std::to_string(n), "ok", "in", std::to_string(1 + round)});
    for (int c = 0; c < 20; ++c)
      step({"send", "c" + std::to_string(c), "POST", "/book",
            "Request-Id: i" + r + "-" + std::to_string(c),
            "Idempotency-Key: k" + r + "-" + std::to_string(c), "Request-Timeout: 400m"});
    std::size_t unanswered = 1;
    for (int tries = 0; tries < 200 && unanswered > 0; ++tries) {
      std::this_thread::sleep_for(5ms);
      stage.loop.call([&] { unanswered = stage.router->open_requests(); });
    }
    EXPECT_EQ(unanswered, 0u);
    for (int n = 0; n < 8; ++n)
      step({"listed", "n" + r + "-" + std::to_string(n), "out"});
    stage.loop.call([&] {
      stage.clients.clear();
      stage.scripted.clear();
      stage.loop.advance(61s);
    });
    std::this_thread::sleep_for(20ms);
    stage.loop.call([&] {
      if (round == succeeded_in) {
        memory = ::mallinfo2().uordblks;
        upstreams = stage.router->upstreams();
        open = descriptors();
      }
      if (round + 1 < rounds)
        return;
      EXPECT_LE(stage.router->upstreams(), upstreams);
      EXPECT_LE(descriptors(), open);
      EXPECT_LT(::mallinfo2().uordblks, memory + 64 * 1024);
    });
  }
}

// What the program needs around it: a node, the platform's services, its file; and a client of its
// own.
struct Around {
  net::Loop& loop;
  Desk endpoint, desk;
  tests::RawClient client{};
  const int port = tests::free_port();
  const std::string file = testing::TempDir() + "platform-" + std::to_string(::getpid()) + ".json";
  Around(net::Loop& on, std::function<void(const http::ExchangePtr&)> node_does)
      : loop(on), endpoint(on, std::move(node_does)), desk(on, [this](const http::ExchangePtr& e) {
          e->begin_stream({});
          if (e->request.target != "/v1/watch")
            e->write(with(listed(8, true), "127.0.0.1:9",
                          "127.0.0.1:" + std::to_string(endpoint.server.port())));
        }) {
    configure(desk.at());
  }
  ~Around() { std::remove(file.c_str()); }
  void write(const std::string& text) { std::ofstream(file) << text; }
  void configure(const std::string& services) {
    std::string text = with(config_text(), "127.0.0.1:0", "127.0.0.1:" + std::to_string(port));
    write(with(with(text, "127.0.0.1:1", services), "127.0.0.1:1", services));
  }
  void connect(tests::RawClient& from) {
    const Poco::Net::SocketAddress at("127.0.0.1:" + std::to_string(port));
    from.stream = net::Stream::connect(loop, at, from);
  }
  void ask(const std::string& line, const std::string& more = "") {
    connect(client);
    client.stream->write(line +
                         " HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\nRequest-Timeout: 400m\r\n" +
                         more + "\r\n");
  }
};

// The program itself: reloads in a row, one of them of a file that can't be read; SIGTERM twice
// with a txn open.
TEST(Process, reloads_and_ends_without_losing_a_request) {
  net::Loop loop(net::steady_now());
  Around around(loop, [&](const http::ExchangePtr& e) {
    loop.in(300ms, [e] { e->answer(http::text_response(200, "done")); });
  });
  Desk moved(loop, [&](const http::ExchangePtr& e) { e->begin_stream({}); });
  ::setenv("ROUTER_CONFIG", around.file.c_str(), 1);
  tests::ChildProcess proxy({"platform"}, "/dev/null");
  ::unsetenv("ROUTER_CONFIG");
  loop.in(600ms, [&] { around.ask("POST /pay", "Content-Length: 0\r\n"); });
  loop.in(700ms, [&] {
    around.configure(moved.at());
    ::kill(proxy.pid, SIGHUP);
  });
  loop.in(720ms, [&] {
    around.write("{\"name\":");
    ::kill(proxy.pid, SIGHUP);
  });
  loop.in(730ms, [&] {
    around.configure(moved.at());
    ::kill(proxy.pid, SIGHUP);
  });
  loop.in(740ms, [&] { ::kill(proxy.pid, SIGTERM); });
  loop.in(760ms, [&] { ::kill(proxy.pid, SIGTERM); });
  loop.in(2500ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(proxy.end(SIGKILL), 0);  // -9 had it not ended by itself
  EXPECT_EQ(around.client.got.substr(0, 12), "HTTP/1.1 200") << around.client.got;
  EXPECT_NE(around.client.got.find("Connection: close"), std::string::npos);
  EXPECT_EQ(around.endpoint.asked.size(), 1u);
  EXPECT_EQ(moved.asked.size(), 2u);  // both watches, once
}

// Out of descriptors below what it was told: it waits without spinning and takes clients again
// afterwards.
TEST(Process, takes_clients_again_after_it_ran_out_of_descriptors) {
  net::Loop loop(net::steady_now());
  Around around(loop,
                [&](const http::ExchangePtr& e) { e->answer(http::text_response(200, "done")); });
  rusage before{}, after{};
  ::getrusage(RUSAGE_CHILDREN, &before);
  tests::ChildProcess proxy({"platform", "--config", around.file}, "/dev/null", 30);
  std::vector<std::unique_ptr<tests::RawClient>> silent;
  loop.in(500ms, [&] {
    for (int i = 0; i < 60; ++i) {
      silent.push_back(std::make_unique<tests::RawClient>());
      around.connect(*silent.back());
    }
  });
  loop.in(900ms, [&] { silent.clear(); });
  loop.in(1100ms, [&] { around.ask("GET /look"); });
  loop.in(1500ms, [&] { ::kill(proxy.pid, SIGTERM); });
  loop.in(2500ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(proxy.end(SIGTERM), 0);
  EXPECT_EQ(around.client.got.substr(0, 12), "HTTP/1.1 200") << around.client.got;
  ::getrusage(RUSAGE_CHILDREN, &after);
  const auto used = [](const rusage& of) {
    return of.ru_utime.tv_sec + of.ru_stime.tv_sec +
           1e-6 * static_cast<double>(of.ru_utime.tv_usec + of.ru_stime.tv_usec);
  };
  EXPECT_LT(used(after) - used(before), 1);  // of two and a half seconds that it ran
}

}  // namespace
}  // namespace robinhoist
