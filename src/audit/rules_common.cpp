#include <array>
#include <cstdio>

#include "audit/rules.h"

namespace robinhoist::audit {
namespace {

// A start and an arrival at the same instant may be recorded in either order.
constexpr Duration start_slack = std::chrono::milliseconds(1);

}  // namespace

TimePoint process_started_at(const Events& events, const std::string& proxy, TimePoint at) {
  TimePoint started{};
  const auto lives = events.proxy_lives.find(proxy);
  if (lives == events.proxy_lives.end())
    return started;
  for (const ProxyLife& life : lives->second)
    if (life.from <= at)
      started = life.from;
  return started;
}

const ServerStart* server_start_at(const Events& events, const std::string& server, TimePoint at) {
  const auto starts = events.server_starts.find(server);
  if (starts == events.server_starts.end())
    return nullptr;
  const ServerStart* last = nullptr;
  for (const ServerStart& start : starts->second)
    if (start.at <= at + start_slack)
      last = &start;
  return last;
}

std::string to_text(TimePoint at) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f s",
                std::chrono::duration<double>(at.time_since_epoch()).count());
  return text.data();
}

std::string to_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) +
         " ms";
}

}  // namespace robinhoist::audit
