/// A real router on loopback sockets with scripted endpoints and raw clients, and the runner of
/// script files (tests/proxy/README.md).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/router.h"
#include "raw_client.h"
#include "scripted_endpoint.h"
#include "scripted_test.h"
#include "time/time_types.h"

namespace robinhoist::tests {

using namespace std::chrono_literals;

/// A source whose endpoint updates are made by the test.
struct FakeEndpointSource : proxy::EndpointSource {
  OnUpdate on_update{};
  void start(OnUpdate handler) override { on_update = std::move(handler); }
  void refresh() override {}
};

/// A source whose release updates are made by the test. Each vote succeeds immediately.
struct FakeReleaseSource : proxy::ReleaseSource {
  OnUpdate on_update{};
  std::vector<Verdict> votes{};
  void start(OnUpdate handler) override { on_update = std::move(handler); }
  void vote(const proxy::Vote& vote, OnVoteResult on_result) override {
    votes.push_back(vote.verdict);
    on_result(Outcome::ok);
  }
  void report_client_outcomes(const proxy::ClientOutcomes&) override {}
};

/// A router with its sources, endpoints and clients, on a separate thread. All members are to be
/// used on the loop's thread, by loop.call().
class ProxyFixture {
 public:
  /// Creates the router with the protocol under test.
  using MakeRouter = std::function<std::unique_ptr<proxy::Router>(ProxyFixture&)>;
  explicit ProxyFixture(MakeRouter make_router) : make_router_(std::move(make_router)) {}
  ~ProxyFixture() {
    loop.call([this] {
      router.reset();
      clients.clear();
      scripted.clear();
    });
    loop.quit();
    thread_.join();
  }
  ProxyFixture(const ProxyFixture&) = delete;
  ProxyFixture& operator=(const ProxyFixture&) = delete;

  /// Starts the router unless it is running.
  void start() {
    if (router)
      return;
    router = make_router_(*this);
    router->start();
    releases.on_update({1, 0, ReleasePhase::released, 1, Duration{}});
  }

  /// Carries out a line of a script. Throws std::runtime_error if the step is unknown.
  void step(const Words& words) {
    static const std::map<std::string, void (ProxyFixture::*)(const Words&)> steps = {
        {"node", &ProxyFixture::add_endpoint},   {"listed", &ProxyFixture::update_endpoint},
        {"release", &ProxyFixture::set_release}, {"idle", &ProxyFixture::connect_idle_clients},
        {"retire", &ProxyFixture::shut_down},    {"send", &ProxyFixture::send_request},
        {"raw", &ProxyFixture::send_bytes},      {"many", &ProxyFixture::send_many},
        {"leave", &ProxyFixture::disconnect},    {"half-close", &ProxyFixture::half_close},
        {"drain", &ProxyFixture::drain},         {"expect", &ProxyFixture::expect}};
    const auto known = steps.find(words[0]);
    if (known == steps.end())
      throw std::runtime_error("unknown step: " + words[0]);
    (this->*known->second)(words);
  }

  net::Loop loop{net::steady_now()};
  log::Logger log{"test", "err"};
  FakeEndpointSource endpoints{};
  FakeReleaseSource releases{};
  std::unique_ptr<proxy::Router> router{};
  std::map<std::string, std::unique_ptr<ScriptedEndpoint>>
      scripted{};  // null if it refuses connections
  std::map<std::string, RawClient> clients{};

 private:
  // The word at a position, or `absent` if there is none.
  static std::string word_or(const Words& words, std::size_t index, const std::string& absent) {
    return words.size() > index ? words[index] : absent;
  }

  static EndpointPhase parse_phase(const std::string& name) {
    if (name == "in")
      return EndpointPhase::ready;
    return name == "lame" ? EndpointPhase::draining : EndpointPhase::removed;
  }

  // ---- Steps

  // node NAME SCRIPT [PHASE [BUILD]]
  void add_endpoint(const Words& words) {
    const std::string& name = words[1];
    const bool listens = words[2] != "refuse";
    scripted[name] = listens ? std::make_unique<ScriptedEndpoint>(loop, words[2]) : nullptr;
    list(name, word_or(words, 3, "in"), std::stoi(word_or(words, 4, "1")));
  }

  // listed NAME PHASE [BUILD]
  void update_endpoint(const Words& words) {
    list(words[1], words[2], std::stoi(word_or(words, 3, "1")));
  }

  void list(const std::string& name, const std::string& phase, int build) {
    start();
    const auto& endpoint = scripted.at(name);
    registry::Endpoint entry{.name = name, .zone = "here", .build = build};
    entry.address = "127.0.0.1:" + std::to_string(endpoint ? endpoint->port() : 1);
    entry.phase = parse_phase(phase);
    endpoints.on_update(
        {.series = "s", .version = ++version_, .complete = false, .entries = {entry}});
  }

  // release BUILD STAGE CAP, for a canary
  void set_release(const Words& words) {
    releases.on_update({std::stoi(words[1]), std::stoi(words[2]), ReleasePhase::canary,
                        std::stod(words[3]), Duration{}});
  }

  void connect_idle_clients(const Words& words) {
    for (int i = 0; i < std::stoi(words[1]); ++i)
      connect("idle-" + std::to_string(i));
  }

  void shut_down(const Words&) { router->begin_shutdown(); }

  // send CLIENT METHOD PATH ["Header: value" ...]
  void send_request(const Words& words) {
    const bool has_body = words[2] == "POST";
    std::string text = words[2] + " " + words[3] + " HTTP/1.1\r\nHost: x\r\n";
    for (std::size_t i = 4; i < words.size(); ++i)
      text += words[i] + "\r\n";
    if (has_body)
      text += "Content-Length: 4\r\n";
    text += "\r\n";
    if (has_body)
      text += "body";
    connect(words[1]).stream->write(text);
  }

