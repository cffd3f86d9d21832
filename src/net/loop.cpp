#include "net/loop.h"

#include <Poco/ErrorHandler.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <stdexcept>

namespace robinhoist::net {
namespace {
constexpr std::size_t lateness_kept = 8192;

// What one task throws must not cost the others their turn; it goes where the reactor sends what
// handlers throw.
void carry_out(const Loop::Task& task) {
  try {
    task();
  } catch (const std::exception& bad) {
    Poco::ErrorHandler::handle(bad);
  }
}

void drain(int fd) {
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t got = ::read(fd, &count, sizeof count);
}
}  // namespace

SteadyTime steady_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}
WallTime wall_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

FdWatcher::FdWatcher(Loop& loop, int fd, std::function<void()> readable)
    : loop_(loop), socket_(new Poco::Net::StreamSocketImpl(fd)), readable_(std::move(readable)) {
  listen(true);
}

FdWatcher::~FdWatcher() {
  listen(false);
  socket_.close();
}

void FdWatcher::listen(bool on) {
  if (on == on_)
    return;
  on_ = on;
  Poco::Observer<FdWatcher, Poco::Net::ReadableNotification> observer(*this,
                                                                      &FdWatcher::on_readable);
  if (on)
    loop_.addEventHandler(socket_, observer);
  else
    loop_.removeEventHandler(socket_, observer);
}

void FdWatcher::on_readable(Poco::Net::ReadableNotification* notice) {
  notice->release();
  readable_();
}

Loop::Loop(SteadyTime epoch)
    : epoch_(epoch),
      timer_fd_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (timer_fd_ < 0 || event_fd_ < 0)
    throw std::runtime_error("no file descriptor left for the event loop");
  setTimeout(Poco::Timespan(3600, 0));
  timer_ = std::make_unique<FdWatcher>(*this, timer_fd_, [this] { on_timer(); });
  event_ = std::make_unique<FdWatcher>(*this, event_fd_, [this] { on_posted(); });
}

Loop::~Loop() = default;

Loop::Timer Loop::at(TimePoint when, Task task) {
  Timer timer{when, next_id_++};
  tasks_.emplace(timer, std::move(task));
  if (tasks_.begin()->first == timer)
    arm();
  return timer;
}

void Loop::cancel(Timer& timer) {
  if (timer.second != 0)
    tasks_.erase(timer);
  timer = no_timer;
}

void Loop::pass(Duration time) {
  epoch_ -= time;
  armed_ = TimePoint{};
  arm();
}

// An earlier alarm than needed is left as it is: it finds nothing due and sets the next.
void Loop::arm() {
  if (tasks_.empty())
    return;
  TimePoint when = tasks_.begin()->first.first;
  if (armed_ != TimePoint{} && armed_ <= when)
    return;
  armed_ = when;
  auto left = std::max(std::chrono::nanoseconds(1), std::chrono::nanoseconds(when - now()));
  itimerspec spec{};
  spec.it_value.tv_sec = left.count() / 1'000'000'000;
  spec.it_value.tv_nsec = left.count() % 1'000'000'000;
  timerfd_settime(timer_fd_, 0, &spec, nullptr);
}

void Loop::on_timer() {
  drain(timer_fd_);
  armed_ = TimePoint{};
  const TimePoint until = now();  // what falls due meanwhile waits for sockets to have their turn
  while (!tasks_.empty() && tasks_.begin()->first.first <= until) {
    auto due = tasks_.extract(tasks_.begin());
    const auto late = static_cast<std::int32_t>((now() - due.key().first).count());
    if (lateness_.size() < lateness_kept)
      lateness_.push_back(late);
    else
      lateness_[lateness_at_++ % lateness_kept] = late;
    carry_out(due.mapped());
  }
  arm();
}

std::optional<std::int32_t> Loop::lateness(double part) const {
  if (lateness_.empty())
    return {};
  std::vector<std::int32_t> late = lateness_;
  auto at = late.begin() + static_cast<long>(part * static_cast<double>(late.size() - 1));
  std::nth_element(late.begin(), at, late.end());
  return *at;
}

void Loop::post(Task task) {
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(task));
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] ssize_t put = ::write(event_fd_, &one, sizeof one);
}

void Loop::on_posted() {
  drain(event_fd_);
  std::vector<Task> tasks;
  {
    std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (Task& task : tasks)
    carry_out(task);
}

void Loop::quit() {
  post([this] { stop(); });
}

void Loop::call(const Task& task) {
  std::mutex mutex;
  std::condition_variable done;
  bool ready = false;
  std::exception_ptr thrown;
  post([&] {
    try {
      task();
    } catch (...) {
      thrown = std::current_exception();
    }
    std::lock_guard lock(mutex);
    ready = true;
    done.notify_one();
  });
  std::unique_lock lock(mutex);
  done.wait(lock, [&] { return ready; });
  if (thrown)
    std::rethrow_exception(thrown);
}

Timers::~Timers() {
  for (auto& [id, timer] : held_)
    loop_.cancel(timer);
}

void Timers::at(TimePoint when, Loop::Task task) {
  const std::uint64_t id = next_++;
  held_[id] = loop_.at(when, [this, id, task = std::move(task)] {
    held_.erase(id);
    task();
  });
}

}  // namespace robinhoist::net
