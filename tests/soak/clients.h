/// The clients of the soak: good ones that keep their connections, and a crowd of bad ones.
#pragma once
#include <cstddef>
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

/// One client: a request at a time, on one connection for as long as that stays open.
class Client {
 public:
  Client(net::Loop& loop, int port, const Plan& plan, Observer& observer, TimePoint traffic_start,
         std::uint32_t salt);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// The program is killed now: a request that is still open is a breach.
  void expect_nothing_open();

 private:
  void connect();
  void open_connection();
  void send_next();
  void send(bool again);
  void on_bytes(std::string_view bytes);
  void on_closed(CloseKind kind);
  void answered(const http::Response& response);
  void unanswered();
  void leave();
  void give_up_listening();
  void end_request(const char* end, int status = 0, bool right = true);
  void wait_then_send();
  void schedule(Duration wait, net::Loop::Task task);
  bool may_connect() const;
  Duration think_time();

  net::Loop& loop_;
  int port_;
  const Plan& plan_;
  Observer& observer_;
  TimePoint traffic_start_;
  std::mt19937 random_;
  bool rests_;  ///< thinks long, so that its connection rests
  std::unique_ptr<Connection> connection_{};
  std::string input_{};
  std::unique_ptr<http::ResponseReader> reader_{};
  ClientRequest request_{};
  std::string bytes_{};
  bool open_ = false;        ///< a request has no answer yet
  bool sent_again_ = false;  ///< it was sent again, as a close had crossed it
  bool first_on_connection_ = true;
  net::Loop::Timer next_timer_ = net::Loop::no_timer;
  net::Loop::Timer last_connect_timer_ = net::Loop::no_timer;
  net::Loop::Timer deadline_timer_ = net::Loop::no_timer;
  net::Loop::Timer leave_timer_ = net::Loop::no_timer;
};

/// Clients that say nothing, stop in the middle of a request, or send a byte at a time. Each is
/// owed an error or a close in time.
class Crowd {
 public:
  Crowd(net::Loop& loop, int port, Observer& observer, std::uint32_t salt);

  /// Connects them all.
  void connect(int count);

 private:
  struct Member {
    std::unique_ptr<Connection> connection{};
    std::string unsent{};
    bool answered = false;
  };
  void add_member(int number);
  void drip(const std::shared_ptr<Member>& member);
  void check(const Member& member, int number);

  net::Loop& loop_;
  net::Timers timers_;
  int port_;
  Observer& observer_;
  std::mt19937 random_;
  std::vector<std::shared_ptr<Member>> members_{};
};

}  // namespace robinhoist::soak
