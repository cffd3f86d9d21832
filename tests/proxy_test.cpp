// Runs the scripts in tests/proxy/*.txt against a real router; tests the release watch and the
// event loop.
#include <gmock/gmock.h>

#include "proxy/http_endpoint_source.h"
#include "proxy/http_protocol.h"
#include "proxy/watch_release_source.h"
#include "proxy_fixture.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

const char* const settings_text = R"(
(deployment (zones here) (umpires 1)
  (product look (match GET /look*) (sla 300ms) (expiry 400ms) (effect inquiry))
  (product book (match POST /book) (sla 300ms) (expiry 400ms) (effect referenced) (memory 200ms))
  (product pay (match POST /pay) (sla 300ms) (expiry 400ms) (effect once-only))
  (rules (drain-grace 1s) (cold-from 0.3) (cold-for 1s) (fall-multiple 4) (fall-window 1s)
         (exposure-window 2s) (exposure-free 1))
  (rollout (waves 0.5 1) (caps 0.5 1) (gate clock) (bake 1s) (step 2s) (drain 1s) (vote-life 4s)
           (back-share 0.25) (votes-per-s 20)))
(umpire (name u0) (listen 127.0.0.1:0) (list-from 127.0.0.1:1) (releases-from 127.0.0.1:1)
        (trace (keep 10))
        (most-header-bytes 2000) (most-body-bytes 1000) (request-within 300ms) (connect-within 100ms)))";

class ProxyScript : public testing::TestWithParam<std::string> {};

