#include "policy/list_subscription.h"

#include <algorithm>

#include "policy/statistics.h"
#include "time/units.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {
constexpr Duration min_backoff = 400ms;
constexpr Duration max_backoff = 3s;
constexpr double max_jitter_ms = 200;
}  // namespace

ListSubscription::ListSubscription(bool needed) : needed_(needed), backoff_(min_backoff) {}

void ListSubscription::updated(EndpointUpdateKind kind, TimePoint now) {
  if (kind == EndpointUpdateKind::failed) {
    subscribed_ = false;
    retry_at_ = now + backoff_;
    backoff_ = std::min(2 * backoff_, max_backoff);
    return;
  }
  if (kind != EndpointUpdateKind::cached)
    backoff_ = min_backoff;
}

std::optional<Decision> ListSubscription::next(TimePoint now, std::minstd_rand& random) {
  if (!needed_ || subscribed_ || now < retry_at_)
    return {};
  subscribed_ = true;
  backoff_ += from_millis(uniform_sample(random) * max_jitter_ms);
  return Decision{.action = Action::subscribe};
}

}  // namespace robinhoist
