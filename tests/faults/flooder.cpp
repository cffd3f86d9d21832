#include "faults/flooder.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "faults/loopback.h"

namespace robinhoist::faults {
namespace {

constexpr int poll_timeout_ms = 10;
constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;
constexpr auto reconnect_delay = std::chrono::milliseconds(1);

// Returns false at a reset.
bool drop_input(int fd) {
  std::array<char, read_chunk_bytes> buffer;
  for (;;) {
    const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got == 0)
      return true;
    if (got < 0)
      return errno == EAGAIN || errno == EINTR;
  }
}

}  // namespace

Flooder::Flooder(int port, Next next)
    : port_(port), next_(std::move(next)), thread_([this] { run(); }) {}

Flooder::~Flooder() {
  stopping_ = true;
  thread_.join();
}

void Flooder::run() {
  int number = 0;
  while (!stopping_) {
    const int fd = connect_to_loopback(port_);
    while (fd >= 0 && !stopping_ && send_all(fd, next_(++number))) {
    }
    if (fd >= 0)
      ::close(fd);
    std::this_thread::sleep_for(reconnect_delay);
  }
}

bool Flooder::send_all(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size() && !stopping_;) {
    pollfd writable{fd, POLLOUT, 0};
    ::poll(&writable, 1, poll_timeout_ms);
    if (!drop_input(fd))
      return false;
    const ssize_t sent =
        ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    at += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    sent_ += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  return true;
}

}  // namespace robinhoist::faults
