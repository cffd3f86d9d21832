// What the controller's API costs, on one machine over loopback: from a change written down to its
// watchers, durable changes a second, memory for an idle watcher, and how long a hundred and thirty
// proxies take to know a cap after the controller's restart. Out of CI.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "controller/controller.h"
#include "controller/process.h"
#include "http/stream_client.h"
#include "proxy/watch_release_source.h"

namespace {

using namespace robinhoist;
using namespace std::chrono_literals;

const char* const deployment_text = R"((deployment (zones here) (umpires 130)
  (product look (match GET /look) (sla 100ms) (expiry 300ms) (effect inquiry))
  (rules (drain-grace 50ms) (cold-from 0.3) (cold-for 1s) (fall-multiple 4) (fall-window 1s) (exposure-window 1s)
         (exposure-free 1))
  (rollout (waves 0.5 1) (caps 0.3 1) (gate clock) (bake 50ms) (step 600s) (settle 10ms) (drain 50ms) (vote-life 4s)
           (hold-share 0.5) (back-share 0.5) (votes-per-s 1000))))";

struct Running {
  net::Loop loop{net::steady_now()};
  std::thread thread{[this] { loop.run(); }};
  void stop() {
    loop.quit();
    thread.join();
  }
};

struct Served : Running {
  std::filesystem::path journal = std::filesystem::temp_directory_path() /
                                  ("robinhoist-api-bench-" + std::to_string(::getpid()));
  log::Logger log{"bench", "off"};
  std::unique_ptr<controller::Controller> controller{};
  std::atomic<std::int64_t> written{0};
  int port = 0;
  void start() {
    loop.call([&] {
      auto form = settings::SexpReader::from_text(
          std::string(deployment_text) + "(controller (listen 127.0.0.1:" + std::to_string(port) +
              ") (places 40) (build 1) (journal \"" + journal.string() + "\"))",
          "bench");
      controller::Settings settings = controller::read(form);
      settings.on_persisted = [this] { written = net::steady_now().time_since_epoch().count(); };
      controller = std::make_unique<controller::Controller>(loop, settings, log);
      port = controller->port();
    });
  }
  void end() {
    loop.call([&] { controller.reset(); });
  }
  Poco::Net::SocketAddress address() const {
    return {"127.0.0.1", static_cast<Poco::UInt16>(port)};
  }
};

// One request after another on one connection.
struct Client : Running {
  std::unique_ptr<http::ConnectionPool> caller{};
  explicit Client(const Poco::Net::SocketAddress& to) {
    loop.call([&] {
      caller = std::make_unique<http::ConnectionPool>(loop, to, http::ConnectionPoolSettings{});
    });
  }
  int ask(const std::string& method, const std::string& target, const std::string& body) {
    std::atomic<int> status{-1};
    loop.call([&] {
      http::Request request;
      request.method = method;
      request.target = target;
      request.headers.add("Content-Type", "application/json");
      request.body = body;
      caller->call(request, 5s, [&](http::CallResult how, http::Response&& response) {
        status = how == http::CallResult::answered ? response.status : 0;
      });
    });
    while (status < 0)
      std::this_thread::yield();
    return status;
  }
  void end() {
    loop.call([&] { caller.reset(); });
    stop();
  }
};

std::string patch(int n) {
  return R"({"metadata":{"labels":{"n":")" + std::to_string(n) + "\"}}}";
}

long resident_kb() {
  std::ifstream in("/proc/self/status");
  for (std::string word; in >> word;)
    if (word == "VmRSS:") {
      long kb = 0;
      in >> kb;
      return kb;
    }
  return 0;
}

