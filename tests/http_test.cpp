// HTTP clients and servers on loopback sockets.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>

#include "http/connection_pool.h"
#include "http/server.h"
#include "raw_client.h"
#include "scripted_endpoint.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

Poco::Net::SocketAddress loopback_address(int port) {
  return Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port));
}

// More than the kernel buffers for one connection.
constexpr std::size_t large_body = std::size_t{32} << 20;

// A peer that drops idle connections unseen: what stood idle as long as those that broke is not
// used again.
TEST(ConnectionPool, learns_how_long_connections_may_stand_idle) {
  net::Loop loop(net::steady_now());
  ScriptedEndpoint endpoint(loop, "stale-15");
  http::ConnectionPoolSettings settings;
  settings.budget = std::make_shared<http::ConnectionBudget>(10);
  http::ConnectionPool pool(loop, loopback_address(endpoint.port()), settings);
  int broken = 0, answered = 0;
  for (int i = 0; i < 40; ++i)
    loop.in(i * 25ms, [&] {
      pool.call({}, 1s, [&](http::CallResult how, http::Response&&) {
        broken += how == http::CallResult::connection_lost ? 1 : 0;
        answered += how == http::CallResult::answered ? 1 : 0;
      });
    });
  loop.in(1100ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(broken + answered, 40);
  EXPECT_GT(broken, 0);
  EXPECT_LT(broken, 13);  // 20 if it went on as it began
}

// What broke before its last byte was written has not run.
TEST(ConnectionPool, a_request_that_was_not_written_completely_did_not_arrive) {
  net::Loop loop(net::steady_now());
  int fd = -1;
  net::Listener listener(loop, "127.0.0.1:0", [&](int accepted) { fd = accepted; });
  http::ConnectionPool pool(loop, loopback_address(listener.port()), {});
  http::Request request;
  request.method = "POST";
  request.body.assign(large_body, 'x');
  std::optional<http::CallResult> ended;
  pool.call(request, 1s, [&](http::CallResult how, http::Response&&) { ended = how; });
  loop.in(100ms, [&] { ::close(fd); });
  loop.in(200ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(ended, http::CallResult::connect_failed);
}

// A connection may take long to come up. The kernel retries after a second, and then the endpoint's
// queue has room.
TEST(ConnectionPool, states_the_time_left_when_a_request_is_written) {
  net::Loop loop(net::steady_now());
  ScriptedEndpoint endpoint(loop, "stuck");
  http::ConnectionPoolSettings settings;
  settings.connect_timeout = 3s;
  http::ConnectionPool pool(loop, loopback_address(endpoint.port()), settings);
  std::optional<Duration> left;
  pool.call(
      {}, 4s, [](http::CallResult, http::Response&&) {},
      [&](http::Request&, Duration time_left) {
        left = time_left;
        loop.stop();
      });
  std::function<void()> accept_waiting = [&] {
    endpoint.accept_waiting();
    loop.in(10ms, accept_waiting);
  };
  loop.in(50ms, [&] {
    EXPECT_FALSE(left);
    accept_waiting();
  });
  loop.in(3500ms, [&] { loop.stop(); });
  loop.run();
  ASSERT_TRUE(left);
  EXPECT_LT(*left, 4s - 50ms);
}

// A server on a loop of its own thread, and clients that read or don't.
class ServerTest : public testing::Test {
 protected:
  ~ServerTest() override {
    loop_.call([this] {
      clients_.clear();
      server_.reset();
    });
    loop_.quit();
    thread_.join();
  }

  void start(const http::ServerSettings& settings) {
    loop_.call([&] {
      server_ = std::make_unique<http::Server>(
          loop_, settings,
          [this](const http::ExchangePtr& exchange) { requests_.push_back(exchange); });
    });
  }
  // Runs something on the loop's thread, then lets time pass.
  void step(const std::function<void()>& action, Duration wait = 40ms) {
    loop_.call(action);
    std::this_thread::sleep_for(wait);
  }
  void send(const std::string& name, const std::string& bytes) {
    step([&] {
      RawClient& client = clients_[name];
      if (!client.stream)
        client.stream = net::Stream::connect(loop_, loopback_address(server_->port()), client);
      client.stream->write(bytes);
    });
  }

  net::Loop loop_{net::steady_now()};
  std::vector<http::ExchangePtr> requests_{};
  std::unique_ptr<http::Server> server_{};
  std::map<std::string, RawClient> clients_{};
  std::thread thread_{[this] { loop_.run(); }};
};

constexpr const char* get_request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A response that its client is slow to read is written completely, though the server accepts no
// more clients.
TEST_F(ServerTest, drain_waits_for_responses_to_be_written) {
  start({});
  send("c", get_request);
  step([&] {
    ASSERT_EQ(requests_.size(), 1u);
    clients_["c"].stream->read(false);
    requests_[0]->answer(http::text_response(200, std::string(large_body, 'x')));
    server_->drain();
  });
  step(
      [&] {
        EXPECT_EQ(server_->clients(), 1u);
        clients_["c"].stream->read(true);
      },
      1s);
  step([&] {
    EXPECT_GT(clients_["c"].received.size(), large_body);
    EXPECT_EQ(server_->clients(), 0u);
    EXPECT_TRUE(clients_["c"].closed);
  });
}

// Bytes that a client has sent behind its last request are unread at the close: they must not
// destroy the response.
TEST_F(ServerTest, close_is_no_reset_though_bytes_are_unread) {
  start({});
  send("c", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
                std::string(std::size_t{1} << 20, 'x'));
  step([&] {
    ASSERT_EQ(requests_.size(), 1u);
    requests_[0]->answer(http::text_response(200, "done"));
  });
  step([&] {
    const RawClient& client = clients_["c"];
    EXPECT_NE(client.received.find("done"), std::string::npos);
    ASSERT_TRUE(client.closed);
    EXPECT_EQ(client.close_reason, net::CloseReason::by_peer);
    EXPECT_EQ(server_->clients(), 0u);
  });
}

// When a server is full, it closes clients that have had their last response, then idle ones, then
// one that has sent half a request and gets a 503; never one with a request open.
TEST_F(ServerTest, evicts_the_client_that_is_owed_least) {
  http::ServerSettings settings;
  settings.max_clients = 3;
  settings.evict_idle = true;
  start(settings);
  send("open", get_request);
  send("half", "GET / HT");
  send("idle", "");
  send("lingers", "what is this\r\n");
  step([&] {
    EXPECT_TRUE(clients_["idle"].closed);
    EXPECT_FALSE(clients_["half"].closed);
    clients_["lingers"].stream->read(false);  // does not see the end
  });
  send("lingers", "\r\n");
  send("more", get_request);
  step([&] {
    EXPECT_EQ(requests_.size(), 2u);
    EXPECT_EQ(server_->clients(), 3u);
    EXPECT_FALSE(clients_["half"].closed);
  });
  send("last", "");
  step([&] {
    EXPECT_EQ(clients_["half"].received.substr(0, 12), "HTTP/1.1 503");
    for (const char* name : {"open", "more", "last"})
      EXPECT_FALSE(clients_[name].closed) << name;
  });
}

}  // namespace
}  // namespace robinhoist
