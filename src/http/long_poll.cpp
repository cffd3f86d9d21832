#include "http/long_poll.h"

#include <algorithm>

namespace robinhoist::http {
namespace {
constexpr Duration most_wait = std::chrono::seconds(60);

std::int64_t whole_or(const std::string& text, std::int64_t absent) {
  if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos)
    return absent;
  return std::stoll(text);
}
}  // namespace

LongPoll::~LongPoll() {
  for (Waiting& one : waiting_) {
    loop_.cancel(one.timer);
    one.query.exchange->on_disconnect = nullptr;
  }
}

LongPoll::Query LongPoll::read(const ExchangePtr& exchange) {
  const Request& request = exchange->request;
  const auto wait = std::min<Duration>(
      most_wait, std::chrono::milliseconds(whole_or(request.query("wait_ms"), 0)));
  return {exchange, request.query("umpire"), request.query("series"),
          whole_or(request.query("since"), 0), wait};
}

void LongPoll::wait(Query query) {
  waiting_.push_back({std::move(query)});
  auto at = std::prev(waiting_.end());
  at->timer = loop_.in(at->query.wait, [this, at] { answer(at); });
  at->query.exchange->on_disconnect = [this, at] {
    loop_.cancel(at->timer);
    waiting_.erase(at);
  };
}

void LongPoll::answer(std::list<Waiting>::iterator at) {
  loop_.cancel(at->timer);
  const Query query = std::move(at->query);
  query.exchange->on_disconnect = nullptr;
  waiting_.erase(at);
  answer_(query);
}

// Those who wait now; one that asks again while others are answered waits for the next time.
void LongPoll::wake() {
  for (std::size_t left = waiting_.size(); left > 0 && !waiting_.empty(); --left)
    answer(waiting_.begin());
}

}  // namespace robinhoist::http
