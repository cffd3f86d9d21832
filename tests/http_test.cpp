// Tests of the HTTP client and server on loopback sockets.
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

// More than the kernel buffers for a connection.
constexpr std::size_t large_body = std::size_t{32} << 20;

// The endpoint silently drops idle connections. The pool must stop reusing connections that have
// been idle about as long as those that failed.
TEST(ConnectionPool, learns_how_long_connections_may_stay_idle) {
  net::Loop loop(net::steady_now());
  ScriptedEndpoint endpoint(loop, "stale-15");
  http::ConnectionPoolSettings settings;
  settings.budget = std::make_shared<http::ConnectionBudget>(10);
  http::ConnectionPool pool(loop, loopback_address(endpoint.port()), settings);
  int lost = 0, answered = 0;
  for (int i = 0; i < 40; ++i)
    loop.in(i * 25ms, [&] {
      pool.call({}, 1s, [&](http::CallResult result, http::Response&&) {
        lost += result == http::CallResult::connection_lost ? 1 : 0;
        answered += result == http::CallResult::answered ? 1 : 0;
      });
    });
  loop.in(1100ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(lost + answered, 40);
  EXPECT_GT(lost, 0);
  EXPECT_LT(lost, 13);  // 20 if the pool went on reusing stale connections
}

// If the connection fails before the last byte of a request is written, the peer cannot have acted
// on the request.
TEST(ConnectionPool, reports_an_incompletely_written_request_as_not_sent) {
  net::Loop loop(net::steady_now());
  int fd = -1;
  net::Listener listener(loop, "127.0.0.1:0", [&](int accepted) { fd = accepted; });
  http::ConnectionPool pool(loop, loopback_address(listener.port()), {});
  http::Request request;
  request.method = "POST";
  request.body.assign(large_body, 'x');
  std::optional<http::CallResult> result;
  pool.call(request, 1s,
            [&](http::CallResult call_result, http::Response&&) { result = call_result; });
  loop.in(100ms, [&] { ::close(fd); });
  loop.in(200ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(result, http::CallResult::connect_failed);
}

// The time left must be computed when the request is written, not when the call begins. Here the
// endpoint's accept queue is full at first and has room when the kernel retries the connection
// after a second.
TEST(ConnectionPool, passes_the_time_left_when_a_request_is_written) {
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
        return true;
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

// Guards against a request that is written although it has come too late meanwhile.
TEST(ConnectionPool, request_that_came_too_late_is_not_sent) {
  net::Loop loop(net::steady_now());
  ScriptedEndpoint endpoint(loop, "ok");
  http::ConnectionPool pool(loop, loopback_address(endpoint.port()), {});
  std::vector<http::CallResult> results;
  const auto call = [&](bool in_time) {
    pool.call(
        {}, 1s, [&](http::CallResult result, http::Response&&) { results.push_back(result); },
        [in_time](http::Request&, Duration) { return in_time; });
  };
  call(false);  // on a new connection
  loop.in(30ms, [&] { call(true); });
  loop.in(60ms, [&] { call(false); });  // on an idle one
  loop.in(100ms, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(results, (std::vector{http::CallResult::not_sent, http::CallResult::answered,
                                  http::CallResult::not_sent}));
  EXPECT_EQ(endpoint.requests(), 1);
}

// Guards against an endpoint that is blamed for the memory that clients use: above the limit a
// partial response is discarded, but a request that is not written yet is kept.
TEST(ConnectionPool, above_the_memory_limit_discards_partial_responses_only) {
  constexpr std::size_t any_response_exceeds = 10;
  net::Loop loop(net::steady_now());
  ScriptedEndpoint partial(loop, "head-silence");
  ScriptedEndpoint stuck(loop, "stuck");
  http::ConnectionPoolSettings settings;
  settings.connect_timeout = 3s;
  settings.memory = std::make_shared<http::MemoryBudget>(any_response_exceeds);
  http::ConnectionPool to_partial(loop, loopback_address(partial.port()), settings);
  http::ConnectionPool to_stuck(loop, loopback_address(stuck.port()), settings);
  http::Request large;
  large.body.assign(1000, 'x');
  std::optional<http::CallResult> partial_result;
  std::optional<http::CallResult> stuck_result;
  to_stuck.call(large, 3s,
                [&](http::CallResult result, http::Response&&) { stuck_result = result; });
  to_partial.call({}, 3s, [&](http::CallResult result, http::Response&&) {
    partial_result = result;
    loop.stop();
  });
  loop.in(4s, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(partial_result, http::CallResult::discarded);
  EXPECT_FALSE(stuck_result);
  EXPECT_EQ(settings.memory->releases(), 1);
}

// A server and its clients on an event loop with its own thread.
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
  // Runs an action on the loop's thread, then waits.
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

// A draining server accepts no more clients, but must still write a response completely to a client
// that reads it late.
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

http::ParseResult read_response(std::string text, http::Response& response) {
  http::ResponseReader reader({});
  reader.expect(false);
  const http::ParseResult result = reader.read(text);
  if (result == http::ParseResult::complete)
    response = reader.take();
  return result;
}

// Guards against a response whose end or coding is understood in two ways, and that is passed on as
// if it were sound.
TEST(ResponseReader, the_end_of_a_response_has_one_meaning) {
  const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
  http::Response response;
  for (const char* fields :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"})
    EXPECT_EQ(
        read_response(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n" + chunks, response),
        http::ParseResult::invalid)
        << fields;
  for (const char* fields :
       {"Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4, 4\r\n"})
    EXPECT_EQ(read_response(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\ndone", response),
              http::ParseResult::invalid)
        << fields;
  EXPECT_EQ(
      read_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, response),
      http::ParseResult::complete);
  EXPECT_EQ(response.body, "done");
}

// Guards against a trailer that is read as a header field.
TEST(ResponseReader, trailers_are_no_header_fields) {
  http::Response response;
  EXPECT_EQ(read_response("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nTransfer-Encoding: "
                          "chunked\r\nX-A: 1\r\n\r\n4\r\nfull\r\n0\r\nNot-Started: 1\r\n\r\n",
                          response),
            http::ParseResult::complete);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.headers.get("X-A"), "1");
  EXPECT_FALSE(response.headers.has("Not-Started"));
}

// Requests of this size or a little more.
std::string pipelined_requests(std::size_t bytes) {
  std::string requests;
  while (requests.size() < bytes)
    requests += get_request;
  return requests;
}

// A close while bytes after the last request are unread would reset the connection, and the client
// could lose the response.
TEST_F(ServerTest, closes_without_reset_when_bytes_are_unread) {
  start({});
  send("c", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
                pipelined_requests(std::size_t{1} << 20));
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

// A server at its connection limit evicts clients that have had their last response, then idle
// clients, then clients that have sent a partial request, which get a 503. It never evicts a client
// with an open request.
TEST_F(ServerTest, evicts_clients_in_the_order_of_their_close_cost) {
  http::ServerSettings settings;
  settings.max_clients = 3;
  settings.evict_idle = true;
  start(settings);
  send("open", get_request);
  send("partial", "GET / HT");
  send("idle", "");
  send("lingering", "what is this\r\n");
  step([&] {
    EXPECT_TRUE(clients_["idle"].closed);
    EXPECT_FALSE(clients_["partial"].closed);
    clients_["lingering"].stream->read(false);  // so that it does not notice the close
  });
  send("lingering", "\r\n");
  send("more", get_request);
  step([&] {
    EXPECT_EQ(requests_.size(), 2u);
    EXPECT_EQ(server_->clients(), 3u);
    EXPECT_FALSE(clients_["partial"].closed);
  });
  send("last", "");
  step([&] {
    EXPECT_EQ(clients_["partial"].received.substr(0, 12), "HTTP/1.1 503");
    for (const char* name : {"open", "more", "last"})
      EXPECT_FALSE(clients_[name].closed) << name;
  });
}

std::string partial_request(std::size_t body) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + std::string(body, 'x');
}

// Guards against the memory limit hitting clients that behave: the partial request that has held
// much memory for long is rejected, not a larger or an older one, and never an open request.
TEST_F(ServerTest, above_the_memory_limit_rejects_the_costliest_partial_request) {
  http::ServerSettings settings;
  settings.memory = std::make_shared<http::MemoryBudget>(100000);
  start(settings);
  send("open", get_request);
  send("old", partial_request(100));
  send("slow", partial_request(30000));
  step([&] { loop_.advance(5s); });
  send("quick", partial_request(35000));
  step([&] { EXPECT_EQ(settings.memory->releases(), 0); });
  send("last", partial_request(30000));
  step([&] {
    EXPECT_EQ(clients_["slow"].received.substr(0, 12), "HTTP/1.1 503");
    for (const char* name : {"open", "old", "quick", "last"}) {
      EXPECT_EQ(clients_[name].received, "") << name;
      EXPECT_FALSE(clients_[name].closed) << name;
    }
    EXPECT_EQ(settings.memory->releases(), 1);
    EXPECT_LE(settings.memory->used(), settings.memory->limit());
  });
}

// Guards against memory for requests that wait behind an open one: they can't be given up without
// it.
TEST_F(ServerTest, receives_little_behind_an_open_request) {
  constexpr int clients = 20;
  http::ServerSettings settings;
  settings.memory = std::make_shared<http::MemoryBudget>(std::size_t{384} * 1024);
  start(settings);
  for (int i = 0; i < clients; ++i)
    send("c" + std::to_string(i), get_request + pipelined_requests(200000));
  step([&] {
    EXPECT_EQ(requests_.size(), clients);
    EXPECT_LE(settings.memory->peak(), settings.memory->limit());
    EXPECT_EQ(settings.memory->releases(), 0);
  });
}

// Guards against responses that queue up for a client that does not read them: the next request
// waits until the response before is written.
TEST_F(ServerTest, handles_no_request_behind_an_unread_response) {
  start({});
  send("c", get_request);
  step([&] { clients_["c"].stream->read(false); });
  send("c", get_request);
  step([&] { requests_.at(0)->answer(http::text_response(200, std::string(large_body, 'x'))); });
  step([&] {
    EXPECT_EQ(requests_.size(), 1u);
    clients_["c"].stream->read(true);
  });
  step([] {}, 1s);
  step([&] { EXPECT_EQ(requests_.size(), 2u); });
}

// Guards against responses that clients do not read: above the limit the connection is closed.
TEST_F(ServerTest, above_the_memory_limit_closes_clients_that_do_not_read) {
  http::ServerSettings settings;
  settings.memory = std::make_shared<http::MemoryBudget>(std::size_t{1} << 20);
  start(settings);
  send("c", get_request);
  step([&] {
    clients_["c"].stream->read(false);
    requests_.at(0)->answer(http::text_response(200, std::string(large_body, 'x')));
  });
  send("other", get_request);
  step([&] {
    EXPECT_LE(settings.memory->used(), settings.memory->limit());
    EXPECT_EQ(server_->clients(), 1u);
    EXPECT_EQ(requests_.size(), 2u);
  });
}

// Guards against header fields that take many times the memory of their bytes.
TEST_F(ServerTest, rejects_heads_with_too_many_fields) {
  std::string fields;
  for (std::size_t i = 1; i < http::MessageLimits{}.max_header_fields; ++i)
    fields += "a:\r\n";
  start({});
  send("most", "GET / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n");
  send("more", "GET / HTTP/1.1\r\nHost: x\r\nb:\r\n" + fields + "\r\n");
  step([&] {
    EXPECT_EQ(requests_.size(), 1u);
    EXPECT_EQ(clients_["most"].received, "");
    EXPECT_EQ(clients_["more"].received.substr(0, 12), "HTTP/1.1 431");
  });
}

}  // namespace
}  // namespace robinhoist
