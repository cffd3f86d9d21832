// Requests that wait for something newer than a version of a series:
// `?series=S&since=V&wait_ms=N&proxy=NAME`.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "http/server.h"
#include "time/time_types.h"

namespace robinhoist::http {

class LongPoll {
 public:
  struct Query {
    ExchangePtr exchange;
    std::string proxy, series;
    std::int64_t since;
    Duration wait;  // zero: answered at once
  };
  using Answer = std::function<void(const Query&)>;

  LongPoll(net::Loop& loop, Answer answer) : loop_(loop), answer_(std::move(answer)) {}
  ~LongPoll();
  LongPoll(const LongPoll&) = delete;
  LongPoll& operator=(const LongPoll&) = delete;

  static Query read(const ExchangePtr& exchange);
  // Answers when woken, at the end of the wait, or never if the client leaves before.
  void wait(Query query);
  void wake();

 private:
  struct Waiting {
    Query query;
    net::Loop::Timer timer = net::Loop::no_timer;
  };
  void answer(std::list<Waiting>::iterator at);
  net::Loop& loop_;
  Answer answer_;
  std::list<Waiting> waiting_{};
};

}  // namespace robinhoist::http
