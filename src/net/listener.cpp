#include "net/listener.h"

#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace robinhoist::net {
namespace {

constexpr int backlog = 1024;              // connections that the kernel queues
constexpr int max_accepts_per_event = 64;  // so that the loop's other sockets are served in between
constexpr Duration descriptor_retry_interval = std::chrono::milliseconds(50);

bool out_of_descriptors(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

Poco::Net::SocketAddress parse_address(const std::string& address) {
  try {
    return Poco::Net::SocketAddress(address);
  } catch (const Poco::Exception& error) {
    throw std::runtime_error("can't listen on " + address + ": " + error.displayText());
  }
}

int listening_socket(const Poco::Net::SocketAddress& address, const std::string& text) {
  const int fd = ::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0 && ::bind(fd, address.addr(), address.length()) == 0 && ::listen(fd, backlog) == 0)
    return fd;
  const std::string why = std::strerror(errno);
  if (fd >= 0)
    ::close(fd);
  throw std::runtime_error("can't listen on " + text + ": " + why);
}

int bound_port(int fd) {
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  auto* address = reinterpret_cast<sockaddr*>(&bound);
  ::getsockname(fd, address, &length);
  return Poco::Net::SocketAddress(address, length).port();
}

}  // namespace

Listener::Listener(Loop& loop, const std::string& address, std::function<void(int)> on_accept)
    : loop_(loop),
      fd_(listening_socket(parse_address(address), address)),
      port_(bound_port(fd_)),
      on_accept_(std::move(on_accept)),
      watcher_(std::make_unique<FdWatcher>(loop_, fd_, [this] { accept_pending(); })) {}

Listener::~Listener() {
  loop_.cancel(retry_timer_);
}

int Listener::accept_one() const {
  return ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

void Listener::finish() {
  if (!watcher_)
    return;
  for (;;) {
    const int fd = accept_one();
    if (fd >= 0)
      on_accept_(fd);
    else if (errno != EINTR && errno != ECONNABORTED)
      break;  // ECONNABORTED ends only one client's connection; the queue may hold others
  }
  loop_.cancel(retry_timer_);
  paused_ = true;
  watcher_.reset();
}

void Listener::pause(bool paused) {
  if (!watcher_)
    return;
  paused_ = paused;
  loop_.cancel(retry_timer_);
  watcher_->enable(!paused);
}

void Listener::accept_pending() {
  for (int accepted = 0; accepted < max_accepts_per_event && !paused_; ++accepted) {
    const int fd = accept_one();
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    if (!out_of_descriptors(errno))
      return;
    // While no descriptor is available the socket stays readable, and the loop would spin on it.
    ++fd_exhaustions_;
    watcher_->enable(false);
    retry_timer_ = loop_.in(descriptor_retry_interval, [this] { watcher_->enable(!paused_); });
    return;
  }
}

}  // namespace robinhoist::net
