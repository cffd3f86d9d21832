/// A listening TCP socket on a loop.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::net {

/// Accepts connections and hands their descriptors on, which then belong to whoever got them.
class Listener {
 public:
  /// `address` is host:port; port 0 takes any that is free, and port() tells which. Throws
  /// std::runtime_error with the address when it cannot be listened on.
  Listener(Loop& loop, const std::string& address, std::function<void(int fd)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const { return port_; }

  /// Accepts those who wait in the kernel's queue, then closes the socket: a connection that the
  /// kernel has accepted is not left to break.
  void finish();
  /// While paused, new clients keep their place in the kernel's queue.
  void pause(bool paused);
  /// How often the process had no file descriptor left for a new connection.
  long fd_exhaustions() const { return fd_exhaustions_; }

 private:
  void accept_pending();
  int accept_one() const;

  Loop& loop_;
  int fd_ = -1;
  int port_ = 0;
  bool paused_ = false;
  std::function<void(int)> on_accept_;
  std::unique_ptr<FdWatcher> watcher_{};  // empty: closed
  Loop::Timer retry_timer_ = Loop::no_timer;
  long fd_exhaustions_ = 0;
};

}  // namespace robinhoist::net
