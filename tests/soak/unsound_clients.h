/// Clients of the soak whose requests are not sound, or that leave with much unread.
#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../raw_requests.h"
#include "connection.h"
#include "net/loop.h"
#include "observer.h"

namespace robinhoist::soak {

/// Each request that is not sound must get an error or a close in time, and reach no endpoint; the
/// observer reports a request that arrives there with an id that no usual client sent.
class UnsoundClients {
 public:
  UnsoundClients(net::Loop& loop, int port, Observer& observer, std::uint32_t seed);
  ~UnsoundClients();

  /// Sends unsound requests from now on, and pipelined ones of clients that then leave.
  void start();
  /// Sends a request once more whose client has left.
  void repeat(const std::string& bytes);

 private:
  struct UnsoundClient {
    std::unique_ptr<Connection> connection{};
    std::string received{};
    bool closed = false;
  };
  void send_next();
  void send(const std::string& what, const std::string& bytes);
  void check(const UnsoundClient& client, const std::string& what);
  void pipeline_and_leave();
  Duration between(Duration least, Duration most);

  net::Loop& loop_;
  net::Timers timers_;
  int port_;
  Observer& observer_;
  std::mt19937 random_;
  std::vector<tests::RawRequest> requests_{};
  std::vector<std::shared_ptr<UnsoundClient>> clients_{};
  int sent_ = 0;
};

}  // namespace robinhoist::soak
