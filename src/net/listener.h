/// A listening TCP socket on an event loop.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::net {

/// Accepts connections and passes their descriptors to a callback, which takes ownership of them.
class Listener {
 public:
  /// `address` is host:port; port 0 selects a free port, which port() returns. Throws
  /// std::runtime_error that names the address when it cannot listen on it.
  /// `may_accept` is asked when a connection waits to be accepted; while it returns false,
  /// connections wait in the kernel's queue. If empty, all are accepted.
  Listener(Loop& loop, const std::string& address, std::function<void(int fd)> on_accept,
           std::function<bool()> may_accept = {});
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const { return port_; }

  /// Accepts all connections in the kernel's queue, then closes the socket. Closing it with queued
  /// connections would reset them. If the system is out of descriptors or memory, this is tried
  /// again for some time.
  void finish();
  /// Whether the socket is closed.
  bool closed() const { return !watcher_; }
  /// While paused, new connections wait in the kernel's queue.
  void pause(bool paused);
  /// How often a connection could not be accepted because no file descriptor was available.
  long fd_exhaustions() const { return fd_exhaustions_; }

 private:
  void accept_pending();
  int accept_one() const;
  bool has_pending() const;
  void retry_in(Duration wait, Loop::Task task);

  Loop& loop_;
  int fd_ = -1;
  int port_ = 0;
  bool paused_ = false;
  std::function<void(int)> on_accept_;
  std::function<bool()> may_accept_;
  std::unique_ptr<FdWatcher> watcher_{};  // null once the socket is closed
  Loop::Timer retry_timer_ = Loop::no_timer;
  long fd_exhaustions_ = 0;
  int finish_attempts_ = 0;
};

}  // namespace robinhoist::net
