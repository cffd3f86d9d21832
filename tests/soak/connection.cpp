#include "connection.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "faults/loopback.h"

namespace robinhoist::soak {
namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;

// On loopback connecting does not block, unless the listener's accept queue is full.
int connect_to(int port) {
  const int fd = faults::connect_to_loopback(port);
  if (fd >= 0)
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

}  // namespace

Connection::Connection(net::Loop& loop, int port, Handlers handlers)
    : loop_(loop), handlers_(std::move(handlers)), fd_(connect_to(port)) {
  if (fd_ >= 0)
    watcher_ = std::make_unique<net::FdWatcher>(loop_, fd_, [this] { on_readable(); });
}

Connection::~Connection() {
  close();
}

bool Connection::open() const {
  if (!watcher_)
    return false;
  pollfd status{fd_, POLLRDHUP, 0};
  return ::poll(&status, 1, 0) == 0;
}

bool Connection::send(std::string_view bytes) {
  return watcher_ && ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                         static_cast<ssize_t>(bytes.size());
}

void Connection::close() {
  if (!watcher_)
    return;
  watcher_->enable(false);
  if (in_handler_)
    loop_.in(Duration(0), [watcher = std::shared_ptr<net::FdWatcher>(std::move(watcher_))] {});
  watcher_.reset();
}

void Connection::on_readable() {
  in_handler_ = true;
  read();
  in_handler_ = false;
}

void Connection::read() {
  std::array<char, read_chunk_bytes> buffer;
  const ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), 0);
  if (got > 0) {
    handlers_.on_bytes({buffer.data(), static_cast<std::size_t>(got)});
    return;
  }
  if (got < 0 && errno == EAGAIN)
    return;
  const bool unread = got < 0 || has_unread_bytes();
  close();
  handlers_.on_closed(unread ? CloseKind::unread : CloseKind::orderly);
}

// To be called at the end of the stream: whether the peer closed its socket before it received all
// sent bytes. Bytes that arrive at a closed socket are not acknowledged; the peer's kernel responds
// with a reset, which may not have arrived yet. Bytes that were received but not read would have
// made the peer's close a reset.
bool Connection::has_unread_bytes() const {
  int unacknowledged = 0;
  ::ioctl(fd_, SIOCOUTQ, &unacknowledged);
  // The error is read last: a reset that arrives between the two calls discards the unacknowledged
  // bytes and sets the error.
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
  return error != 0 || unacknowledged > 0;
}

}  // namespace robinhoist::soak
