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
    one.asked.exchange->on_gone = nullptr;
  }
}

LongPoll::Asked LongPoll::read(const ExchangePtr& exchange) {
  const Request& request = exchange->request;
  const auto wait = std::min<Duration>(
      most_wait, std::chrono::milliseconds(whole_or(request.query("wait_ms"), 0)));
  return {exchange, request.query("umpire"), request.query("series"),
          whole_or(request.query("since"), 0), wait};
}

void LongPoll::wait(Asked asked) {
  waiting_.push_back({std::move(asked)});
  auto at = std::prev(waiting_.end());
  at->timer = loop_.in(at->asked.wait, [this, at] { answer(at); });
  at->asked.exchange->on_gone = [this, at] {
    loop_.cancel(at->timer);
    waiting_.erase(at);
  };
}

void LongPoll::answer(std::list<Waiting>::iterator at) {
  loop_.cancel(at->timer);
  const Asked asked = std::move(at->asked);
  asked.exchange->on_gone = nullptr;
  waiting_.erase(at);
  answer_(asked);
}

// Those who wait now; one that asks again while others are answered waits for the next time.
void LongPoll::wake() {
  for (std::size_t left = waiting_.size(); left > 0 && !waiting_.empty(); --left)
    answer(waiting_.begin());
}

}  // namespace robinhoist::http
