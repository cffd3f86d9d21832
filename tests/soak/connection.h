/// A client's connection that uses the kernel's socket state to find out whether the peer closed it
/// before or after it had read a request.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::soak {

enum class CloseKind {
  orderly,  ///< the peer had read all sent bytes before it closed the connection
  unread    ///< the peer closed before it had read all sent bytes, or reset the connection
};

/// A connection may be closed, but not destroyed, from inside its handlers.
class Connection {
 public:
  struct Handlers {
    std::function<void(std::string_view bytes)> on_bytes{};
    std::function<void(CloseKind)> on_closed{};
  };

  /// Connects to a port of the loopback interface.
  Connection(net::Loop& loop, int port, Handlers handlers);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Whether the connection was established and the peer has not closed it.
  bool open() const;
  /// Returns false unless the kernel accepted all bytes.
  bool send(std::string_view bytes);
  /// Closes this side. No handler runs afterwards.
  void close();

 private:
  void on_readable();
  void read();
  bool has_unread_bytes() const;

  net::Loop& loop_;
  Handlers handlers_;
  int fd_ = -1;
  bool in_handler_ = false;
  std::unique_ptr<net::FdWatcher> watcher_{};
};

}  // namespace robinhoist::soak
