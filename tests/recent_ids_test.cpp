// The memory of ids of requests.
#include "proxy/recent_ids.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

// Guards against an id that is forgotten too early: at the change of a generation, or at once when
// no id has come for long.
TEST(RecentIds, remembers_each_id_for_the_retention_at_least) {
  constexpr Duration retention = 10s;
  for (Duration offset{}; offset < 25s; offset += 700ms) {
    proxy::RecentIds ids(retention, 100, 1);
    TimePoint now{5s};
    ids.insert("other", now);
    now += offset;
    EXPECT_TRUE(ids.insert("id", now));
    EXPECT_FALSE(ids.insert("id", now + retention - 1ms)) << offset.count();
    EXPECT_TRUE(ids.insert("id", now + 100s));
  }
}

// Guards against memory that grows with the number of ids.
TEST(RecentIds, remembers_the_latest_ids_within_its_bound) {
  constexpr std::size_t max_ids = 1000;
  proxy::RecentIds ids(10s, max_ids, 1);
  const TimePoint now{5s};
  for (int i = 0; i < 100000; ++i) {
    EXPECT_TRUE(ids.insert(std::to_string(i), now));
    EXPECT_LE(ids.size(), 2 * max_ids);
  }
  for (int i = 99999; i > 99000; --i)
    EXPECT_FALSE(ids.insert(std::to_string(i), now)) << i;
}

}  // namespace
}  // namespace robinhoist
