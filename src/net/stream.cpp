#include "net/stream.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace robinhoist::net {
namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;
// A buffer of which more than half and this much is unused is reallocated: most connections are
// idle.
constexpr std::size_t max_unused_buffer_bytes = 256;

// Of input that is discarded, so much is read at an interval: a peer that goes on sending at full
// speed takes little of the loop's time, and an end behind the first megabytes is noticed soon.
constexpr std::size_t discarded_bytes_per_interval = std::size_t{256} * 1024;
constexpr std::size_t quickly_discarded_bytes = std::size_t{8} * 1024 * 1024;
constexpr Duration first_discard_interval = std::chrono::milliseconds(1);
constexpr Duration later_discard_interval = std::chrono::milliseconds(10);

template <class Notification>
using Observer = Poco::Observer<Stream, Notification>;

bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

void disable_nagle(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void release_unused(std::string& buffer) {
  if (buffer.capacity() > 2 * buffer.size() + max_unused_buffer_bytes)
    std::string(buffer).swap(buffer);
}

}  // namespace

Stream::Stream(Loop& loop, const Poco::Net::StreamSocket& socket, State state, Owner& owner)
    : loop_(loop), socket_(socket), state_(state), owner_(&owner) {}

Stream::~Stream() {
  unregister_and_close();
}

int Stream::fd() const {
  return socket_.impl()->sockfd();
}

std::shared_ptr<Stream> Stream::connect(Loop& loop, const Poco::Net::SocketAddress& address,
                                        Owner& owner) {
  const int fd = ::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<Stream> stream(
      new Stream(loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)),
                 State::connecting, owner));
  stream->peer_ = address.toString();
  const bool failed =
      fd < 0 || (::connect(fd, address.addr(), address.length()) < 0 && errno != EINPROGRESS);
  if (failed) {
    // Reported asynchronously like any other refusal, so that callers need no second code path.
    loop.in(Duration(0), [stream] {
      if (stream->owner_)
        stream->close(CloseReason::refused);
    });
    return stream;
  }
  disable_nagle(fd);
  stream->register_with_loop();
  stream->want_write(true);
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, int fd, Owner& owner) {
  disable_nagle(fd);
  std::shared_ptr<Stream> stream(new Stream(
      loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)), State::open, owner));
  stream->register_with_loop();
  stream->want_read(true);
  return stream;
}

void Stream::register_with_loop() {
  registered_ = true;
  loop_.addEventHandler(socket_,
                        Observer<Poco::Net::ErrorNotification>(*this, &Stream::handle_error));
}

void Stream::want_read(bool enabled) {
  if (reading_ == enabled || state_ == State::closed)
    return;
  reading_ = enabled;
  const Observer<Poco::Net::ReadableNotification> observer(*this, &Stream::handle_readable);
  if (enabled) {
    loop_.addEventHandler(socket_, observer);
  } else {
    loop_.removeEventHandler(socket_, observer);
    reregister_handlers();
  }
}

void Stream::want_write(bool enabled) {
  if (writing_ == enabled || state_ == State::closed)
    return;
  writing_ = enabled;
  if (enabled && !registered_)  // while discarding pauses
    register_with_loop();
  const Observer<Poco::Net::WritableNotification> observer(*this, &Stream::handle_writable);
  if (enabled) {
    loop_.addEventHandler(socket_, observer);
  } else {
    loop_.removeEventHandler(socket_, observer);
    reregister_handlers();
  }
}

// Removes all observers of the socket and adds the ones still needed again. While any observer of a
// socket remains, POCO goes on polling for the events of those that were removed; the loop would
// then spin on a socket that is always writable.
void Stream::reregister_handlers() {
  if (!registered_)
    return;
  const Observer<Poco::Net::ReadableNotification> readable(*this, &Stream::handle_readable);
  const Observer<Poco::Net::WritableNotification> writable(*this, &Stream::handle_writable);
  const Observer<Poco::Net::ErrorNotification> error(*this, &Stream::handle_error);
  if (reading_)
    loop_.removeEventHandler(socket_, readable);
  if (writing_)
    loop_.removeEventHandler(socket_, writable);
  loop_.removeEventHandler(socket_, error);
  loop_.addEventHandler(socket_, error);
  if (reading_)
    loop_.addEventHandler(socket_, readable);
  if (writing_)
    loop_.addEventHandler(socket_, writable);
}

void Stream::read(bool enabled) {
  read_enabled_ = enabled;
  if (state_ == State::open)
    want_read(enabled);
}

void Stream::unregister_from_loop() {
  if (!registered_)
    return;
  want_read(false);
  want_write(false);
  loop_.removeEventHandler(socket_,
                           Observer<Poco::Net::ErrorNotification>(*this, &Stream::handle_error));
  registered_ = false;
}

void Stream::unregister_and_close() {
  unregister_from_loop();
  if (state_ != State::closed)
    socket_.close();
  state_ = State::closed;
}

