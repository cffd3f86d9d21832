/// Requests that wait for something newer than a version that the client has.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "http/exchange.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// Holds long polls of the form `?series=S&since=V&wait_ms=N&umpire=NAME` until there is something
/// to tell, or their wait is over.
class LongPoll {
 public:
  struct Query {
    ExchangePtr exchange;
    std::string proxy;   ///< who asks
    std::string series;  ///< of the version that it has
    std::int64_t since;  ///< that version
    Duration wait;       ///< zero: answered at once
  };
  using Answer = std::function<void(const Query&)>;

  /// `answer` answers the exchange of a query that need not wait any longer.
  LongPoll(net::Loop& loop, Answer answer) : loop_(loop), answer_(std::move(answer)) {}
  ~LongPoll();
  LongPoll(const LongPoll&) = delete;
  LongPoll& operator=(const LongPoll&) = delete;

  /// Reads the query of a request; parameters that are missing or no numbers count as empty or
  /// zero.
  static Query read(const ExchangePtr& exchange);
  /// Answers when notified, at the end of the wait, or never if the client leaves before.
  void wait(Query query);
  /// Answers all who wait now.
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
