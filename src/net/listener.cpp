#include "net/listener.h"

#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <poll.h>
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
constexpr Duration deferral_interval = std::chrono::milliseconds(5);
constexpr Duration finish_retry_interval = std::chrono::milliseconds(10);
constexpr int max_finish_attempts = 100;
constexpr int max_failures_at_finish = 1024;  // as many as the queue holds

bool out_of_descriptors(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Whether the call failed for one connection only, or was interrupted; accept(2) passes on errors
// that the network reported for a connection in the queue. There may be others.
bool concerns_one_connection(int error) {
  return !out_of_descriptors(error) && error != EAGAIN && error != EWOULDBLOCK && error != EBADF &&
         error != EINVAL && error != ENOTSOCK;
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

Listener::Listener(Loop& loop, const std::string& address, std::function<void(int)> on_accept,
                   std::function<bool()> may_accept)
    : loop_(loop),
      fd_(listening_socket(parse_address(address), address)),
      port_(bound_port(fd_)),
      on_accept_(std::move(on_accept)),
      may_accept_(std::move(may_accept)),
      watcher_(std::make_unique<FdWatcher>(loop_, fd_, [this] { accept_pending(); })) {}

Listener::~Listener() {
  loop_.cancel(retry_timer_);
}

int Listener::accept_one() const {
  return ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

bool Listener::has_pending() const {
  pollfd status{fd_, POLLIN, 0};
  return ::poll(&status, 1, 0) > 0;
}

// Replaces the retry that is set.
void Listener::retry_in(Duration wait, Loop::Task task) {
  loop_.cancel(retry_timer_);
  retry_timer_ = loop_.in(wait, [this, task = std::move(task)] {
    retry_timer_ = Loop::no_timer;
    task();
  });
}

void Listener::finish() {
  if (!watcher_)
    return;
  paused_ = true;
  watcher_->enable(false);
  for (int failures = 0; failures < max_failures_at_finish;) {
    const int fd = accept_one();
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    if (!concerns_one_connection(errno))
      break;
    ++failures;
  }
  if (out_of_descriptors(errno) && ++finish_attempts_ < max_finish_attempts) {
    ++fd_exhaustions_;
    retry_in(finish_retry_interval, [this] { finish(); });
    return;
  }
  loop_.cancel(retry_timer_);
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
  const auto resume = [this] { watcher_->enable(!paused_); };
  for (int accepted = 0; accepted < max_accepts_per_event && !paused_; ++accepted) {
    if (!has_pending())
      return;
    if (may_accept_ && !may_accept_()) {
      watcher_->enable(false);
      retry_in(deferral_interval, resume);
      return;
    }
    const int fd = accept_one();
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    if (concerns_one_connection(errno))
      continue;
    if (!out_of_descriptors(errno))
      return;
    // While no descriptor is available the socket stays readable, and the loop would spin on it.
    ++fd_exhaustions_;
    watcher_->enable(false);
    retry_in(descriptor_retry_interval, resume);
    return;
  }
}

}  // namespace robinhoist::net
