// Plays tests/proxy/*.txt: a real router on loopback sockets against scripted nodes and raw
// clients. The notation is described in tests/proxy/README.md.
#include "proxy/http_protocol.h"
#include "stage.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

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

class ProxyPlay : public testing::TestWithParam<std::string> {};

TEST_P(ProxyPlay, goes_as_written) {
  const auto settings = proxy::read(settings::SexpReader::from_text(settings_text, "settings"));
  const proxy::HttpProtocol protocol(settings);
  tests::Stage stage([&](tests::Stage& on) {
    return std::make_unique<proxy::Router>(on.loop, proxy::router_settings(settings),
                                           proxy::module_settings_of(settings), protocol, on.log,
                                           on.endpoints, on.releases);
  });
  tests::play_on(stage, GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, ProxyPlay, testing::ValuesIn(tests::files_in(TESTS "/proxy", ".txt")),
                         tests::script_name);

// A watch that breaks in mid-event is taken up where it stood; one that can't be is begun anew.
// Each cap is acknowledged.
TEST(Sources, a_broken_watch_is_taken_up_and_an_expired_one_begun_anew) {
  net::Loop loop(net::steady_now());
  log::Logger log("test", "off");
  const auto event = [](const char* type, int version, int stage, const char* cap) {
    return std::string(R"({"type":")") + type + R"(","version":)" + std::to_string(version) +
           R"(,"ageMs":0,"object":{"metadata":{"name":"build-2"},"spec":{"build":2},"status":{"stage":)" +
           std::to_string(stage) + R"(,"phase":"trial","cap":)" + cap + "}}}\n";
  };
  const std::string mark = R"({"type":"BOOKMARK","version":3,"series":"s"})"
                           "\n";
  std::vector<std::string> watched, beats;
  std::vector<http::ExchangePtr> held;
  http::Server server(loop, http::ServerSettings{}, [&](const http::ExchangePtr& exchange) {
    if (exchange->request.method == "POST") {
      beats.push_back(exchange->request.body);
      return exchange->answer(http::json_response(200, "{\"leaseMs\":300}"));
    }
    watched.push_back(exchange->request.target);
    if (watched.size() == 2)
      return exchange->answer(http::text_response(410, "expired\n"));
    exchange->begin_stream(http::Response{});
    if (watched.size() == 1) {
      exchange->write(event("ADDED", 3, 0, "0.1") + mark +
                      event("MODIFIED", 4, 1, "0.5").substr(0, 40));
      loop.in(20ms, [exchange] { exchange->abort_connection(); });
    } else {
      exchange->write(event("ADDED", 9, 2, "1") + mark);
      held.push_back(exchange);
    }
  });
  proxy::WatchReleaseSource source(
      loop, {.from = "127.0.0.1:" + std::to_string(server.port()), .proxy = "u", .vote_within = 1s},
      log);
  std::vector<int> stages;
  source.start([&](const ReleaseUpdate& release) { stages.push_back(release.stage); });
  loop.in(800ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(stages, (std::vector<int>{0, 2}));
  ASSERT_EQ(watched.size(), 3u);
  EXPECT_NE(watched[1].find("series=s&resourceVersion=3"), std::string::npos) << watched[1];
  EXPECT_EQ(watched[2].find("resourceVersion"), std::string::npos) << watched[2];
  EXPECT_NE(beats.back().find(R"("cap":1.0,"version":9)"), std::string::npos) << beats.back();
  EXPECT_GT(beats.size(), 4u);
}

// Wake-ups are never early; how late they are is a matter of measurements.
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
