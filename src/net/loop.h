// One thread's event loop: POCO's SocketReactor for sockets, a timerfd for timers (the reactor's
// own time-outs are whole milliseconds and fire only when nothing else happens), an eventfd for
// work from other threads. Everything but post() and now() belongs to the loop's thread.
#pragma once
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Observer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::net {

// Time on this machine's steady clock, the same in every process; `epoch` is taken off by whoever
// wants durations since a start.
SteadyTime steady_now();
// Time since 1970, for what crosses machines.
WallTime wall_now();

class Loop;

// Something with a file descriptor that the loop reads; the callback runs whenever it is readable.
class FdWatcher {
 public:
  FdWatcher(Loop& loop, int fd, std::function<void()> readable);
  ~FdWatcher();
  FdWatcher(const FdWatcher&) = delete;
  FdWatcher& operator=(const FdWatcher&) = delete;
  // Off: the descriptor stays open, but nothing is heard of it.
  void listen(bool on);

 private:
  void on_readable(Poco::Net::ReadableNotification* notice);
  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  std::function<void()> readable_;
  bool on_ = false;
};

class Loop : public Poco::Net::SocketReactor {
 public:
  using Task = std::function<void()>;
  using Timer = std::pair<TimePoint, std::uint64_t>;  // when, and which
  static constexpr Timer no_timer{TimePoint{}, 0};

  explicit Loop(SteadyTime epoch = SteadyTime{});
  ~Loop() override;

  TimePoint now() const { return TimePoint(steady_now() - epoch_); }
  SteadyTime epoch() const { return epoch_; }
  Timer at(TimePoint when, Task task);
  Timer in(Duration wait, Task task) { return at(now() + wait, std::move(task)); }
  void cancel(Timer& timer);
  // As if so much time had passed: what falls due meanwhile runs next. For those who test long
  // lives.
  void pass(Duration time);
  // From any thread: runs on the loop's thread, in order.
  void post(Task task);
  // From any thread: ends run() soon.
  void quit();
  // From any thread but the loop's: runs there and waits until it is done; what it throws
  // comes out here.
  void call(const Task& task);

  // How late timers ran, for measurements, in microseconds: below what this part of the last few
  // thousand lie.
  std::optional<std::int32_t> lateness(double part) const;
  std::size_t timers() const { return tasks_.size(); }

 private:
  void on_timer();
  void on_posted();
  void arm();

  SteadyTime epoch_;
  int timer_fd_, event_fd_;
  std::map<Timer, Task> tasks_{};
  std::uint64_t next_id_ = 1;
  TimePoint armed_{};
  std::mutex mutex_{};
  std::vector<Task> posted_{};
  std::vector<std::int32_t> lateness_{};
  std::size_t lateness_at_ = 0;
  std::unique_ptr<FdWatcher> timer_, event_;
};

// Timers that end with whoever set them: guards against a task that runs on an object that is gone.
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
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, Loop::Timer> held_{};
};

}  // namespace robinhoist::net
