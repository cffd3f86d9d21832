/// Tests of the membership of proxies (scripts in tests/members), of the proxy's side of a release
/// watch (scripts in tests/follower), and of selectors.
#include <memory>
#include <string>

#include "membership/membership.h"
#include "objects/selector.h"
#include "releases/follower.h"
#include "rollout/names.h"
#include "scripted_test.h"

namespace robinhoist {
namespace {

using tests::Words;

Duration milliseconds(const std::string& word) {
  return std::chrono::milliseconds(std::stol(word));
}

// --- Membership

class MembershipScenario : public testing::TestWithParam<std::string> {
 protected:
  void step(const Words& words) {
    if (words[0] == "settings") {  // EXPECTED LEASE_MS RETENTION_MS
      membership_ = std::make_unique<membership::Membership>(membership::Settings{
          std::stoi(words[1]), milliseconds(words[2]), milliseconds(words[3])});
    } else if (words[0] == "heard") {
      const auto result = membership_->heartbeat(words[1], words[2], now_);
      EXPECT_EQ(membership::to_string(result), words[3]);
    } else if (words[0] == "leaves") {
      EXPECT_EQ(membership_->leave(words[1], words[2]), words[3] == "yes");
    } else if (words[0] == "votes") {
      EXPECT_EQ(membership_->may_vote(words[1], words[2]), words[3] == "yes");
    } else if (words[0] == "acknowledges") {
      acknowledge(words);
    } else if (words[0] == "trial") {
      membership_->set_canary_running(words[1] == "on");
    } else if (words[0] == "run") {
      now_ += milliseconds(words[1]);
      membership_->expire(now_);
    } else if (words[0] == "expect") {
      const int count = measure(words[1]);
      EXPECT_TRUE(tests::compare(count, words[2], std::stod(words[3]))) << count;
    } else {
      throw std::runtime_error("unknown step: " + words[0]);
    }
  }

 private:
  // Arguments: NAME INCARNATION CAP VERSION EXPECTED_CAP
  void acknowledge(const Words& words) {
    membership_->acknowledge(words[1], words[2],
                             {2, 0, std::stod(words[3]), std::stol(words[4]), now_});
    EXPECT_EQ(membership_->all().at(words[1]).acknowledged->cap, std::stod(words[5]));
  }

  int measure(const std::string& what) const {
    if (what == "known")
      return membership_->known();
    if (what == "live")
      return membership_->live();
    return what == "on" ? membership_->promotion_electorate() : membership_->rollback_electorate();
  }

  std::unique_ptr<membership::Membership> membership_{};
  TimePoint now_{};
};

TEST_P(MembershipScenario, BehavesAsWritten) {
  tests::run_script(GetParam(), [this](const Words& words) { step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, MembershipScenario,
                         testing::ValuesIn(tests::files_in(TESTS "/members", ".txt")),
                         tests::script_name);

// --- Follower

class FollowerScenario : public testing::TestWithParam<std::string> {
 protected:
  void step(const Words& words) {
    if (words[0] == "begins") {
      follower_.begin(words[1] == "anew");
      body_.clear();
    } else if (words[0] == "line") {
      body_ += watch_line(words);
      consume_line("taken");
    } else if (words[0] == "half") {
      const std::string line = watch_line(words);
      body_ += line.substr(0, line.size() / 2);
      consume_line("none");
    } else if (words[0] == "bytes") {  // TEXT EXPECTED_RESULT
      body_ += words[1];
      consume_line(words[2]);
    } else if (words[0] == "run") {
      now_ += milliseconds(words[1]);
    } else if (words[0] == "news") {
      expect_update(words);
    } else if (words[0] == "version") {
      EXPECT_EQ(follower_.version(), std::stol(words[1]));
    } else {
      throw std::runtime_error("unknown step: " + words[0]);
    }
  }

 private:
  // A watch line as sent by the controller, from TYPE VERSION AGE_MS NAME BUILD STAGE PHASE CAP.
  static std::string watch_line(const Words& words) {
    const std::string& type = words[1];
    const std::string& version = words[2];
    if (type == "BOOKMARK")
      return R"({"type":"BOOKMARK","version":)" + version + R"(,"series":"s"})" + "\n";
    return R"({"type":")" + type + R"(","version":)" + version + R"(,"ageMs":)" + words[3] +
           R"(,"object":{"metadata":{"name":")" + words[4] + R"("},"spec":{"build":)" + words[5] +
           R"(},"status":{"stage":)" + words[6] + R"(,"phase":")" + words[7] + R"(","cap":)" +
           words[8] + "}}}\n";
  }

  void consume_line(const std::string& expected) {
    static const char* const names[] = {"none", "taken", "begin-anew", "senseless"};
    EXPECT_EQ(names[static_cast<int>(follower_.consume_line(body_, now_))], expected);
  }

  // Arguments: none, or BUILD STAGE PHASE CAP SINCE_MS
  void expect_update(const Words& words) {
    const auto update = follower_.next_update(now_);
    if (words[1] == "none") {
      EXPECT_FALSE(update);
      return;
    }
    ASSERT_TRUE(update);
    EXPECT_EQ(update->release.build, std::stoi(words[1]));
    EXPECT_EQ(update->release.stage, std::stoi(words[2]));
    EXPECT_EQ(rollout::api_name(update->release.phase), words[3]);
    EXPECT_EQ(update->release.cap, std::stod(words[4]));
    EXPECT_EQ(update->release.since, milliseconds(words[5]));
  }

  releases::Follower follower_{};
  std::string body_{};
  TimePoint now_{Duration(1000000)};
};

TEST_P(FollowerScenario, BehavesAsWritten) {
  tests::run_script(GetParam(), [this](const Words& words) { step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, FollowerScenario,
                         testing::ValuesIn(tests::files_in(TESTS "/follower", ".txt")),
                         tests::script_name);

// --- Selectors

class SelectorTest : public testing::Test {
 protected:
  bool matches(const char* labels, const char* fields = "") const {
    return objects::Selector(labels, fields).matches(labels_, fields_);
  }

 private:
  const objects::Fields labels_{{"team", "front"}, {"tier", "a"}};
  const objects::Fields fields_{{"status.phase", "trial"}};
};

TEST_F(SelectorTest, MatchesObjectsThatMeetAllRequirements) {
  for (const char* text : {"", "team", "team=front", "team==front", "team in (back, front)", "!old",
                           "tier notin (b),team", "zone!=x", "zone notin (x)"})
    EXPECT_TRUE(matches(text)) << text;
  for (const char* text :
       {"zone", "team=back", "team!=front", "team in (back)", "!team", "team,zone"})
    EXPECT_FALSE(matches(text)) << text;
  EXPECT_TRUE(matches("", "status.phase=trial"));
  EXPECT_FALSE(matches("", "status.phase!=trial"));
  for (const char* text :
       {"=x", "team in (a", "team among (a)", "a,,b", "te am=x", "team=a b", "in (a)"})
    EXPECT_THROW(matches(text), objects::SelectorError) << text;
}

}  // namespace
}  // namespace robinhoist
