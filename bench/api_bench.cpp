// Benchmark of the controller's API on one machine over loopback. Measures the delay from writing a
// change to its delivery to watches, durable changes per second, the memory of an idle watch, and
// how long 130 proxies take to receive a new cap after a restart of the controller. Not run in CI.
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

// An event loop on its own thread.
struct LoopThread {
  net::Loop loop{net::steady_now()};
  std::thread thread{[this] { loop.run(); }};
  void stop() {
    loop.quit();
    thread.join();
  }
};

struct ControllerThread : LoopThread {
  std::filesystem::path journal = std::filesystem::temp_directory_path() /
                                  ("robinhoist-api-bench-" + std::to_string(::getpid()));
  log::Logger log{"bench", "off"};
  std::unique_ptr<controller::Controller> controller{};
  std::atomic<std::int64_t> written_at{0};
  int port = 0;
  void start() {
    loop.call([&] {
      auto form = settings::SexpReader::from_text(
          std::string(deployment_text) + "(controller (listen 127.0.0.1:" + std::to_string(port) +
              ") (places 40) (build 1) (journal \"" + journal.string() + "\"))",
          "bench");
      controller::Settings settings = controller::read(form);
      settings.on_persisted = [this] { written_at = net::steady_now().time_since_epoch().count(); };
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

// Sends one request after another on one connection.
struct Client : LoopThread {
  std::unique_ptr<http::ConnectionPool> pool{};
  explicit Client(const Poco::Net::SocketAddress& to) {
    loop.call([&] {
      pool = std::make_unique<http::ConnectionPool>(loop, to, http::ConnectionPoolSettings{});
    });
  }
  int request(const std::string& method, const std::string& target, const std::string& body) {
    std::atomic<int> status{-1};
    loop.call([&] {
      http::Request request;
      request.method = method;
      request.target = target;
      request.headers.add("Content-Type", "application/json");
      request.body = body;
      pool->call(request, 5s, [&](http::CallResult result, http::Response&& response) {
        status = result == http::CallResult::answered ? response.status : 0;
      });
    });
    while (status < 0)
      std::this_thread::yield();
    return status;
  }
  void end() {
    loop.call([&] { pool.reset(); });
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

void measure_delivery_delay(ControllerThread& server, int watchers) {
  LoopThread readers;
  std::vector<std::unique_ptr<http::StreamClient>> streams;
  std::vector<std::int64_t> delays_us;
  std::atomic<int> bookmarks{0}, received{0};
  const long kb_before = resident_kb();
  for (int i = 0; i < watchers; ++i) {
    readers.loop.call([&] {
      auto stream = std::make_unique<http::StreamClient>(readers.loop, server.address(),
                                                         http::MessageLimits{});
      http::Request request;
      request.target = "/v1/releases?watch=1";
      stream->start(
          request, http::StreamClient::InactivityLimits{100s, 100s},
          [&](std::string& body) {
            for (std::size_t end; (end = body.find('\n')) != std::string::npos;
                 body.erase(0, end + 1)) {
              if (body.compare(0, 18, R"({"type":"BOOKMARK")") == 0)
                ++bookmarks;
              if (body.compare(0, 18, R"({"type":"MODIFIED")") != 0)
                continue;
              delays_us.push_back(net::steady_now().time_since_epoch().count() - server.written_at);
              ++received;
            }
            return true;
          },
          [](int, const std::string&) {});
      streams.push_back(std::move(stream));
    });
    if (i % 100 == 99)
      while (bookmarks < i)
        std::this_thread::sleep_for(1ms);
  }
  while (bookmarks < watchers)
    std::this_thread::sleep_for(1ms);
  const long kb_after = resident_kb();
  Client client(server.address());
  const int rounds = watchers >= 1000 ? 30 : 200;
  for (int n = 0; n < rounds; ++n) {
    const int received_before = received;
    client.request("PATCH", "/v1/releases/build-1", patch(n));
    while (received < received_before + watchers)
      std::this_thread::sleep_for(100us);
  }
  std::sort(delays_us.begin(), delays_us.end());
  std::printf(
      "%5d watches: %6.2f ms at p50, %6.2f ms at p99 from write to delivery; %.1f kB per watch, "
      "both ends\n",
      watchers, static_cast<double>(delays_us[delays_us.size() / 2]) / 1e3,
      static_cast<double>(delays_us[delays_us.size() * 99 / 100]) / 1e3,
      static_cast<double>(kb_after - kb_before) / watchers);
  readers.loop.call([&] { streams.clear(); });
  readers.stop();
  client.end();
}

void measure_change_rate(ControllerThread& server) {
  Client client(server.address());
  const auto start = net::steady_now();
  int done = 0;
  while (net::steady_now() < start + 3s)
    done += client.request("PATCH", "/v1/releases/build-1", patch(done + 1000000)) == 200;
  std::printf("durable changes: %.0f per second, one client\n", done / 3.0);
  client.end();
}

void measure_recovery(ControllerThread& server, int proxies) {
  LoopThread thread;
  log::Logger log("bench", "off");
  std::vector<std::unique_ptr<proxy::WatchReleaseSource>> sources;
  std::atomic<int> updated{0}, build{1};
  thread.loop.call([&] {
    for (int i = 0; i < proxies; ++i) {
      sources.push_back(std::make_unique<proxy::WatchReleaseSource>(
          thread.loop,
          proxy::WatchReleaseSource::Settings{.address = server.address().toString(),
                                              .proxy = "u" + std::to_string(i),
                                              .vote_timeout = 1s,
                                              .seed = static_cast<unsigned>(i + 1)},
          log));
      sources.back()->start(
          [&](const ReleaseUpdate& release) { updated += release.build == build; });
    }
  });
  while (updated < proxies)
    std::this_thread::sleep_for(1ms);
  server.end();
  std::this_thread::sleep_for(2s);
  updated = 0;
  build = 2;
  const auto start = net::steady_now();
  server.start();
  server.loop.call([&] { server.controller->create_release(2, "bench"); });
  while (updated < proxies)
    std::this_thread::sleep_for(1ms);
  std::printf(
      "%d proxies, controller down for 2 s: all received the new release's cap %.0f ms after its "
      "start\n",
      proxies, static_cast<double>((net::steady_now() - start).count()) / 1e3);
  thread.loop.call([&] { sources.clear(); });
  thread.stop();
}

}  // namespace

int main() {
  ControllerThread server;
  for (const char* end : {"", "-wal", "-shm"})
    std::filesystem::remove(server.journal.string() + end);
  server.start();
  for (int watchers : {1, 100, 1000})
    measure_delivery_delay(server, watchers);
  measure_change_rate(server);
  measure_recovery(server, 130);
  server.end();
  server.stop();
  for (const char* end : {"", "-wal", "-shm"})
    std::filesystem::remove(server.journal.string() + end);
}
