// Plays tests/rollout/*.txt against the controller's core. The notation is described in
// tests/rollout/README.md.
#include "rollout/rollout.h"

#include "rollout/names.h"
#include "scripted_test.h"

namespace robinhoist::rollout {
namespace {

using tests::Words;

Duration ms(const std::string& word) {
  return Duration(std::stol(word) * 1000);
}

struct Stage {
  Settings settings{.stages = {0.25, 0.5, 1},
                    .caps = {0.3, 0.6, 1},
                    .promotion_mode = PromotionMode::clock,
                    .bake = ms("1000"),
                    .step = ms("3000"),
                    .settle = ms("500"),
                    .launch_most = ms("4000"),
                    .drain = ms("1000"),
                    .vote_lifetime = ms("4000"),
                    .votes_to_promote = 0.5,
                    .votes_to_hold = 0.2,
                    .votes_to_roll_back = 0.25,
                    .votes_per_s = 10};
  int places = 4, proxies = 8;
  bool boots = true;  // machines come up 100 ms after they were ordered, and stop at once
  std::unique_ptr<Rollout> core{};
  TimePoint now{};
  std::vector<std::pair<TimePoint, int>> booting{};
  std::map<std::string, int> orders{};
  std::string refused{};

  Rollout& it() {
    if (!core) {
      core = std::make_unique<Rollout>(settings, places, 1, proxies);
      pull();
    }
    return *core;
  }

  void pull() {
    while (auto order = core->next(now)) {
      const char* const words[] = {"start", "drain", "stop"};
      const std::string word = words[static_cast<int>(order->kind)];
      ++orders[word];
      ++orders[word + " " + std::to_string(order->build)];
      if (order->kind == OrderKind::start && boots)
        booting.emplace_back(now + ms("100"), order->machine);
      if (order->kind == OrderKind::stop)
        core->machine_gone(order->machine, now);
    }
  }

  void run(Duration span) {
    for (const TimePoint until = now + span; now < until; now += ms("10")) {
      for (std::size_t i = 0; i < booting.size();) {
        if (booting[i].first > now) {
          ++i;
          continue;
        }
        core->machine_up(booting[i].second, now);
        booting.erase(booting.begin() + static_cast<long>(i));
      }
      pull();
    }
  }

  static Verdict verdict(const std::string& word) {
    for (Verdict one : {Verdict::none, Verdict::promote, Verdict::hold, Verdict::roll_back})
      if (word == rollout::to_string(one))
        return one;
    throw std::runtime_error("no verdict: " + word);
  }

  double figure(const std::string& what) {
    const ReleaseUpdate news = it().news(now);
    if (what == "build")
      return news.build;
    if (what == "stage")
      return news.stage;
    if (what == "cap")
      return news.cap;
    if (what == "held")
      return it().held(now);
    if (what == "waited")
      return static_cast<double>(it().gate_waited().count()) / 1000;
    if (what == "baseline")
      return it().baseline();
    throw std::runtime_error("no figure: " + what);
  }

  void step(const Words& w) {
    if (w[0] == "set") {
      if (w[1] == "gate")
        settings.promotion_mode = w[2] == "first-vote" ? PromotionMode::first_vote
                                  : w[2] == "count"    ? PromotionMode::count
                                                       : PromotionMode::clock;
      else if (w[1] == "in-place")
        settings.in_place = true;
      else if (w[1] == "umpires")
        proxies = std::stoi(w[2]);
      else if (w[1] == "no-boot")
        boots = false;
      else
        throw std::runtime_error("no such setting");
    } else if (w[0] == "offer") {
      refused = it().offer(std::stoi(w[1]), now).value_or("");
    } else if (w[0] == "vote") {
      EXPECT_EQ(to_string(it().vote(w[1], std::stoi(w[2]), std::stoi(w[3]), verdict(w[4]), now)),
                w[5]);
    } else if (w[0] == "votes") {
      for (int u = 0; u < std::stoi(w[1]); ++u)
        it().vote("u" + std::to_string(u), std::stoi(w[2]), std::stoi(w[3]), verdict(w[4]), now);
    } else if (w[0] == "operator") {
      const bool done =
          w[1] == "back" ? it().back("asked", now) : it().hold(w[1] == "hold", "asked", now);
      EXPECT_EQ(done, w[2] == "yes");
    } else if (w[0] == "gate") {
      it().gate_open(std::stoi(w[1]), std::stoi(w[2]), w[3] == "open");
    } else if (w[0] == "gone") {
      it().machine_gone(std::stoi(w[1]), now);
    } else if (w[0] == "up") {
      it().machine_up(std::stoi(w[1]), now);
    } else if (w[0] == "run") {
      it();
      run(ms(w[1]));
    } else if (w[0] == "mark") {
      orders.clear();
    } else if (w[0] == "expect" && w[1] == "phase") {
      EXPECT_EQ(to_string(it().news(now).phase), w[2]);
    } else if (w[0] == "expect" && w[1] == "refused") {
      EXPECT_NE(refused, "");
    } else if (w[0] == "expect" && w[1] == "orders") {
      std::string what = w[2] + (w.size() > 5 ? " " + w[3] : "");
      EXPECT_TRUE(tests::compare(orders[what], w[w.size() - 2], std::stod(w.back())))
          << orders[what];
    } else if (w[0] == "expect") {
      EXPECT_TRUE(tests::compare(figure(w[1]), w[2], std::stod(w[3]))) << figure(w[1]);
    } else {
      throw std::runtime_error("no such step");
    }
  }
};

class RolloutPlay : public testing::TestWithParam<std::string> {};

TEST_P(RolloutPlay, goes_as_written) {
  Stage stage;
  tests::run_script(GetParam(), [&](const Words& words) { stage.step(words); });
}

INSTANTIATE_TEST_SUITE_P(All, RolloutPlay,
                         testing::ValuesIn(tests::files_in(TESTS "/rollout", ".txt")),
                         tests::script_name);

}  // namespace
}  // namespace robinhoist::rollout
