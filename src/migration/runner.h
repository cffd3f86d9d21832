// Carries out what the cores of steps decide: writes down, calls the target, writes down, and keeps
// the lease. Plans run one after the other: a later release's steps wait until an earlier one has
// nothing left to do.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "journal/journal.h"
#include "log/logger.h"
#include "migration/plan_state_machine.h"
#include "migration/target.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::migration {

struct RunnerSettings {
  std::string who{};  // holder of the lease
  Duration lease{};   // its length; renewed at a third of it
  int stages = 1;
  Duration journal_again = std::chrono::milliseconds(500);  // after it took nothing
  // Called at each point between two writes, for tests that end the process there.
  std::function<void(const char* point)> point{};
};

class Runner {
 public:
  Runner(net::Loop& loop, const RunnerSettings& settings, journal::Journal& journal, Target& target,
         const log::Logger& log);
  ~Runner();

  // Takes a plan, new or edited; throws settings::ValidationError with all that is wrong with it.
  int take_plan(const std::string& text, const std::string& name, const std::string& who);
  // Where a build's release stands; builds without a plan are let pass.
  void release(int build, const ReleaseState& release);
  bool allows(int build, int stage, std::string* why = nullptr) const;
  // The operator's words; empty when done, else why not.
  std::string pause(bool on, const std::string& who, const std::string& why);
  std::string retry(int build, const std::string& step, const std::string& who,
                    const std::string& why);
  std::string skip(int build, const std::string& step, const std::string& who,
                   const std::string& why);
  void client_outcomes(long requests, long unsuccessful);
  // Asks the target again about every step that was applied, by its check, else by its mark;
  // nothing is changed. JSON, once all have been asked.
  void verify(std::function<void(const std::string&)> done);
  void pull();
  // Called after each change that may move a gate.
  std::function<void()> changed{};

  std::string status() const;  // JSON
  bool succeeded() const;
  bool stuck() const;
  bool has_plan(int build) const { return find(build) != nullptr; }
  // Of a build's plan, in order: id, phase, state in words.
  struct StepSummary {
    std::string id, phase, state;
  };
  std::vector<StepSummary> steps_of(int build) const;

 private:
  struct Run {
    PlanStateMachine core;
    std::string text;
    TimePoint began{};
  };
  struct Verification;
  Run* find(int build) const;
  void verify_next(const std::shared_ptr<Verification>& verification);
  std::unique_ptr<Run> rebuilt(const Plan& plan, const std::string& text) const;
  void act(Run& run, const Action& todo);
  void write(const Run& run, const Step& step, const char* what, Direction direction,
             const std::string& outcome, std::int64_t after, int attempt, const std::string& why,
             const std::string& who = "");
  void keep_lease();
  void at(const char* point) const;
  void failed(const std::string& why);

  net::Loop& loop_;
  RunnerSettings settings_;
  journal::Journal& journal_;
  Target& target_;
  const log::Logger& log_;
  std::vector<std::unique_ptr<Run>> runs_{};  // by build, oldest first
  std::int64_t token_ = 0;
  TimePoint lease_until_{};
  net::Loop::Timer lease_timer_ = net::Loop::no_timer, look_ = net::Loop::no_timer;
  std::deque<journal::Entry> unwritten_{};  // outcomes that the journal has not taken yet
  std::string broken_{};                    // why the journal takes nothing
  bool pulling_ = false;
};

}  // namespace robinhoist::migration