TEST_P(ProxyScript, runs_as_scripted) {
  const auto settings = proxy::read(settings::SexpReader::from_text(settings_text, "settings"));
  const proxy::HttpProtocol protocol(settings);
  ProxyFixture fixture([&](ProxyFixture& proxy) {
    return std::make_unique<proxy::Router>(proxy.loop, proxy::router_settings(settings),
                                           proxy::module_settings_of(settings), protocol, proxy.log,
                                           proxy.endpoints, proxy.releases);
  });
  run_script(fixture, GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, ProxyScript, testing::ValuesIn(files_in(TESTS "/proxy", ".txt")),
                         script_name);

// A simulated controller that serves watches and heartbeats.
class ReleaseWatch : public testing::Test {
 protected:
  static std::string event(const char* type, int version, int stage, const char* cap) {
    return std::string(R"({"type":")") + type + R"(","version":)" + std::to_string(version) +
           R"(,"ageMs":0,"object":{"metadata":{"name":"build-2"},"spec":{"build":2},)" +
           R"("status":{"stage":)" + std::to_string(stage) + R"(,"phase":"trial","cap":)" + cap +
           "}}}\n";
  }
  static std::string bookmark() {
    return R"({"type":"BOOKMARK","version":3,"series":"s"})"
           "\n";
  }

  void answer(const http::ExchangePtr& exchange) {
    if (exchange->request.method == "POST") {
      heartbeats_.push_back(exchange->request.body);
      exchange->answer(http::json_response(200, R"({"leaseMs":300})"));
      return;
    }
    watches_.push_back(exchange->request.target);
    if (watches_.size() == 1)
      disconnect_in_mid_event(exchange);
    else if (watches_.size() == 2)
      exchange->answer(http::text_response(410, "expired\n"));
    else
      serve_restarted_watch(exchange);
  }

  void disconnect_in_mid_event(const http::ExchangePtr& exchange) {
    constexpr std::size_t part_of_event = 40;
    exchange->begin_stream(http::Response{});
    exchange->write(event("ADDED", 3, 0, "0.1") + bookmark() +
                    event("MODIFIED", 4, 1, "0.5").substr(0, part_of_event));
    loop_.in(20ms, [exchange] { exchange->abort_connection(); });
  }

  void serve_restarted_watch(const http::ExchangePtr& exchange) {
    exchange->begin_stream(http::Response{});
    exchange->write(event("ADDED", 9, 2, "1") + bookmark());
    open_watches_.push_back(exchange);
  }

  net::Loop loop_{net::steady_now()};
  log::Logger log_{"test", "off"};
  std::vector<std::string> watches_{};     // targets
  std::vector<std::string> heartbeats_{};  // bodies
  std::vector<http::ExchangePtr> open_watches_{};
  http::Server server_{loop_, http::ServerSettings{},
                       [this](const http::ExchangePtr& exchange) { answer(exchange); }};
};

// A watch is resumed after a disconnect, and restarted when the controller no longer has its
// version. Each cap is acknowledged.
TEST_F(ReleaseWatch, resumes_after_a_disconnect_and_restarts_when_expired) {
  proxy::WatchReleaseSource source(
      loop_,
      {.address = "127.0.0.1:" + std::to_string(server_.port()), .proxy = "u", .vote_timeout = 1s},
      log_);
  std::vector<int> stages;
  source.start([&](const ReleaseUpdate& release) { stages.push_back(release.stage); });
  loop_.in(800ms, [this] { loop_.stop(); });
  loop_.run();
  EXPECT_THAT(stages, ElementsAre(0, 2));
  ASSERT_EQ(watches_.size(), 3u);
  EXPECT_THAT(watches_[1], HasSubstr("series=s&resourceVersion=3"));
  EXPECT_THAT(watches_[2], Not(HasSubstr("resourceVersion")));
  EXPECT_THAT(heartbeats_.back(), HasSubstr(R"("cap":1.0,"version":9)"));
  EXPECT_GT(heartbeats_.size(), 4u);
}

// Guards against two polls side by side, whose responses may arrive out of order: a refresh from
// inside an update replaces the next poll, and asks for the complete list.
TEST(HttpEndpointSource, refresh_inside_an_update_leaves_one_poll) {
  net::Loop loop{net::steady_now()};
  const log::Logger log{"test", "off"};
  std::vector<std::string> targets;
  std::vector<http::ExchangePtr> open_polls;
  http::Server server(loop, http::ServerSettings{}, [&](const http::ExchangePtr& exchange) {
    targets.push_back(exchange->request.target);
    const registry::Update list{
        .series = "s", .version = static_cast<std::int64_t>(targets.size()), .complete = true};
    if (targets.size() <= 2)
      exchange->answer(http::json_response(200, registry::encode(list)));
    else if (targets.size() == 3)
      loop.in(100ms, [&] { loop.stop(); });
    open_polls.push_back(exchange);
  });
  proxy::HttpEndpointSource source(loop, "127.0.0.1:" + std::to_string(server.port()), "u", 1, log);
  std::vector<std::int64_t> versions;
  source.start([&](const registry::Update& update) {
    versions.push_back(update.version);
    if (versions.size() == 1)
      source.refresh();
  });
  loop.in(60s, [&] { loop.stop(); });
  loop.run();
  EXPECT_THAT(versions, ElementsAre(1, 2));
  EXPECT_THAT(targets, ElementsAre(HasSubstr("series=&since=0"), HasSubstr("series=&since=0"),
                                   HasSubstr("series=s&since=2")));
}

// The lateness of timers is not checked here; it is measured by benchmarks.
TEST(Loop, timers_run_in_order_and_not_early) {
  net::Loop loop(net::steady_now());
  std::vector<int> order;
  const TimePoint from = loop.now();
  for (int wait : {30, 10, 20, 10})
    loop.in(std::chrono::milliseconds(wait), [&, wait] {
      EXPECT_GE(loop.now(), from + std::chrono::milliseconds(wait));
      order.push_back(wait);
    });
  auto dropped = loop.in(5ms, [&] { order.push_back(5); });
  loop.cancel(dropped);
  loop.in(40ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(order, (std::vector<int>{10, 10, 20, 30}));
}

}  // namespace
}  // namespace robinhoist
