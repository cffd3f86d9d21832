// Plays tests/umpire/*.txt: a real router on loopback sockets against scripted nodes and raw clients.
// The notation is described in tests/umpire/README.md.
#include <map>
#include <thread>

#include "plays.h"
#include "umpire/http_protocol.h"
#include "umpire/router.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using net::Span;
using tests::Words;

Span ms(const std::string& word) { return Span(static_cast<long>(std::stod(word) * 1000)); }

// A node that does with each request what its script says next; the last word goes on for ever.
struct ScriptNode {
  struct Conn : net::Stream::Owner {
    ScriptNode& node;
    std::shared_ptr<net::Stream> stream;
    http::RequestReader reader{http::Limits{}};
    Conn(ScriptNode& of, int fd) : node(of), stream(net::Stream::adopt(of.loop, fd, *this)) {}
    ~Conn() override { stream->drop(); }
    void on_bytes(net::Stream&) override {
      while (stream->open() && reader.read(stream->in()) == http::Read::whole) {
        node.last = reader.take();
        act(node.next());
      }
    }
    void on_closed(net::Stream&, net::Closed) override {}
    void answer(int status, const char* extra = "") {
      stream->write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra + "Content-Length: 2\r\n\r\nhi");
    }
    void act(const std::string& what) {
      if (what == "ok") answer(200);
      else if (what == "error") answer(500);
      else if (what == "full") answer(503, "X-Not-Run: 1\r\n");
      else if (what == "busy") answer(503);
      else if (what == "close") stream->drop();
      else if (what == "reset") stream->drop(true);
      else if (what == "half")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"), stream->drop();
      else if (what == "head-silence") stream->write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
      else if (what == "garbage") stream->write("what do you want\r\n\r\n");
      else if (what == "longer")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi and more than that");
      else if (what == "chunked")
        stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
      else if (what == "interim") stream->write("HTTP/1.1 103 Early\r\n\r\n"), answer(200);
      else if (what == "huge-and-some")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, '5'));
      else if (what == "huge-number")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775000\r\n\r\nhi");
      else if (what == "endless-chunk") {
        stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(1 << 20, '5'));
      } else if (what == "huge") {
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n");
      } else if (what.rfind("late-", 0) == 0) {
        node.loop.in(ms(what.substr(5)), [this] { answer(200); });
      } else if (what.rfind("close-", 0) == 0) {
        node.loop.in(ms(what.substr(6)), [this] { stream->drop(); });
      } else if (what != "silence") {
        throw std::runtime_error("no such behaviour: " + what);
      }
    }
  };
  ScriptNode(net::Loop& on, std::string text) : loop(on), script(std::move(text)) {
    listener = std::make_unique<net::Listener>(
        loop, "127.0.0.1:0", [this](int fd) { connections.push_back(std::make_unique<Conn>(*this, fd)); });
  }
  std::string next() {
    ++requests;
    const std::size_t comma = script.find(',');
    const std::string what = script.substr(0, comma);
    if (comma != std::string::npos) script.erase(0, comma + 1);
    return what;
  }
  net::Loop& loop;
  std::string script;
  std::unique_ptr<net::Listener> listener;
  std::vector<std::unique_ptr<Conn>> connections{};
  http::Request last{};
  int requests = 0;
};

struct RawClient : net::Stream::Owner {
  std::shared_ptr<net::Stream> stream;
  std::string got{};
  bool closed = false;
  void on_bytes(net::Stream& s) override {
    got += s.in();
    s.in().clear();
  }
  void on_closed(net::Stream&, net::Closed) override { closed = true; }
  ~RawClient() override { stream->drop(); }
};

struct FakeNodes : umpire::NodeSource {
  Heard heard{};
  void start(Heard h) override { heard = std::move(h); }
  void refresh() override {}
};

