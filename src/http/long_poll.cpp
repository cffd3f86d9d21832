#include "http/long_poll.h"

#include <algorithm>
#include <utility>

namespace robinhoist::http {
namespace {

constexpr Duration max_wait = std::chrono::seconds(60);
constexpr std::size_t max_digits = 15;

std::int64_t number_or_zero(const std::string& text) {
  const bool is_number = !text.empty() && text.size() <= max_digits &&
                         text.find_first_not_of("0123456789") == std::string::npos;
  return is_number ? std::stoll(text) : 0;
}

}  // namespace

LongPoll::~LongPoll() {
  for (Waiting& waiting : waiting_) {
    loop_.cancel(waiting.timer);
    waiting.query.exchange->on_disconnect = nullptr;
  }
}

LongPoll::Query LongPoll::read(const ExchangePtr& exchange) {
  const Request& request = exchange->request;
  const std::chrono::milliseconds wait(number_or_zero(request.query("wait_ms")));
  return {.exchange = exchange,
          .proxy = request.query("umpire"),
          .series = request.query("series"),
          .since = number_or_zero(request.query("since")),
          .wait = std::min<Duration>(max_wait, wait)};
}

void LongPoll::wait(Query query) {
  waiting_.push_back({std::move(query)});
  const auto position = std::prev(waiting_.end());
  position->timer = loop_.in(position->query.wait, [this, position] { answer(position); });
  position->query.exchange->on_disconnect = [this, position] {
    loop_.cancel(position->timer);
    waiting_.erase(position);
  };
}

void LongPoll::answer(Position position) {
  loop_.cancel(position->timer);
  const Query query = std::move(position->query);
  query.exchange->on_disconnect = nullptr;
  waiting_.erase(position);
  answer_(query);
}

// A request that arrives while the others are answered waits for the next notification.
void LongPoll::notify() {
  for (std::size_t left = waiting_.size(); left > 0 && !waiting_.empty(); --left)
    answer(waiting_.begin());
}

}  // namespace robinhoist::http