  void send_bytes(const Words& words) { connect(words[1]).stream->write(words[2]); }

  // many CLIENT BYTES COUNT
  void send_many(const Words& words) {
    std::string text;
    for (int i = 0; i < std::stoi(words[3]); ++i)
      text += words[2];
    connect(words[1]).stream->write(text);
  }

  void disconnect(const Words& words) { clients.at(words[1]).stream->drop(); }
  void half_close(const Words& words) { clients.at(words[1]).stream->finish(); }
  void drain(const Words&) {
    router->drain([this] { drained_ = true; });
  }

  RawClient& connect(const std::string& name) {
    start();
    RawClient& client = clients[name];
    if (!client.stream)
      client.stream = net::Stream::connect(
          loop, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(router->port())), client);
    return client;
  }

  // ---- Expectations

  void expect(const Words& words) {
    static const std::map<std::string, void (ProxyFixture::*)(const Words&)> subjects = {
        {"trace", &ProxyFixture::expect_trace},     {"node", &ProxyFixture::expect_endpoint},
        {"open", &ProxyFixture::expect_open},       {"clients", &ProxyFixture::expect_clients},
        {"drained", &ProxyFixture::expect_drained}, {"serving", &ProxyFixture::expect_drained},
        {"status", &ProxyFixture::expect_status}};
    const auto known = subjects.find(words[1]);
    if (known == subjects.end())
      expect_client(words);
    else
      (this->*known->second)(words);
  }

  // trace ID holds|lacks TEXT
  void expect_trace(const Words& words) {
    const std::string trace = router->tracer().json(words[2]);
    EXPECT_EQ(trace.find(words[4]) != std::string::npos, words[3] == "holds") << trace;
  }

  // node NAME requests =|<|> N, or node NAME HEADER VALUE
  void expect_endpoint(const Words& words) {
    const ScriptedEndpoint& endpoint = *scripted.at(words[2]);
    if (words[3] == "requests")
      EXPECT_TRUE(compare(endpoint.requests(), words[4], std::stod(words[5])))
          << endpoint.requests();
    else
      EXPECT_EQ(endpoint.last_request().headers.get(words[3]), words[4]);
  }

  void expect_open(const Words& words) {
    const auto open = static_cast<double>(router->open_requests());
    EXPECT_TRUE(compare(open, words[2], std::stod(words[3]))) << open;
    EXPECT_LT(router->tracked_requests(), 1000u);
  }

  void expect_clients(const Words& words) {
    const auto count = static_cast<double>(router->clients());
    EXPECT_TRUE(compare(count, words[2], std::stod(words[3]))) << count;
  }

  void expect_drained(const Words& words) { EXPECT_EQ(drained_, words[1] == "drained"); }

  // status holds|lacks TEXT
  void expect_status(const Words& words) {
    const std::string status = router->status();
    EXPECT_EQ(status.find(words[3]) != std::string::npos, words[2] == "holds") << status;
  }

  // CLIENT WHAT [VALUE ...]
  void expect_client(const Words& words) {
    const RawClient& client = clients.at(words[1]);
    const std::string& what = words[2];
    const std::string expected = word_or(words, 3, "");
    if (what == "closed")
      EXPECT_TRUE(client.closed);
    else if (what == "open")
      EXPECT_FALSE(client.closed);
    else if (what == "status")
      EXPECT_EQ(client.received.substr(0, 12), "HTTP/1.1 " + expected);
    else if (what == "outcome")
      EXPECT_EQ(header(client.received, "Robinhoist-Outcome"), expected);
    else if (what == "holds")
      EXPECT_NE(client.received.find(expected), std::string::npos) << client.received;
    else if (what == "lacks")
      EXPECT_EQ(client.received.find(expected), std::string::npos) << client.received;
    else if (what == "nothing")
      EXPECT_EQ(client.received, "");
    else if (what == "answers")
      EXPECT_TRUE(compare(count_responses(client.received), expected, std::stod(words[4])))
          << count_responses(client.received);
    else
      throw std::runtime_error("unknown expectation: " + what);
  }

  static double count_responses(const std::string& text) {
    double count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1))
      ++count;
    return count;
  }

  static std::string header(const std::string& text, const std::string& name) {
    const std::size_t at = text.find(name + ": ");
    if (at == std::string::npos)
      return "";
    const std::size_t value_at = at + name.size() + 2;
    return text.substr(value_at, text.find('\r', at) - value_at);
  }

  MakeRouter make_router_;
  std::int64_t version_ = 0;
  bool drained_ = false;
  std::thread thread_{[this] { loop.run(); }};
};

/// Runs a script file. At its end, no request may be open or tracked.
inline void run_script(ProxyFixture& fixture, const std::string& file) {
  fixture.loop.call([&] { fixture.start(); });
  run_script(file, [&](const Words& words) {
    if (words[0] == "run") {
      std::this_thread::sleep_for(parse_ms(words[1]));
      return;
    }
    std::string error;
    fixture.loop.call([&] {
      SCOPED_TRACE(words[0] + (words.size() > 1 ? " " + words[1] : "") +
                   (words.size() > 2 ? " " + words[2] : ""));
      try {
        fixture.step(words);
      } catch (const std::exception& failure) {
        error = failure.what();
      }
    });
    if (!error.empty())
      throw std::runtime_error(error);
  });
  std::size_t remaining = 1;
  for (int tries = 0; tries < 100 && remaining > 0; ++tries) {
    fixture.loop.call(
        [&] { remaining = fixture.router->open_requests() + fixture.router->tracked_requests(); });
    if (remaining > 0)
      std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(remaining, 0u);
}

}  // namespace robinhoist::tests
