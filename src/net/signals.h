/// POSIX signals as events on a loop.
#pragma once
#include <functional>
#include <initializer_list>
#include <memory>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::net {

/// Blocks some signals for the process and hands each one that comes to a callback on the loop's
/// thread. Has to be made before any other thread is started, so that all threads inherit the
/// blocked set.
class Signals {
 public:
  /// Throws std::runtime_error when no file descriptor is left.
  Signals(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal);

 private:
  std::function<void(int)> on_signal_;
  std::unique_ptr<FdWatcher> watcher_{};
};

}  // namespace robinhoist::net
