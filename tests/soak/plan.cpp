#include "plan.h"

#include <algorithm>
#include <csignal>
#include <random>

#include "faults/floods.h"

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// SIGKILL follows SIGTERM after the longest deadline, or after three seconds if that is longer,
// plus this margin.
constexpr Duration min_kill_delay = 3s;
constexpr Duration kill_margin = 700ms;
constexpr std::uint32_t partial_requests_sequence = 1000000;
constexpr std::uint32_t canary_sequence = 2000000;
constexpr std::uint32_t unsound_sequence = 3000000;
// Time for the stages of a canary and the news of its rollback.
constexpr Duration canary_duration = 5s;

class PlanGenerator {
 public:
  explicit PlanGenerator(long seed) : random_(static_cast<std::uint32_t>(seed)) {
    plan_.seed = static_cast<std::uint32_t>(seed);
  }

  Plan draw() {
    plan_.terminate = between(900ms, 1800ms);
    if (chance(0.3))
      draw_list_stall();
    plan_.last_connect = plan_.terminate + between(200ms, 400ms);
    plan_.kill = plan_.terminate + std::max(max_request_timeout, min_kill_delay) + kill_margin;
    plan_.clients = static_cast<int>(integer(8, 40));
    plan_.disconnect_share = chance(0.7) ? 0.05 : 0.25;
    draw_endpoints();
    draw_signals();
    draw_faults();
    draw_partial_requests();
    draw_canary();
    draw_unsound_clients();
    return plan_;
  }

 private:
  std::int64_t integer(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
  }
  Duration between(Duration least, Duration most) {
    return Duration(integer(least.count(), most.count()));
  }
  bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

  // The stall lasts long enough for a change during it to count as known to the proxy, and for the
  // grace period after that.
  void draw_list_stall() {
    plan_.list_stall = between(100ms, 500ms);
    plan_.terminate = *plan_.list_stall + max_change_delay + between(1200ms, 2s);
  }

  void draw_endpoints() {
    const std::int64_t count = integer(2, 5);
    for (std::int64_t i = 0; i < count; ++i) {
      EndpointPlan endpoint{.name = "s" + std::to_string(i)};
      endpoint.min_delay = between(1ms, 20ms);
      endpoint.max_delay = endpoint.min_delay + (chance(0.5) ? between(100ms, 450ms) : 30ms);
      endpoint.reject_share = chance(0.3) ? 0.1 : 0;
      endpoint.error_share = chance(0.3) ? 0.05 : 0;
      // The first endpoint never hangs, so that some requests succeed.
      endpoint.hang_share = i > 0 && chance(0.5) ? (chance(0.3) ? 1 : 0.2) : 0;
      plan_.endpoints.push_back(endpoint);
    }
  }

  void add_signal(Duration at, int number, ConfigChange config = ConfigChange::none) {
    plan_.signals.push_back({at, number, config});
  }

  // The sequences of signals that the protocol allows: several reloads, before, after and at the
  // same time as the first SIGTERM, also of an unreadable file, and a second SIGTERM.
  void draw_signals() {
    const Duration end = plan_.terminate;
    const std::int64_t reloads = integer(0, 3);
    Duration at = between(50ms, end / 2);
    for (std::int64_t i = 0; i < reloads; ++i) {
      add_signal(std::min(at, end), SIGHUP,
                 chance(0.25) ? ConfigChange::unreadable : ConfigChange::move);
      at += chance(0.5) ? between(0ms, 20ms) : between(50ms, 400ms);
    }
    if (chance(0.4))
      add_signal(end, SIGHUP, ConfigChange::move);
    add_signal(end, SIGTERM);
    if (chance(0.4))
      add_signal(end + between(0ms, 700ms), SIGHUP, ConfigChange::move);
    if (chance(0.4))
      add_signal(end + between(0ms, 900ms), SIGTERM);
    std::stable_sort(
        plan_.signals.begin(), plan_.signals.end(),
        [](const SignalEvent& one, const SignalEvent& other) { return one.at < other.at; });
  }

