// A real router on loopback sockets with scripted nodes and raw clients, for the runners of plays
// against it.
#pragma once
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <thread>

#include "proxy/router.h"
#include "scripted_test.h"
#include "time/time_types.h"

namespace robinhoist::tests {

using namespace std::chrono_literals;

inline Duration ms(const std::string& word) {
  return Duration(static_cast<long>(std::stod(word) * 1000));
}

// A node that does with each request what its script says next; the last word goes on for ever.
struct ScriptNode {
  struct Conn : net::Stream::Owner {
    ScriptNode& endpoint;
    TimePoint answered{};
    std::shared_ptr<net::Stream> stream;
    http::RequestReader reader{http::MessageLimits{}};
    Conn(ScriptNode& of, int fd) : endpoint(of), stream(net::Stream::adopt(of.loop, fd, *this)) {}
    ~Conn() override { stream->drop(); }
    void on_bytes(net::Stream&) override {
      while (stream->open() && reader.read(stream->input()) == http::ParseResult::complete) {
        endpoint.last = reader.take();
        act(endpoint.next());
      }
    }
    void on_closed(net::Stream&, net::CloseReason) override {}
    void answer(int status, const char* extra = "") {
      stream->write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra +
                    "Content-Length: 2\r\n\r\nhi");
    }
    void act(const std::string& what) {
      if (what.rfind("stale-", 0) ==
          0) {  // dropped unseen when idle for so long: the next request is reset
        if (answered != TimePoint{} && endpoint.loop.now() > answered + ms(what.substr(6)))
          return stream->drop(true);
        answered = endpoint.loop.now();
        return answer(200);
      }
      if (what == "ok")
        answer(200);
      else if (what == "error")
        answer(500);
      else if (what == "full")
        answer(503, "X-Not-Run: 1\r\nNot-Started: 1\r\n");
      else if (what == "load")
        answer(200, "Server-Load: cpu_share=0.5\r\n");
      else if (what == "bad-load")
        answer(200, "Server-Load: cpu_share=0.5,=;\r\n");
      else if (what == "large")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 400004\r\n\r\n" +
                      std::string(400000, 'x') + "last");
      else if (what == "empty")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      else if (what == "unframed")
        stream->write("HTTP/1.1 200 OK\r\n\r\nhi"), stream->drop();
      else if (what == "twice")
        answer(200), answer(200);
      else if (what == "twice-apart") {
        answer(200);
        endpoint.loop.in(
            3ms, [this] { stream->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"); });
      } else if (what == "busy")
        answer(503);
      else if (what == "close")
        stream->drop();
      else if (what == "reset")
        stream->drop(true);
      else if (what == "half")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"), stream->drop();
      else if (what == "head-silence")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
      else if (what == "garbage")
        stream->write("what do you want\r\n\r\n");
      else if (what == "longer")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi and more than that");
      else if (what == "chunked")
        stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
      else if (what == "interim")
        stream->write("HTTP/1.1 103 Early\r\n\r\n"), answer(200);
      else if (what == "huge-and-some")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
                      std::string(1000, '5'));
      else if (what == "huge-number")
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775000\r\n\r\nhi");
      else if (what == "endless-chunk") {
        stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      std::string(1 << 20, '5'));
      } else if (what == "huge") {
        stream->write("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n");
      } else if (what.rfind("late-", 0) == 0) {
        endpoint.loop.in(ms(what.substr(5)), [this] { answer(200); });
      } else if (what.rfind("close-", 0) == 0) {
        endpoint.loop.in(ms(what.substr(6)), [this] { stream->drop(); });
      } else if (what != "silence") {
        throw std::runtime_error("no such behaviour: " + what);
      }
    }
  };
  ScriptNode(net::Loop& on, std::string text) : loop(on), script(std::move(text)) {
    if (script == "stuck") {
      stick();
      return;
    }
    listener = std::make_unique<net::Listener>(loop, "127.0.0.1:0", [this](int fd) {
      connections.push_back(std::make_unique<Conn>(*this, fd));
    });
  }
  ~ScriptNode() {
    for (int fd : stuck)
      ::close(fd);
  }
  // Listens, but its queue is full: connections never come up.
  void stick() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof at;
    stuck.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    ::bind(stuck[0], reinterpret_cast<sockaddr*>(&at), length);
    ::listen(stuck[0], 0);
    ::getsockname(stuck[0], reinterpret_cast<sockaddr*>(&at), &length);
    stuck_port = ntohs(at.sin_port);
    for (int i = 0; i < 3; ++i) {
      stuck.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      ::connect(stuck.back(), reinterpret_cast<sockaddr*>(&at), length);
    }
  }
  int port() const { return listener ? listener->port() : stuck_port; }
  std::string next() {
    ++requests;
    const std::size_t comma = script.find(',');
    const std::string what = script.substr(0, comma);
    if (comma != std::string::npos)
      script.erase(0, comma + 1);
    return what;
  }
  net::Loop& loop;
  std::string script;
  std::unique_ptr<net::Listener> listener;
  std::vector<std::unique_ptr<Conn>> connections{};
  http::Request last{};
  int requests = 0, stuck_port = 0;
  std::vector<int> stuck{};
};

