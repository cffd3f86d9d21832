/// Runs the scripts in tests/rollout against the rollout state machine. tests/rollout/README.md
/// describes the notation.
#include "rollout/rollout.h"

#include "rollout/names.h"
#include "scripted_test.h"

namespace robinhoist::rollout {
namespace {

using tests::Words;

Duration milliseconds(const std::string& word) {
  return std::chrono::milliseconds(std::stol(word));
}

Settings default_settings() {
  return {.stages = {0.25, 0.5, 1},
          .caps = {0.3, 0.6, 1},
          .promotion_mode = PromotionMode::clock,
          .bake = std::chrono::milliseconds(1000),
          .stage_duration = std::chrono::milliseconds(3000),
          .settle = std::chrono::milliseconds(500),
          .max_launch_time = std::chrono::milliseconds(4000),
          .drain = std::chrono::milliseconds(1000),
          .vote_lifetime = std::chrono::milliseconds(4000),
          .votes_to_promote = 0.5,
          .votes_to_hold = 0.2,
          .votes_to_roll_back = 0.25,
          .votes_per_s = 10};
}

Verdict verdict_named(const std::string& name) {
  for (Verdict verdict : {Verdict::none, Verdict::promote, Verdict::hold, Verdict::roll_back})
    if (name == api_name(verdict))
      return verdict;
  throw std::runtime_error("unknown verdict: " + name);
}

PromotionMode promotion_mode_named(const std::string& name) {
  if (name == "first-vote")
    return PromotionMode::first_vote;
  return name == "count" ? PromotionMode::count : PromotionMode::clock;
}

/// A rollout in simulated time whose machines start and stop as commanded.
class RolloutScenario : public testing::TestWithParam<std::string> {
 protected:
  static constexpr Duration boot_time = std::chrono::milliseconds(100);
  static constexpr Duration tick = std::chrono::milliseconds(10);
  static constexpr int slots = 4;
  static constexpr int first_build = 1;

  void step(const Words& words) {
    const auto found = steps().find(words[0]);
    if (found == steps().end())
      throw std::runtime_error("unknown step: " + words[0]);
    (this->*found->second)(words);
  }

 private:
  using Step = void (RolloutScenario::*)(const Words&);
  static const std::map<std::string, Step>& steps() {
    static const std::map<std::string, Step> all{
        {"set", &RolloutScenario::set},
        {"offer", &RolloutScenario::submit},
        {"vote", &RolloutScenario::vote},
        {"votes", &RolloutScenario::votes},
        {"operator", &RolloutScenario::apply_operator_action},
        {"gate", &RolloutScenario::gate},
        {"gone", &RolloutScenario::stopped},
        {"up", &RolloutScenario::started},
        {"run", &RolloutScenario::run},
        {"mark", &RolloutScenario::reset_command_counts},
        {"expect", &RolloutScenario::expect}};
    return all;
  }

  Rollout& rollout() {
    if (!rollout_) {
      rollout_ = std::make_unique<Rollout>(settings_, slots, first_build, proxies_);
      execute_commands();
    }
    return *rollout_;
  }

  void execute_commands() {
    while (const auto command = rollout_->next_command(now_)) {
      const std::string kind = to_string(command->kind);
      ++command_counts_[kind];
      ++command_counts_[kind + " " + std::to_string(command->build)];
      if (command->kind == CommandKind::start && machines_boot_)
        booting_.push_back({now_ + boot_time, command->machine});
      if (command->kind == CommandKind::stop)
        rollout_->machine_stopped(command->machine, now_);
    }
  }

  void finish_boots() {
    for (std::size_t i = 0; i < booting_.size();) {
      if (booting_[i].up_at > now_) {
        ++i;
        continue;
      }
      rollout_->machine_started(booting_[i].machine, now_);
      booting_.erase(booting_.begin() + static_cast<long>(i));
    }
  }

