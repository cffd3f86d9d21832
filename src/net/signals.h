/// POSIX signals as events on a loop.
#pragma once
#include <functional>
#include <initializer_list>
#include <memory>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::net {

/// Blocks some signals for the process and hands each one that comes to a callback on the loop's
/// thread. All signals that have come by the start of a turn of the loop are handed over before any
/// socket of that turn, so that a response that came with a signal is written by a process that
/// knows of it. Has to be made before any other thread is started, so that all threads inherit the
/// blocked set. A loop has one Signals at most.
class Signals {
 public:
  /// Throws std::runtime_error when no file descriptor is left.
  Signals(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  void read_pending();

  Loop& loop_;
  int fd_;
  std::function<void(int)> on_signal_;
  std::unique_ptr<FdWatcher> watcher_{};
};

}  // namespace robinhoist::net