struct FakeReleases : umpire::ReleaseSource {
  Heard heard{};
  std::vector<Verdict> votes{};
  void start(Heard h) override { heard = std::move(h); }
  void vote(int, int, Verdict verdict, Answered answered) override {
    votes.push_back(verdict);
    answered(Outcome::ok);
  }
  void patients(long, long) override {}
};

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

struct Stage {
  net::Loop loop{net::steady_now()};
  log::Log log{"test", "err"};
  FakeNodes nodes{};
  FakeReleases releases{};
  std::unique_ptr<umpire::Protocol> protocol{};
  std::unique_ptr<umpire::Router> router{};
  std::map<std::string, std::unique_ptr<ScriptNode>> scripted{};
  std::map<std::string, RawClient> clients{};
  std::int64_t version = 0;
  bool drained = false;
  std::thread thread{[this] { loop.run(); }};

  ~Stage() {
    loop.call([this] {
      router.reset();
      clients.clear();
      scripted.clear();
    });
    loop.quit();
    thread.join();
  }

  void begin() {
    if (router) return;
    auto settings = umpire::read(settings::Form::of_text(settings_text, "settings"));
    protocol = std::make_unique<umpire::HttpProtocol>(settings);
    router = std::make_unique<umpire::Router>(loop, umpire::router_settings(settings),
                                              umpire::params_of(settings), *protocol, log, nodes, releases);
    router->start();
    releases.heard({1, 0, RelPhase::released, 1, Span{}});
  }

  void list(const std::string& name, const std::string& phase) {
    begin();
    list::Entry entry{.name = name, .zone = "here", .build = 1};
    const auto& node = scripted.at(name);
    entry.address = "127.0.0.1:" + std::to_string(node ? node->listener->port() : 1);
    entry.phase = phase == "in" ? NodePhase::in : phase == "lame" ? NodePhase::lame : NodePhase::out;
    nodes.heard({"s", ++version, false, {entry}});
  }

