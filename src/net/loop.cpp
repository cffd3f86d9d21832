#include "net/loop.h"

#include <Poco/ErrorHandler.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <stdexcept>

namespace robinhoist::net {
namespace {

constexpr std::size_t max_lateness_samples = 8192;
constexpr long reactor_timeout_s = 3600;  // the reactor's own time-out is not used
constexpr long nanoseconds_per_second = 1'000'000'000;

// Passes an exception of a task to the error handler that the reactor uses for its own handlers, so
// that the remaining tasks still run.
void run_task(const Loop::Task& task) {
  try {
    task();
  } catch (const std::exception& error) {
    Poco::ErrorHandler::handle(error);
  }
}

// Resets a timerfd or an eventfd that has become readable.
void reset_counter(int fd) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = ::read(fd, &count, sizeof count);
}

}  // namespace

Loop::Loop(SteadyTime epoch)
    : epoch_(epoch),
      timer_fd_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (timer_fd_ < 0 || event_fd_ < 0)
    throw std::runtime_error("no file descriptor left for the event loop");
  setTimeout(Poco::Timespan(reactor_timeout_s, 0));
  timer_watcher_ = std::make_unique<FdWatcher>(*this, timer_fd_, [this] { run_due_timers(); });
  event_watcher_ = std::make_unique<FdWatcher>(*this, event_fd_, [this] { run_posted_tasks(); });
}

Loop::~Loop() = default;

Loop::Timer Loop::at(TimePoint when, Task task) {
  const Timer timer{when, next_timer_id_++};
  tasks_.emplace(timer, std::move(task));
  if (tasks_.begin()->first == timer)
    arm();
  return timer;
}

void Loop::cancel(Timer& timer) {
  if (timer.id != 0)
    tasks_.erase(timer);
  timer = no_timer;
}

void Loop::advance(Duration time) {
  epoch_ -= time;
  armed_for_ = TimePoint{};
  arm();
}

// Sets the timerfd to the earliest timer. An alarm that is too early is kept: when it fires, no
// timer is due and the alarm is set again.
void Loop::arm() {
  if (tasks_.empty())
    return;
  const TimePoint due = tasks_.begin()->first.due;
  if (armed_for_ != TimePoint{} && armed_for_ <= due)
    return;
  armed_for_ = due;
  const auto wait = std::max(std::chrono::nanoseconds(1), std::chrono::nanoseconds(due - now()));
  itimerspec alarm{};
  alarm.it_value.tv_sec = wait.count() / nanoseconds_per_second;
  alarm.it_value.tv_nsec = wait.count() % nanoseconds_per_second;
  timerfd_settime(timer_fd_, 0, &alarm, nullptr);
}

void Loop::run_due_timers() {
  reset_counter(timer_fd_);
  armed_for_ = TimePoint{};
  // Timers that become due while these run are left to the next iteration, after socket handlers.
  const TimePoint until = now();
  while (!tasks_.empty() && tasks_.begin()->first.due <= until) {
    const auto next = tasks_.extract(tasks_.begin());
    record_lateness(next.key().due);
    run_task(next.mapped());
  }
  arm();
}

void Loop::record_lateness(TimePoint due) {
  const auto late = static_cast<std::int32_t>((now() - due).count());
  if (lateness_.size() < max_lateness_samples)
    lateness_.push_back(late);
  else
    lateness_[next_lateness_++ % max_lateness_samples] = late;
}

std::optional<std::int32_t> Loop::lateness(double quantile) const {
  if (lateness_.empty())
    return {};
  std::vector<std::int32_t> sorted = lateness_;
  const auto position =
      sorted.begin() + static_cast<long>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

void Loop::onBusy() {
  if (before_iteration_)
    run_task(before_iteration_);
}

void Loop::post(Task task) {
  {
    const std::lock_guard lock(posted_mutex_);
    posted_.push_back(std::move(task));
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = ::write(event_fd_, &one, sizeof one);
}

void Loop::run_posted_tasks() {
  reset_counter(event_fd_);
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(posted_mutex_);
    tasks.swap(posted_);
  }
  for (const Task& task : tasks)
    run_task(task);
}

void Loop::quit() {
  post([this] { stop(); });
}

void Loop::call(const Task& task) {
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  std::exception_ptr thrown;
  post([&] {
    try {
      task();
    } catch (...) {
      thrown = std::current_exception();
    }
    const std::lock_guard lock(mutex);
    done = true;
    changed.notify_one();
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return done; });
  if (thrown)
    std::rethrow_exception(thrown);
}

Timers::~Timers() {
  for (auto& [key, timer] : timers_)
    loop_.cancel(timer);
}

void Timers::at(TimePoint when, Loop::Task task) {
  const std::uint64_t key = next_key_++;
  timers_[key] = loop_.at(when, [this, key, task = std::move(task)] {
    timers_.erase(key);
    task();
  });
}

}  // namespace robinhoist::net
