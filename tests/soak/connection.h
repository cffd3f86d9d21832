/// A client's connection as the kernel shows it: it tells a close that came before a request was
/// read from one that came after.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/fd_watcher.h"
#include "net/loop.h"

namespace robinhoist::soak {

enum class CloseKind {
  orderly,  ///< the peer closed and had read all that was sent
  unread    ///< the peer's side was gone before it read all that was sent, or the peer reset it
};

/// It may be closed from inside its handlers, and destroyed from outside of them.
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

  /// False: nobody listens there, or the peer has closed already.
  bool open() const;
  /// False: the bytes did not all reach the kernel.
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