  void set(const Words& words) {
    if (words[1] == "gate")
      settings_.promotion_mode = promotion_mode_named(words[2]);
    else if (words[1] == "in-place")
      settings_.in_place = true;
    else if (words[1] == "umpires")
      proxies_ = std::stoi(words[2]);
    else if (words[1] == "no-boot")
      machines_boot_ = false;
    else
      throw std::runtime_error("unknown setting: " + words[1]);
  }

  void submit(const Words& words) {
    rejection_ = rollout().submit(std::stoi(words[1]), now_).value_or("");
  }

  void vote(const Words& words) {
    const Outcome outcome = rollout().vote(words[1], std::stoi(words[2]), std::stoi(words[3]),
                                           verdict_named(words[4]), now_);
    EXPECT_EQ(api_name(outcome), words[5]);
  }

  void votes(const Words& words) {
    for (int proxy = 0; proxy < std::stoi(words[1]); ++proxy)
      rollout().vote("u" + std::to_string(proxy), std::stoi(words[2]), std::stoi(words[3]),
                     verdict_named(words[4]), now_);
  }

  void apply_operator_action(const Words& words) {
    const std::string reason = "asked";
    bool done = false;
    if (words[1] == "back")
      done = rollout().roll_back(reason, now_);
    else if (words[1] == "hold")
      done = rollout().hold(reason, now_);
    else
      done = rollout().resume(reason, now_);
    EXPECT_EQ(done, words[2] == "yes");
  }

  void gate(const Words& words) {
    const Gate gate = words[3] == "open" ? Gate::open : Gate::closed;
    rollout().set_gate(std::stoi(words[1]), std::stoi(words[2]), gate);
  }

  void stopped(const Words& words) { rollout().machine_stopped(std::stoi(words[1]), now_); }
  void started(const Words& words) { rollout().machine_started(std::stoi(words[1]), now_); }

  void run(const Words& words) {
    rollout();
    for (const TimePoint end = now_ + milliseconds(words[1]); now_ < end; now_ += tick) {
      finish_boots();
      execute_commands();
    }
  }

  void reset_command_counts(const Words&) { command_counts_.clear(); }

  void expect(const Words& words) {
    if (words[1] == "phase") {
      EXPECT_EQ(api_name(rollout().release_update(now_).phase), words[2]);
    } else if (words[1] == "refused") {
      EXPECT_NE(rejection_, "");
    } else if (words[1] == "orders") {
      const std::string which = words[2] + (words.size() > 5 ? " " + words[3] : "");
      const int count = command_counts_[which];
      EXPECT_TRUE(tests::compare(count, words[words.size() - 2], std::stod(words.back()))) << count;
    } else {
      const double measured = measure(words[1]);
      EXPECT_TRUE(tests::compare(measured, words[2], std::stod(words[3]))) << measured;
    }
  }

  double measure(const std::string& what) {
    const ReleaseUpdate update = rollout().release_update(now_);
    if (what == "build")
      return update.build;
    if (what == "stage")
      return update.stage;
    if (what == "cap")
      return update.cap;
    if (what == "held")
      return rollout().on_hold(now_) ? 1 : 0;
    if (what == "waited")
      return static_cast<double>(rollout().gate_wait().count()) / 1000;
    if (what == "baseline")
      return rollout().baseline();
    throw std::runtime_error("unknown measure: " + what);
  }

  struct Boot {
    TimePoint up_at;
    int machine;
  };

  Settings settings_ = default_settings();
  int proxies_ = 8;
  bool machines_boot_ = true;
  std::unique_ptr<Rollout> rollout_{};
  TimePoint now_{};
  std::vector<Boot> booting_{};
  std::map<std::string, int> command_counts_{};
  std::string rejection_{};
};

TEST_P(RolloutScenario, BehavesAsWritten) {
  tests::run_script(GetParam(), [this](const Words& words) { step(words); });
}

INSTANTIATE_TEST_SUITE_P(All, RolloutScenario,
                         testing::ValuesIn(tests::files_in(TESTS "/rollout", ".txt")),
                         tests::script_name);

}  // namespace
}  // namespace robinhoist::rollout
