// The order of messages about a release that arrive by several ways with different delays.
#include "platform/release_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using platform::ReleaseChange;
using platform::ReleaseMessageSource;
using platform::ReleaseTracker;

// The states of three builds in order: released and rolled back later, rolled back as a canary,
// and released.
std::vector<ReleaseUpdate> release_history() {
  return {{41, 0, ReleasePhase::canary, 0.1, {}},    {41, 1, ReleasePhase::canary, 1.0, {}},
          {41, 1, ReleasePhase::released, 1.0, {}},  {41, 1, ReleasePhase::rolling_back, 0, {}},
          {41, 1, ReleasePhase::rolled_back, 0, {}}, {42, 0, ReleasePhase::canary, 0.1, {}},
          {42, 1, ReleasePhase::canary, 1.0, {}},    {42, 1, ReleasePhase::rolling_back, 0, {}},
          {42, 1, ReleasePhase::rolled_back, 0, {}}, {43, 0, ReleasePhase::canary, 0.1, {}},
          {43, 1, ReleasePhase::canary, 1.0, {}},    {43, 1, ReleasePhase::released, 1.0, {}}};
}

struct Message {
  std::size_t state;  // index in the history
  ReleaseUpdate release;
  ReleaseMessageSource source;
  TimePoint arrives_at;
};

// The platform's side of a seeded run, and the messages that reach the proxy.
class History {
 public:
  explicit History(unsigned seed) : random_(seed) {
    TimePoint at{};
    for (std::size_t state = 0; state < states_.size(); ++state) {
      began_.push_back(at);
      at += between(50ms, 5s);
    }
    end_ = at;
  }
  // Messages made at random times, each with its own delay. Watch events stay in order.
  std::vector<Message> messages(Duration max_vote_delay, Duration max_watch_delay) {
    std::vector<Message> all;
    TimePoint last_event{};
    for (TimePoint made{}; made < end_; made += between(10ms, 500ms)) {
      const bool is_vote = random_() % 2 == 0;
      const TimePoint due = made + between(0ms, is_vote ? max_vote_delay : max_watch_delay);
      const TimePoint arrives = is_vote ? due : std::max(due, last_event);
      if (!is_vote)
        last_event = arrives;
      all.push_back(message(made, arrives, is_vote));
    }
    std::stable_sort(all.begin(), all.end(), [](const Message& a, const Message& b) {
      return a.arrives_at < b.arrives_at;
    });
    return all;
  }
  const std::vector<ReleaseUpdate>& states() const { return states_; }
  TimePoint began(std::size_t state) const { return began_[state]; }

 private:
  Duration between(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<long>(low.count(), high.count())(random_));
  }
  Message message(TimePoint made, TimePoint arrives, bool is_vote) const {
    const auto next = std::upper_bound(began_.begin(), began_.end(), made);
    const auto state = static_cast<std::size_t>(next - began_.begin()) - 1;
    ReleaseUpdate release = states_[state];
    release.since = made - began_[state];
    return {state, release,
            is_vote ? ReleaseMessageSource::vote_response : ReleaseMessageSource::watch, arrives};
  }

  std::minstd_rand random_;
  std::vector<ReleaseUpdate> states_ = release_history();
  std::vector<TimePoint> began_{};
  TimePoint end_{};
};

bool is_state(const ReleaseUpdate& release, const ReleaseUpdate& state) {
  return release.build == state.build && release.stage == state.stage &&
         release.phase == state.phase && release.cap == state.cap;
}

class ReleaseTrackerOrder : public testing::TestWithParam<unsigned> {};

// Guards against a message that hides a newer state, or lets an older one back, because of its
// delay: after each message the known state is the latest that any message was about.
TEST_P(ReleaseTrackerOrder, knows_the_latest_state_whatever_the_delays) {
  History history(GetParam());
  ReleaseTracker tracker(history.states().front(), TimePoint{});
  std::size_t latest = 0;
  Duration last_age{};
  TimePoint last_arrival{};
  for (const Message& message : history.messages(1200ms, 8s)) {
    const TimePoint now = message.arrives_at;
    const ReleaseChange change = tracker.receive(message.release, message.source, now);
    const bool repeats = message.state == latest;
    const ReleaseChange in_order = repeats ? ReleaseChange::repeated : ReleaseChange::advanced;
    EXPECT_EQ(change, message.state < latest ? ReleaseChange::outdated : in_order);
    latest = std::max(latest, message.state);
    const ReleaseUpdate known = tracker.known(now);
    EXPECT_TRUE(is_state(known, history.states()[latest])) << "state " << latest;
    EXPECT_LE(known.since, now - history.began(latest));
    if (change != ReleaseChange::advanced) {
      EXPECT_GE(known.since, last_age + (now - last_arrival)) << "the state became younger";
    }
    last_age = known.since;
    last_arrival = now;
  }
  EXPECT_GT(latest, 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReleaseTrackerOrder, testing::Range(1u, 201u));

// The delayed response to a vote must not bring back a cap that the watch has changed since.
TEST(ReleaseTracker, takes_a_cap_within_a_state_from_the_watch_only) {
  ReleaseTracker tracker({42, 1, ReleasePhase::canary, 0.2, 0ms}, TimePoint{});
  tracker.receive({42, 1, ReleasePhase::canary, 0.1, 0ms}, ReleaseMessageSource::watch,
                  TimePoint(1s));
  tracker.receive({42, 1, ReleasePhase::canary, 0.2, 0ms}, ReleaseMessageSource::vote_response,
                  TimePoint(2s));
  EXPECT_EQ(tracker.known(TimePoint(2s)).cap, 0.1);
  EXPECT_EQ(tracker.known(TimePoint(2s)).since, 2s);
}

}  // namespace
}  // namespace robinhoist