void delays(Served& served, int watchers) {
  Running readers;
  std::vector<std::unique_ptr<http::StreamClient>> streams;
  std::vector<std::int64_t> took;
  std::atomic<int> marks{0}, got{0};
  const long before = resident_kb();
  for (int i = 0; i < watchers; ++i) {
    readers.loop.call([&] {
      auto stream = std::make_unique<http::StreamClient>(readers.loop, served.address(),
                                                         http::MessageLimits{});
      http::Request request;
      request.target = "/v1/releases?watch=1";
      stream->start(
          request, http::StreamClient::InactivityLimits{100s, 100s},
          [&](std::string& body) {
            for (std::size_t end; (end = body.find('\n')) != std::string::npos;
                 body.erase(0, end + 1)) {
              if (body.compare(0, 18, R"({"type":"BOOKMARK")") == 0)
                ++marks;
              if (body.compare(0, 18, R"({"type":"MODIFIED")") != 0)
                continue;
              took.push_back(net::steady_now().time_since_epoch().count() - served.written);
              ++got;
            }
            return true;
          },
          [](int, const std::string&) {});
      streams.push_back(std::move(stream));
    });
    if (i % 100 == 99)
      while (marks < i)
        std::this_thread::sleep_for(1ms);
  }
  while (marks < watchers)
    std::this_thread::sleep_for(1ms);
  const long after = resident_kb();
  Client client(served.address());
  const int rounds = watchers >= 1000 ? 30 : 200;
  for (int n = 0; n < rounds; ++n) {
    const int from = got;
    client.ask("PATCH", "/v1/releases/build-1", patch(n));
    while (got < from + watchers)
      std::this_thread::sleep_for(100us);
  }
  std::sort(took.begin(), took.end());
  std::printf(
      "%5d watchers: %6.2f ms at p50, %6.2f ms at p99 from written to read; %.1f kB a watcher, "
      "both ends\n",
      watchers, static_cast<double>(took[took.size() / 2]) / 1e3,
      static_cast<double>(took[took.size() * 99 / 100]) / 1e3,
      static_cast<double>(after - before) / watchers);
  readers.loop.call([&] { streams.clear(); });
  readers.stop();
  client.end();
}

void changes(Served& served) {
  Client client(served.address());
  const auto from = net::steady_now();
  int done = 0;
  while (net::steady_now() < from + 3s)
    done += client.ask("PATCH", "/v1/releases/build-1", patch(done + 1000000)) == 200;
  std::printf("durable changes: %.0f a second, one client\n", done / 3.0);
  client.end();
}

void storm(Served& served, int proxies) {
  Running at;
  log::Logger log("bench", "off");
  std::vector<std::unique_ptr<proxy::WatchReleaseSource>> sources;
  std::atomic<int> heard{0}, build{1};
  at.loop.call([&] {
    for (int u = 0; u < proxies; ++u) {
      sources.push_back(std::make_unique<proxy::WatchReleaseSource>(
          at.loop,
          proxy::WatchReleaseSource::Settings{.address = served.address().toString(),
                                              .proxy = "u" + std::to_string(u),
                                              .vote_timeout = 1s,
                                              .salt = static_cast<unsigned>(u + 1)},
          log));
      sources.back()->start([&](const ReleaseUpdate& release) { heard += release.build == build; });
    }
  });
  while (heard < proxies)
    std::this_thread::sleep_for(1ms);
  served.end();
  std::this_thread::sleep_for(2s);
  heard = 0;
  build = 2;
  const auto from = net::steady_now();
  served.start();
  served.loop.call([&] { served.controller->create_release(2, "bench"); });
  while (heard < proxies)
    std::this_thread::sleep_for(1ms);
  std::printf(
      "%d umpires, controller gone for 2 s: all know the new release's cap %.0f ms after its "
      "start\n",
      proxies, static_cast<double>((net::steady_now() - from).count()) / 1e3);
  at.loop.call([&] { sources.clear(); });
  at.stop();
}

}  // namespace

int main() {
  Served served;
  for (const char* end : {"", "-wal", "-shm"})
    std::filesystem::remove(served.journal.string() + end);
  served.start();
  for (int watchers : {1, 100, 1000})
    delays(served, watchers);
  changes(served);
  storm(served, 130);
  served.end();
  served.stop();
  for (const char* end : {"", "-wal", "-shm"})
    std::filesystem::remove(served.journal.string() + end);
}
