/// One thread's event loop.
///
/// POCO's SocketReactor watches sockets; timers run off a timerfd, because the reactor's own
/// time-outs are whole milliseconds and fire only when nothing else happens; an eventfd brings work
/// from other threads. Unless stated otherwise, methods belong to the loop's thread.
#pragma once
#include <Poco/Net/SocketReactor.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/fd_watcher.h"
#include "time/time_types.h"

namespace robinhoist::net {

/// Names a timer that is set, for Loop::cancel(). Timers that are due at the same time run in the
/// order in which they were set.
struct TimerHandle {
  TimePoint due{};
  std::uint64_t id = 0;  ///< 0: none is set
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
  auto operator<=>(const TimerHandle&) const = default;
};

/// The event loop: sockets, timers and tasks of one thread, in order of time.
class Loop : public Poco::Net::SocketReactor {
 public:
  using Task = std::function<void()>;

  using Timer = TimerHandle;
  /// The timer that is not set; cancelling it does nothing.
  static constexpr Timer no_timer{};

  /// `epoch` is the steady time that now() counts from; the machine's own zero by default.
  /// Throws std::runtime_error when no file descriptor is left.
  explicit Loop(SteadyTime epoch = SteadyTime{});
  ~Loop() override;

  /// The present time of this run. From any thread.
  TimePoint now() const { return TimePoint(steady_now() - epoch_); }
  SteadyTime epoch() const { return epoch_; }

  /// Runs a task at a point in time, or as soon as possible after it.
  Timer at(TimePoint when, Task task);
  /// Runs a task after a wait.
  Timer in(Duration wait, Task task) { return at(now() + wait, std::move(task)); }
  /// Takes a timer back, if it has not run, and resets the name.
  void cancel(Timer& timer);

  /// Runs a task on the loop's thread, in the order of the calls. From any thread.
  void post(Task task);
  /// Ends run() soon. From any thread.
  void quit();
  /// Runs a task on the loop's thread and waits for its end; rethrows what it throws. From any
  /// thread but the loop's own.
  void call(const Task& task);

  /// Runs a task at the start of each turn in which anything is ready, before the handlers of all
  /// sockets; the reactor has no other order among those. It replaces the task of an earlier call;
  /// an empty one takes it back.
  void before_each_iteration(Task task) { before_iteration_ = std::move(task); }

  /// For tests of long lives: as if so much time had passed. What falls due meanwhile runs next.
  void advance(Duration time);
  /// For measurements: how late timers ran, in microseconds, as a quantile (0 to 1) of the last few
  /// thousand. Nothing before the first.
  std::optional<std::int32_t> lateness(double quantile) const;
  /// How many timers are set.
  std::size_t timers() const { return tasks_.size(); }

 protected:
  void onBusy() override;

 private:
  void run_due_timers();
  void run_posted_tasks();
  void arm();
  void record_lateness(TimePoint due);

  SteadyTime epoch_;
  int timer_fd_;
  int event_fd_;
  std::map<Timer, Task> tasks_{};
  std::uint64_t next_timer_id_ = 1;
  TimePoint armed_for_{};  // what the timerfd is set to; zero: not set
  Task before_iteration_{};
  std::mutex posted_mutex_{};
  std::vector<Task> posted_{};
  std::vector<std::int32_t> lateness_{};
  std::size_t next_lateness_ = 0;
  std::unique_ptr<FdWatcher> timer_watcher_;
  std::unique_ptr<FdWatcher> event_watcher_;
};

/// Timers that end with their owner, so that no task runs on an object that is gone.
class Timers {
 public:
  explicit Timers(Loop& loop) : loop_(loop) {}
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  void at(TimePoint when, Loop::Task task);
  void in(Duration wait, Loop::Task task) { at(loop_.now() + wait, std::move(task)); }

 private:
  Loop& loop_;
  std::uint64_t next_key_ = 0;
  std::map<std::uint64_t, Loop::Timer> timers_{};
};

}  // namespace robinhoist::net
