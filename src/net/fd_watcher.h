/// A file descriptor watched by an event loop: a listener, timerfd, signalfd or eventfd.
#pragma once
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Observer.h>

#include <functional>

namespace robinhoist::net {

/// Owns a file descriptor and runs a callback on the loop's thread whenever it is readable.
class FdWatcher {
 public:
  /// Takes ownership of the descriptor, which the destructor closes. Watching is enabled initially.
  FdWatcher(Poco::Net::SocketReactor& reactor, int fd, std::function<void()> on_readable);
  ~FdWatcher();
  FdWatcher(const FdWatcher&) = delete;
  FdWatcher& operator=(const FdWatcher&) = delete;

  /// Enables or disables watching; the descriptor stays open.
  void enable(bool enabled);

 private:
  void handle_readable(Poco::Net::ReadableNotification* notification);

  Poco::Net::SocketReactor& reactor_;
  Poco::Net::StreamSocket socket_;
  std::function<void()> on_readable_;
  bool enabled_ = false;
};

}  // namespace robinhoist::net