struct RawClient : net::Stream::Owner {
  std::shared_ptr<net::Stream> stream;
  std::string got{};
  bool closed = false;
  net::CloseReason how{};
  void on_bytes(net::Stream& s) override {
    got += s.input();
    s.input().clear();
  }
  void on_closed(net::Stream&, net::CloseReason by) override { closed = true, how = by; }
  ~RawClient() override { stream->drop(); }
};

struct FakeNodes : proxy::EndpointSource {
  Heard heard{};
  void start(Heard h) override { heard = std::move(h); }
  void refresh() override {}
};

struct FakeReleases : proxy::ReleaseSource {
  Heard heard{};
  std::vector<Verdict> votes{};
  void start(Heard h) override { heard = std::move(h); }
  void vote(int, int, Verdict verdict, Answered answered) override {
    votes.push_back(verdict);
    answered(Outcome::ok);
  }
  void client_outcomes(long, long) override {}
};

struct Stage {
  // What the protocols differ by.
  using Make = std::function<std::unique_ptr<proxy::Router>(Stage&)>;
  explicit Stage(Make how) : make(std::move(how)) {}
  Make make;
  net::Loop loop{net::steady_now()};
  log::Logger log{"test", "err"};
  FakeNodes endpoints{};
  FakeReleases releases{};
  std::unique_ptr<proxy::Router> router{};
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
    if (router)
      return;
    router = make(*this);
    router->start();
    releases.heard({1, 0, ReleasePhase::released, 1, Duration{}});
  }

  void list(const std::string& name, const std::string& phase, int build = 1) {
    begin();
    registry::Endpoint entry{.name = name, .zone = "here", .build = build};
    const auto& endpoint = scripted.at(name);
    entry.address = "127.0.0.1:" + std::to_string(endpoint ? endpoint->port() : 1);
    entry.phase = phase == "in"     ? EndpointPhase::ready
                  : phase == "lame" ? EndpointPhase::draining
                                    : EndpointPhase::removed;
    endpoints.heard({"s", ++version, false, {entry}});
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
      ScriptNode& endpoint = *scripted.at(w[2]);
      if (w[3] == "requests")
        EXPECT_TRUE(tests::compare(endpoint.requests, w[4], std::stod(w[5]))) << endpoint.requests;
      else
        EXPECT_EQ(endpoint.last.headers.get(w[3]), w[4]);
      return;
    }
    if (w[1] == "open") {
      EXPECT_TRUE(
          tests::compare(static_cast<double>(router->open_requests()), w[2], std::stod(w[3])));
      EXPECT_TRUE(router->held() < 1000);
      return;
    }
    if (w[1] == "clients") {
      EXPECT_TRUE(tests::compare(static_cast<double>(router->clients()), w[2], std::stod(w[3])))
          << router->clients();
      return;
    }
    if (w[1] == "drained" || w[1] == "serving") {
      EXPECT_EQ(drained, w[1] == "drained");
      return;
    }
    if (w[1] == "status") {  // holds|lacks TEXT
      const std::string status = router->status();
      EXPECT_EQ(status.find(w[3]) != std::string::npos, w[2] == "holds") << status;
      return;
    }
    RawClient& client = clients.at(w[1]);
    const std::string what = w[2], wanted = w.size() > 3 ? w[3] : "";
    if (what == "closed")
      EXPECT_TRUE(client.closed);
    else if (what == "open")
      EXPECT_FALSE(client.closed);
    else if (what == "status")
      EXPECT_EQ(client.got.substr(0, 12), "HTTP/1.1 " + wanted);
    else if (what == "outcome")
      EXPECT_EQ(header(client.got, "Robinhoist-Outcome"), wanted);
    else if (what == "holds")
      EXPECT_NE(client.got.find(wanted), std::string::npos) << client.got;
    else if (what == "lacks")
      EXPECT_EQ(client.got.find(wanted), std::string::npos) << client.got;
    else if (what == "nothing")
      EXPECT_EQ(client.got, "");
    else if (what == "answers") {
      double count = 0;
      for (std::size_t at = 0; (at = client.got.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
        ++count;
      EXPECT_TRUE(tests::compare(count, wanted, std::stod(w[4]))) << count;
    } else
      throw std::runtime_error("expects what?");
  }

  void step(const Words& w) {
    if (w[0] == "node") {
      scripted[w[1]] = w[2] == "refuse" ? nullptr : std::make_unique<ScriptNode>(loop, w[2]);
      list(w[1], w.size() > 3 ? w[3] : "in", w.size() > 4 ? std::stoi(w[4]) : 1);
    } else if (w[0] == "listed") {
      list(w[1], w[2], w.size() > 3 ? std::stoi(w[3]) : 1);
    } else if (w[0] == "release") {  // BUILD STAGE CAP: on trial
      releases.heard(
          {std::stoi(w[1]), std::stoi(w[2]), ReleasePhase::canary, std::stod(w[3]), Duration{}});
    } else if (w[0] == "idle") {
      for (int i = 0; i < std::stoi(w[1]); ++i)
        connect("idle-" + std::to_string(i));
    } else if (w[0] == "retire") {
      router->retire();
    } else if (w[0] == "send") {
      std::string text = w[2] + " " + w[3] + " HTTP/1.1\r\nHost: x\r\n";
      for (std::size_t i = 4; i < w.size(); ++i)
        text += w[i] + "\r\n";
      if (w[2] == "POST")
        text += "Content-Length: 4\r\n";
      connect(w[1]).stream->write(text + "\r\n" + (w[2] == "POST" ? "body" : ""));
    } else if (w[0] == "raw") {
      connect(w[1]).stream->write(w[2]);
    } else if (w[0] == "many") {
      std::string text;
      for (int i = 0; i < std::stoi(w[3]); ++i)
        text += w[2];
      connect(w[1]).stream->write(text);
    } else if (w[0] == "leave") {
      clients.at(w[1]).stream->drop();
    } else if (w[0] == "half-close") {
      clients.at(w[1]).stream->finish();
    } else if (w[0] == "drain") {
      router->drain([this] { drained = true; });
    } else if (w[0] == "expect") {
      expect(w);
    } else {
      throw std::runtime_error("no such step");
    }
  }
};

// Plays a file; afterwards nothing may be left behind.
inline void play_on(Stage& stage, const std::string& file) {
  stage.loop.call([&] { stage.begin(); });
  run_script(file, [&](const Words& words) {
    if (words[0] == "run")
      return std::this_thread::sleep_for(ms(words[1]));
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
    if (!wrong.empty())
      throw std::runtime_error(wrong);
  });
  std::size_t left = 1;
  for (int tries = 0; tries < 100 && left > 0; ++tries) {
    stage.loop.call([&] { left = stage.router->open_requests() + stage.router->held(); });
    if (left > 0)
      std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(left, 0u);
}

}  // namespace robinhoist::tests