  RawClient& connect(const std::string& name) {
    begin();
    RawClient& client = clients[name];
    if (!client.stream)
      client.stream = net::Stream::connect(
          loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(router->port())), client);
    return client;
  }

  std::string header(const std::string& text, const std::string& name) {
    const std::size_t at = text.find(name + ": ");
    return at == std::string::npos
               ? ""
               : text.substr(at + name.size() + 2, text.find('\r', at) - at - name.size() - 2);
  }

  void expect(const Words& w) {
    if (w[1] == "trace") {  // ID holds|lacks TEXT
      const std::string trace = router->trace(w[2]);
      EXPECT_EQ(trace.find(w[4]) != std::string::npos, w[3] == "holds") << trace;
      return;
    }
    if (w[1] == "node") {
      ScriptNode& node = *scripted.at(w[2]);
      if (w[3] == "requests")
        EXPECT_TRUE(tests::compares(node.requests, w[4], std::stod(w[5]))) << node.requests;
      else EXPECT_EQ(node.last.headers.get(w[3]), w[4]);
      return;
    }
    if (w[1] == "open") {
      EXPECT_TRUE(tests::compares(static_cast<double>(router->open_txns()), w[2], std::stod(w[3])));
      EXPECT_TRUE(router->held() < 1000);
      return;
    }
    if (w[1] == "drained") {
      EXPECT_TRUE(drained);
      return;
    }
    RawClient& client = clients.at(w[1]);
    const std::string what = w[2], wanted = w.size() > 3 ? w[3] : "";
    if (what == "closed") EXPECT_TRUE(client.closed);
    else if (what == "open") EXPECT_FALSE(client.closed);
    else if (what == "status") EXPECT_EQ(client.got.substr(0, 12), "HTTP/1.1 " + wanted);
    else if (what == "outcome") EXPECT_EQ(header(client.got, "Robinhoist-Outcome"), wanted);
    else if (what == "holds") EXPECT_NE(client.got.find(wanted), std::string::npos) << client.got;
    else if (what == "nothing") EXPECT_EQ(client.got, "");
    else if (what == "answers") {
      double count = 0;
      for (std::size_t at = 0; (at = client.got.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
      EXPECT_TRUE(tests::compares(count, wanted, std::stod(w[4]))) << count;
    } else throw std::runtime_error("expects what?");
  }

  void step(const Words& w) {
    if (w[0] == "node") {
      scripted[w[1]] = w[2] == "refuse" ? nullptr : std::make_unique<ScriptNode>(loop, w[2]);
      list(w[1], w.size() > 3 ? w[3] : "in");
    } else if (w[0] == "listed") {
      list(w[1], w[2]);
    } else if (w[0] == "send") {
      std::string text = w[2] + " " + w[3] + " HTTP/1.1\r\nHost: x\r\n";
      for (std::size_t i = 4; i < w.size(); ++i) text += w[i] + "\r\n";
      if (w[2] == "POST") text += "Content-Length: 4\r\n";
      connect(w[1]).stream->write(text + "\r\n" + (w[2] == "POST" ? "body" : ""));
    } else if (w[0] == "raw") {
      connect(w[1]).stream->write(w[2]);
    } else if (w[0] == "many") {
      std::string text;
      for (int i = 0; i < std::stoi(w[3]); ++i) text += w[2];
      connect(w[1]).stream->write(text);
    } else if (w[0] == "leave") {
      clients.at(w[1]).stream->drop();
    } else if (w[0] == "drain") {
      router->drain([this] { drained = true; });
    } else if (w[0] == "expect") {
      expect(w);
    } else {
      throw std::runtime_error("no such step");
    }
  }
};

class UmpirePlay : public testing::TestWithParam<std::string> {};

TEST_P(UmpirePlay, goes_as_written) {
  Stage stage;
  stage.loop.call([&] { stage.begin(); });
  tests::play(GetParam(), [&](const Words& words) {
    if (words[0] == "run") return std::this_thread::sleep_for(ms(words[1]));
    std::string wrong;
    stage.loop.call([&] {
      SCOPED_TRACE(words[0] + (words.size() > 1 ? " " + words[1] : "") +
                   (words.size() > 2 ? " " + words[2] : ""));
      try {
        stage.step(words);
      } catch (const std::exception& bad) {
        wrong = bad.what();
      }
    });
    if (!wrong.empty()) throw std::runtime_error(wrong);
  });
  // Whatever was played, nothing is left behind.
  std::size_t left = 1;
  for (int tries = 0; tries < 100 && left > 0; ++tries) {
    stage.loop.call([&] { left = stage.router->open_txns() + stage.router->held(); });
    if (left > 0) std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(left, 0u);
}

INSTANTIATE_TEST_SUITE_P(All, UmpirePlay, testing::ValuesIn(tests::files_in(TESTS "/umpire", ".txt")),
                         tests::stem);

// A watch that breaks in mid-event is taken up where it stood; one that can't be is begun anew. Each cap is
// acknowledged.
TEST(Sources, a_broken_watch_is_taken_up_and_an_expired_one_begun_anew) {
  net::Loop loop(net::steady_now());
  log::Log log("test", "off");
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
      return exchange->answer(http::json_answer(200, "{\"leaseMs\":300}"));
    }
    watched.push_back(exchange->request.target);
    if (watched.size() == 2) return exchange->answer(http::text_answer(410, "expired\n"));
    exchange->begin_stream(http::Response{});
    if (watched.size() == 1) {
      exchange->write(event("ADDED", 3, 0, "0.1") + mark + event("MODIFIED", 4, 1, "0.5").substr(0, 40));
      loop.in(20ms, [exchange] { exchange->hang_up(); });
    } else {
      exchange->write(event("ADDED", 9, 2, "1") + mark);
      held.push_back(exchange);
    }
  });
  umpire::WatchReleaseSource source(
      loop, {.from = "127.0.0.1:" + std::to_string(server.port()), .umpire = "u", .vote_within = 1s}, log);
  std::vector<int> stages;
  source.start([&](const RelNews& rel) { stages.push_back(rel.stage); });
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
  const Span from = loop.now();
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
