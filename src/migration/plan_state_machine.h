// Decides which step of a plan runs next, what may be repeated, what must be checked first, and
// which stage may take traffic. Free of I/O and clocks: inputs note what is known, next(now) hands
// out one thing to do at a time. The host writes down each intent before it acts and each outcome
// after; after a crash it replays them.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "migration/plan.h"
#include "time/time_types.h"

namespace robinhoist::migration {

enum class Direction { apply, undo };
// not_run: known to have changed nothing. unknown: it may have run. fenced: another runner has
// taken over.
enum class StepResult { done, more, not_run, unknown, fenced };
enum class ProbeResult { yes, no, unknown };

// Above every key: where an undo in batches begins that has the whole step to undo.
constexpr std::int64_t beyond_all_keys = std::int64_t{1} << 53;

enum class ActionKind { run, look_for_mark, check, verify, ask_operator };

struct Action {
  ActionKind act;
  int step = -1;
  Direction direction = Direction::apply;
  int attempt = 0;
  std::int64_t after = 0;  // data: where the next batch begins; of an undo: where it ends
  std::string why{};       // ask_operator
};

// Where the release stands, as far as steps are concerned.
struct ReleaseState {
  int stage = -1;  // the stage now running; -1: none yet
  bool offered = false;
  bool going_back = false;  // rolled back; its machines still serve
  bool withdrawn = false;   // rolled back, and none of its machines serve any more
  bool final = false;       // released, and can't be rolled back
  bool operator==(const ReleaseState&) const = default;
};

enum class StepState { not_applied, maybe_applied, applied, maybe_undone, undone };

struct Progress {
  StepState fact = StepState::not_applied;
  bool whole = false;  // it has been applied to its end, whatever an undo has done since
  bool verified = false, stuck = false, skipped = false, asked = false;
  int tries = 0;  // that failed in a row
  TimePoint retry_at{};
  std::int64_t after = 0;  // the cursor of a data step
  std::string why{};
  std::int64_t last = 0;  // data: the largest key, as the target last told
  struct Pace {
    TimePoint at;
    std::int64_t after;
  };
  std::deque<Pace> pace{};  // of the last few batches
};

// How far a data step is by its keys, and how long the rest takes at the pace of its last few
// batches.
struct Estimate {
  double part = 0;
  std::optional<Duration> left{};
};

class PlanStateMachine {
 public:
  explicit PlanStateMachine(Plan plan);

  // Inputs.
  void release(const ReleaseState& release) { release_ = release; }
  void lease(bool held) { leased_ = held; }
  void ended(int step, Direction direction, StepResult result, std::int64_t after,
             const std::string& why, TimePoint now);
  void looked(int step, ProbeResult applied, std::int64_t after, const std::string& why,
              TimePoint now);
  // A data step's largest key, which its end goes by.
  void reaches(int step, std::int64_t last) { progress_[step].last = last; }
  void pause(bool on) { paused_ = on; }
  // Of the proxies' requests since the last word: how many, and how many were late, rejected or
  // failed.
  void client_outcomes(long requests, long unsuccessful, TimePoint now);
  // The operator: try it again (it is known to be safe), or take it as done.
  bool retry(int step);
  bool skip(int step);
  // Replay after a start: what was written down, in order.
  void replay_intent(int step, Direction direction);
  void replay_ended(int step, Direction direction, StepResult result, std::int64_t after);
  void replay_looked(int step, ProbeResult applied, std::int64_t after);
  void replay_skipped(int step) { skip_now(step); }

  // Decisions.
  std::optional<Action> next(TimePoint now);
  std::optional<TimePoint> next_look() const;
  // Whether a stage may take traffic; `why` says what is missing.
  bool allows(int stage, std::string* why = nullptr) const;
  // Nothing is left to do as things stand.
  bool succeeded() const;

  const Plan& plan() const { return plan_; }
  const std::vector<Progress>& progress() const { return progress_; }
  bool busy() const { return busy_; }
  bool paused() const { return paused_; }
  bool undoing() const { return release_.withdrawn; }
  Duration throttle() const { return throttle_; }
  std::optional<Estimate> estimate(
      int step) const;                    // none before its first batch, or once it is done
  int step(const std::string& id) const;  // -1: none

 private:
  bool wanted(int step) const;
  bool finished(int step) const;
  bool to_undo(int step) const;
  std::optional<Action> forward(int step, TimePoint now);
  std::optional<Action> backward(int step, TimePoint now);
  std::optional<Action> resolve(int step, Direction direction);
  std::optional<Action> run(int step, Direction direction);
  void again(Progress& progress, const Step& step, TimePoint now);
  void skip_now(int step);

  Plan plan_;
  std::vector<Progress> progress_;
  ReleaseState release_{};
  bool leased_ = false, paused_ = false, busy_ = false;
  Duration throttle_{};
  TimePoint batch_at_{};
};

const char* to_string(StepState fact);
const char* to_string(StepResult result);

}  // namespace robinhoist::migration
