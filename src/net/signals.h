/// POSIX signals as events of an event loop.
#pragma once
#include <functional>
#include <initializer_list>
#include <memory>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::net {

/// Blocks a set of signals for the process and passes each one received to a callback on the loop's
/// thread. All signals that are pending at the start of a loop iteration are passed on before any
/// socket is handled, so that responses written in that iteration take them into account. Must be
/// created before any other thread is started, so that all threads inherit the signal mask. A loop
/// has at most one Signals object.
class Signals {
 public:
  /// Throws std::runtime_error when the signalfd cannot be created.
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
