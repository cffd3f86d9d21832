/// A file descriptor that an event loop reads: listeners, timers, signals, wake-ups from other
/// threads.
#pragma once
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Observer.h>

#include <functional>

namespace robinhoist::net {

/// Owns a file descriptor and calls back on the loop's thread whenever it is readable.
class FdWatcher {
 public:
  /// Takes the descriptor over and closes it at the end. Watches from the start.
  FdWatcher(Poco::Net::SocketReactor& reactor, int fd, std::function<void()> on_readable);
  ~FdWatcher();
  FdWatcher(const FdWatcher&) = delete;
  FdWatcher& operator=(const FdWatcher&) = delete;

  /// Stops and starts watching; the descriptor stays open.
  void enable(bool enabled);

 private:
  void handle_readable(Poco::Net::ReadableNotification* notification);

  Poco::Net::SocketReactor& reactor_;
  Poco::Net::StreamSocket socket_;
  std::function<void()> on_readable_;
  bool enabled_ = false;
};

}  // namespace robinhoist::net
