/// Long polls: requests that wait for a version newer than the one that the client has.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "http/exchange.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// Holds long polls of the form `?series=S&since=V&wait_ms=N&umpire=NAME` until a newer version is
/// available or their wait has elapsed.
class LongPoll {
 public:
  struct Query {
    ExchangePtr exchange;
    std::string proxy;   ///< name of the proxy that sent the request
    std::string series;  ///< series of the version that it has
    std::int64_t since;  ///< that version
    Duration wait;       ///< maximum wait; zero: answer at once
  };
  using Answer = std::function<void(const Query&)>;

  /// `answer` sends the response to a query whose wait is over.
  LongPoll(net::Loop& loop, Answer answer) : loop_(loop), answer_(std::move(answer)) {}
  ~LongPoll();
  LongPoll(const LongPoll&) = delete;
  LongPoll& operator=(const LongPoll&) = delete;

  /// Reads the query of a request; missing parameters are empty, and missing or invalid numbers are
  /// zero.
  static Query read(const ExchangePtr& exchange);
  /// Answers the query on the next notify() or when its wait has elapsed; drops it if the client
  /// disconnects first.
  void wait(Query query);
  /// Answers all queries that are waiting now.
  void notify();

 private:
  struct Waiting {
    Query query;
    net::Loop::Timer timer = net::Loop::no_timer;
  };
  using Position = std::list<Waiting>::iterator;

  void answer(Position position);

  net::Loop& loop_;
  Answer answer_;
  std::list<Waiting> waiting_{};
};

}  // namespace robinhoist::http
