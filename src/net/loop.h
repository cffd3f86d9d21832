/// The event loop of one thread.
///
/// POCO's SocketReactor watches sockets. Timers use a timerfd, because the reactor's own time-outs
/// are in whole milliseconds and fire only when no socket is ready. An eventfd wakes the loop for
/// tasks from other threads. Unless stated otherwise, methods must be called on the loop's thread.
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

/// Identifies a timer that is set, for Loop::cancel(). Timers that are due at the same time run in
/// the order in which they were set.
struct TimerHandle {
  TimePoint due{};
  std::uint64_t id = 0;  ///< 0: no timer
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
  auto operator<=>(const TimerHandle&) const = default;
};

/// Runs the socket handlers, timers and posted tasks of one thread.
class Loop : public Poco::Net::SocketReactor {
 public:
  using Task = std::function<void()>;

  using Timer = TimerHandle;
  /// A handle to no timer; cancelling it has no effect.
  static constexpr Timer no_timer{};

  /// `epoch` is the steady time at which now() is zero; by default the zero of the steady clock.
  /// Throws std::runtime_error when the timerfd or the eventfd cannot be created.
  explicit Loop(SteadyTime epoch = SteadyTime{});
  ~Loop() override;

  /// The current time of this run. Callable from any thread.
  TimePoint now() const { return TimePoint(steady_now() - epoch_); }
  SteadyTime epoch() const { return epoch_; }

  /// Runs a task at a point in time, or as soon as possible after it.
  Timer at(TimePoint when, Task task);
  /// Runs a task after a delay.
  Timer in(Duration wait, Task task) { return at(now() + wait, std::move(task)); }
  /// Cancels a timer that has not run yet, and resets the handle to no_timer.
  void cancel(Timer& timer);

  /// Runs a task on the loop's thread, in the order of the calls. Callable from any thread.
  void post(Task task);
  /// Makes run() return soon. Callable from any thread.
  void quit();
  /// Runs a task on the loop's thread, waits for its end and rethrows what it throws. Callable from
  /// any thread except the loop's.
  void call(const Task& task);

  /// Runs a task at the start of each iteration in which any socket is ready, before all socket
  /// handlers; the order of the socket handlers among themselves is unspecified. Replaces the task
  /// of an earlier call; an empty task removes it.
  void before_each_iteration(Task task) { before_iteration_ = std::move(task); }

  /// For tests of long runs: advances the loop's clock. Timers that become due run next.
  void advance(Duration time);
  /// For measurements: a quantile (0 to 1) of how late the last few thousand timers ran, in
  /// microseconds. Empty before the first.
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
  TimePoint armed_for_{};  // the time the timerfd is set to; zero: not set
  Task before_iteration_{};
  std::mutex posted_mutex_{};
  std::vector<Task> posted_{};
  std::vector<std::int32_t> lateness_{};
  std::size_t next_lateness_ = 0;
  std::unique_ptr<FdWatcher> timer_watcher_;
  std::unique_ptr<FdWatcher> event_watcher_;
};

/// A set of timers that is cancelled on destruction, so that no task runs on a destroyed owner.
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