void Stream::close(CloseReason reason) {
  if (state_ == State::closed && !owner_)
    return;
  const auto self = shared_from_this();
  unregister_and_close();
  if (Owner* owner = std::exchange(owner_, nullptr))
    owner->on_closed(*this, reason);
}

void Stream::drop(bool reset) {
  owner_ = nullptr;
  if (reset && state_ != State::closed) {
    const linger immediately{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  }
  unregister_and_close();
}

void Stream::finish() {
  if (state_ == State::closed)
    return;
  finishing_ = true;
  discard_input();
  if (state_ == State::open && unwritten() == 0)
    end_sending();
}

void Stream::discard_input() {
  discarding_ = true;
  std::string().swap(input_);
  if (state_ == State::open && registered_)
    want_read(true);
}

void Stream::end_sending() {
  ::shutdown(fd(), SHUT_WR);
  if (peer_eof_)
    close(CloseReason::local);
}

void Stream::write(std::string_view bytes) {
  if (state_ == State::closed || finishing_)
    return;
  if (state_ == State::open && unwritten() == 0) {
    const ssize_t sent = ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0)  // an error is reported again when the socket becomes writable
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    if (bytes.empty())
      return;
  }
  if (written_ > 0 && written_ * 2 > output_.size()) {
    output_.erase(0, written_);
    written_ = 0;
  }
  output_.append(bytes);
  want_write(true);
}

// Returns false when the connection has failed.
bool Stream::flush() {
  while (unwritten() > 0) {
    const ssize_t sent = ::send(fd(), output_.data() + written_, unwritten(), MSG_NOSIGNAL);
    if (sent < 0)
      return would_block();
    written_ += static_cast<std::size_t>(sent);
  }
  std::string().swap(output_);
  written_ = 0;
  return true;
}

bool Stream::nothing_to_read() const {
  char byte = 0;
  return input_.empty() && ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && would_block();
}

std::string Stream::peer() const {
  if (!peer_.empty() || state_ == State::closed)
    return peer_;
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::getpeername(fd(), generic, &length) != 0)
    return {};
  return Poco::Net::SocketAddress(generic, length).toString();
}

bool Stream::peer_ended() const {
  pollfd status{fd(), POLLRDHUP, 0};
  return state_ == State::open && ::poll(&status, 1, 0) > 0 &&
         (status.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::handle_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  thread_local std::array<char, read_chunk_bytes> buffer;
  const std::size_t room = max_input_bytes_ - std::min(max_input_bytes_, input_.size());
  if (room == 0 && !discarding_)
    return;
  const std::size_t wanted = discarding_ ? buffer.size() : std::min(buffer.size(), room);
  const ssize_t got = ::recv(fd(), buffer.data(), wanted, 0);
  if (got > 0) {
    handle_input({buffer.data(), static_cast<std::size_t>(got)});
  } else if (got < 0) {
    if (!would_block())
      close(CloseReason::reset);
  } else if (!finishing_) {
    close(CloseReason::by_peer);
  } else if (unwritten() > 0) {  // the peer has closed its side but may still read
    peer_eof_ = true;
    want_read(false);
  } else {
    close(CloseReason::local);
  }
}

void Stream::handle_input(std::string_view bytes) {
  if (discarding_) {
    discarded_ += bytes.size();
    discarded_since_pause_ += bytes.size();
    if (discarded_since_pause_ >= discarded_bytes_per_interval)
      pause_discarding();
    return;
  }
  input_.append(bytes);
  if (owner_)
    owner_->on_bytes(*this);
  release_unused(input_);
}

// While both sides have ended their sending, the socket is reported as ready whatever is asked for.
// So it is not watched at all, unless bytes are still to be written.
void Stream::pause_discarding() {
  discarded_since_pause_ = 0;
  want_read(false);
  if (!writing_)
    unregister_from_loop();
  const bool is_long = discarded_ > quickly_discarded_bytes;
  loop_.in(is_long ? later_discard_interval : first_discard_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->resume_discarding();
  });
}

void Stream::resume_discarding() {
  if (state_ != State::open || peer_eof_)
    return;
  if (!registered_)
    register_with_loop();
  want_read(true);
}

void Stream::handle_writable(Poco::Net::WritableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  if (state_ == State::connecting && !handle_connected())
    return;
  if (!flush()) {
    close(CloseReason::reset);
    return;
  }
  if (unwritten() > 0)
    return;
  want_write(false);
  if (finishing_)
    end_sending();
  else if (owner_)
    owner_->on_written(*this);
}

// Returns false when the connection could not be established or its owner has closed it at once.
bool Stream::handle_connected() {
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    close(CloseReason::refused);
    return false;
  }
  state_ = State::open;
  want_read(read_enabled_);
  if (owner_)
    owner_->on_open(*this);
  return state_ != State::closed;
}

void Stream::handle_error(Poco::Net::ErrorNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  if (state_ == State::connecting)
    close(CloseReason::refused);
  else if (!reading_)  // if reading, recv() returns the earlier bytes first and then the error
    close(CloseReason::reset);
}

}  // namespace robinhoist::net
