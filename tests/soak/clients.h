/// The clients of the soak: well-behaved clients that reuse their connections, and misbehaving
/// ones.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "connection.h"
#include "http/parser.h"
#include "net/loop.h"
#include "observer.h"
#include "plan.h"

namespace robinhoist::soak {

/// A client that sends one request at a time and keeps its connection for as long as it is open.
class Client {
 public:
  /// `number` distinguishes the clients of a run, each of which has its own random sequence.
  /// `on_left` gets the bytes of a request that was forwarded and whose client then disconnected.
  Client(net::Loop& loop, int port, const Plan& plan, Observer& observer, TimePoint traffic_start,
         std::uint32_t number, std::function<void(const std::string& bytes)> on_left);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// To be called when the program is killed: a request that is still open is a breach.
  void check_no_open_request();

 private:
  void connect();
  void open_connection();
  void send_next();
  void send(bool is_resend);
  void on_bytes(std::string_view bytes);
  void on_closed(CloseKind kind);
  void answered(const http::Response& response);
  void on_request_not_read();
  void disconnect();
  void on_response_timeout();
  void complete_request(const char* outcome, int status = 0, bool right = true);
  void wait_then_send();
  void schedule(Duration wait, net::Loop::Task task);
  bool may_connect() const;
  Duration think_time();

  net::Loop& loop_;
  int port_;
  const Plan& plan_;
  Observer& observer_;
  TimePoint traffic_start_;
  std::function<void(const std::string&)> on_left_;
  std::mt19937 random_;
  bool has_long_pauses_;  ///< between requests, so that its connection is idle
  std::unique_ptr<Connection> connection_{};
  std::string input_{};
  std::unique_ptr<http::ResponseReader> reader_{};
  ClientRequest request_{};
  std::string bytes_{};
  bool open_ = false;    ///< whether a request has no response yet
  bool resent_ = false;  ///< whether it was sent again after a close before it was read
  bool first_on_connection_ = true;
  net::Loop::Timer next_timer_ = net::Loop::no_timer;
  net::Loop::Timer last_connect_timer_ = net::Loop::no_timer;
  net::Loop::Timer deadline_timer_ = net::Loop::no_timer;
  net::Loop::Timer disconnect_timer_ = net::Loop::no_timer;
};

/// Clients that send nothing, stop in the middle of a request, or send a byte at a time. Each must
/// get an error or a close in time.
class BadClients {
 public:
  BadClients(net::Loop& loop, int port, Observer& observer, std::uint32_t seed);

  /// Connects this many clients.
  void connect(int count);
  /// Connects clients that send most of a request with a large body and stop.
  void send_large_partial_requests(int count);

 private:
  struct BadClient {
    std::unique_ptr<Connection> connection{};
    std::string unsent{};
    bool answered = false;
  };
  void add_client(int number);
  std::shared_ptr<BadClient> open_client(int number, const std::string& bytes);
  void trickle(const std::shared_ptr<BadClient>& client);
  void check(const BadClient& client, int number);

  net::Loop& loop_;
  net::Timers timers_;
  int port_;
  Observer& observer_;
  std::mt19937 random_;
  std::vector<std::shared_ptr<BadClient>> clients_{};
};

}  // namespace robinhoist::soak