  void draw_faults() {
    const Duration end = plan_.terminate;
    if (chance(0.4))
      plan_.bad_clients_at = between(100ms, end + 300ms);
    const std::size_t last = plan_.endpoints.size() - 1;
    if (plan_.list_stall)
      plan_.drains.push_back({*plan_.list_stall + between(100ms, 2s), last});
    else if (last > 1 && chance(0.5))
      plan_.drains.push_back({between(100ms, end + 200ms), last});
    for (std::int64_t i = integer(0, 3); i > 0; --i)
      plan_.resets.push_back(between(100ms, end + 500ms));
    for (std::int64_t i = integer(0, 4); i > 0; --i)
      plan_.idle_closes.push_back(between(100ms, end + 500ms));
  }

  // Drawn from a sequence of its own, so that the other events of a seed stay as they were.
  void draw_partial_requests() {
    random_.seed(plan_.seed + partial_requests_sequence);
    if (chance(0.4))
      plan_.partial_requests_at = between(100ms, plan_.terminate);
  }

  // As above. News of a change takes 0.15 to 0.78 s, and the answer to a vote may take as long as
  // the vote timeout, here 1.2 s. In most runs it arrives between the roll back and the news of it.
  void draw_canary() {
    random_.seed(plan_.seed + canary_sequence);
    if (plan_.list_stall || !chance(0.5))
      return;
    plan_.canary = {.second_stage = between(1s, 2s),
                    .rollback_delay = between(50ms, 300ms),
                    .stage_news_delay = between(150ms, chance(0.7) ? 250ms : 780ms),
                    .rollback_news_delay = between(chance(0.7) ? 600ms : 150ms, 780ms)};
    const Duration rollback_news = plan_.canary->rollback_delay + plan_.canary->rollback_news_delay;
    plan_.canary->vote_delay =
        chance(0.7) ? between(plan_.canary->rollback_delay, rollback_news) : between(0ms, 1100ms);
    plan_.endpoints.push_back(
        {.name = canary_name, .build = canary_build, .min_delay = 5ms, .max_delay = 30ms});
    postpone_end(canary_duration);
  }

  void draw_unsound_clients() {
    random_.seed(plan_.seed + unsound_sequence);
    plan_.has_unsound_clients = chance(0.5);
    plan_.has_split_links = chance(0.3);
    if (!chance(0.25))
      return;
    plan_.flood = static_cast<std::size_t>(
        integer(0, static_cast<std::int64_t>(faults::floods().size()) - 1));
    if (faults::floods()[*plan_.flood].is_forwarded)  // its ids are known to no client
      plan_.flood = 0;
    plan_.flood_at = between(50ms, plan_.terminate);
  }

  void postpone_end(Duration time) {
    for (SignalEvent& signal : plan_.signals)
      if (signal.at >= plan_.terminate)
        signal.at += time;
    plan_.terminate += time;
    plan_.last_connect += time;
    plan_.kill += time;
  }

  std::mt19937 random_;
  Plan plan_{};
};

const char* name_of(const SignalEvent& signal) {
  if (signal.number == SIGTERM)
    return "TERM";
  return signal.config == ConfigChange::unreadable ? "HUP(unreadable)" : "HUP";
}

}  // namespace

std::string Plan::describe() const {
  std::string text;
  for (const SignalEvent& signal : signals)
    text += (text.empty() ? "" : " ") + std::string(name_of(signal));
  if (bad_clients_at)
    text += ", crowd";
  if (partial_requests_at)
    text += ", partial requests";
  if (has_unsound_clients)
    text += ", unsound";
  if (flood)
    text += std::string(", flood of ") + faults::floods()[*flood].name;
  if (has_split_links)
    text += ", split links";
  if (list_stall)
    text += ", silent list";
  if (canary)
    text += ", canary";
  if (!drains.empty())
    text += ", drain";
  if (!resets.empty())
    text += ", resets";
  return text;
}

Plan draw_plan(long seed) {
  return PlanGenerator(seed).draw();
}

}  // namespace robinhoist::soak
