#include "net/stream.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace robinhoist::net {
namespace {
constexpr std::size_t read_at_once = 64 * 1024;
constexpr std::size_t kept_at_most = 4 * 1024;  // of an empty buffer: large messages are rare
constexpr Duration starved_pause = std::chrono::milliseconds(50);

template <class N>
using Observer = Poco::Observer<Stream, N>;

bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

void no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
}  // namespace

Stream::Stream(Loop& loop, Poco::Net::StreamSocket socket, State state, Owner& owner)
    : loop_(loop), socket_(std::move(socket)), state_(state), owner_(&owner) {}

Stream::~Stream() {
  leave_loop();
}

std::shared_ptr<Stream> Stream::connect(Loop& loop, const Poco::Net::SocketAddress& to,
                                        Owner& owner) {
  int fd = ::socket(to.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<Stream> stream(
      new Stream(loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)),
                 State::connecting, owner));
  stream->peer_ = to.toString();
  const bool failed = fd < 0 || (::connect(fd, to.addr(), to.length()) < 0 && errno != EINPROGRESS);
  if (failed) {
    // Told later like any other refusal, so that callers need no second path.
    loop.in(Duration(0), [stream] {
      if (stream->owner_)
        stream->close(CloseReason::refused);
    });
    return stream;
  }
  no_delay(fd);
  stream->begin();
  stream->want_write(true);
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, int fd, Owner& owner) {
  no_delay(fd);
  std::shared_ptr<Stream> stream(new Stream(
      loop, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)), State::open, owner));
  stream->begin();
  stream->want_read(true);
  return stream;
}

void Stream::begin() {
  watching_ = true;
  loop_.addEventHandler(socket_, Observer<Poco::Net::ErrorNotification>(*this, &Stream::on_error));
}

void Stream::want_read(bool on) {
  if (reading_ == on || state_ == State::closed)
    return;
  reading_ = on;
  Observer<Poco::Net::ReadableNotification> observer(*this, &Stream::on_readable);
  if (on)
    loop_.addEventHandler(socket_, observer);
  else
    loop_.removeEventHandler(socket_, observer);
  if (!on)
    watch_anew();
}

// POCO goes on polling for what an observer that has left wanted, while others stay: guards against
// a loop that spins on a socket which can always be written. All leave, and those still wanted come
// back.
void Stream::watch_anew() {
  if (!watching_)
    return;
  Observer<Poco::Net::ReadableNotification> readable(*this, &Stream::on_readable);
  Observer<Poco::Net::WritableNotification> writable(*this, &Stream::on_writable);
  Observer<Poco::Net::ErrorNotification> error(*this, &Stream::on_error);
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

void Stream::want_write(bool on) {
  if (writing_ == on || state_ == State::closed)
    return;
  writing_ = on;
  Observer<Poco::Net::WritableNotification> observer(*this, &Stream::on_writable);
  if (on)
    loop_.addEventHandler(socket_, observer);
  else
    loop_.removeEventHandler(socket_, observer);
  if (!on)
    watch_anew();
}

void Stream::read(bool on) {
  wanted_ = on;
  if (state_ == State::open)
    want_read(on);
}

void Stream::leave_loop() {
  if (watching_) {
    want_read(false);
    want_write(false);
    loop_.removeEventHandler(socket_,
                             Observer<Poco::Net::ErrorNotification>(*this, &Stream::on_error));
    watching_ = false;
  }
  if (state_ != State::closed)
    socket_.close();
  state_ = State::closed;
}

void Stream::close(CloseReason how) {
  if (state_ == State::closed && !owner_)
    return;
  auto self = shared_from_this();
  leave_loop();
  Owner* owner = owner_;
  owner_ = nullptr;
  if (owner)
    owner->on_closed(*this, how);
}

void Stream::drop(bool reset) {
  owner_ = nullptr;
  if (reset && state_ != State::closed) {
    linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  leave_loop();
}

void Stream::finish() {
  if (state_ == State::closed)
    return;
  finishing_ = true;
  in_.clear();
  if (state_ != State::open)
    return;
  want_read(true);
  if (unwritten() == 0)
    end_sending();
}

void Stream::end_sending() {
  ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
  if (peer_done_)
    close(CloseReason::local);
}

void Stream::write(std::string_view bytes) {
  if (state_ == State::closed || finishing_)
    return;
  if (state_ == State::open && unwritten() == 0) {
    ssize_t put = ::send(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (put < 0)
      put = 0;  // what is wrong, if anything, shows again when it is writable
    sent_ += static_cast<std::uint64_t>(put);
    bytes.remove_prefix(static_cast<std::size_t>(put));
    if (bytes.empty())
      return;
  }
  if (out_at_ > 0 && out_at_ * 2 > out_.size()) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  out_.append(bytes);
  want_write(true);
}

bool Stream::flush() {
  while (unwritten() > 0) {
    ssize_t put = ::send(socket_.impl()->sockfd(), out_.data() + out_at_, out_.size() - out_at_,
                         MSG_NOSIGNAL);
    if (put < 0 && would_block())
      return true;
    if (put < 0)
      return false;
    sent_ += static_cast<std::uint64_t>(put);
    out_at_ += static_cast<std::size_t>(put);
  }
  out_.clear();
  if (out_.capacity() > kept_at_most)
    std::string().swap(out_);
  out_at_ = 0;
  return true;
}

bool Stream::quiet() const {
  char one;
  return in_.empty() && ::recv(socket_.impl()->sockfd(), &one, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         would_block();
}

bool Stream::peer_ended() const {
  pollfd look{socket_.impl()->sockfd(), POLLRDHUP, 0};
  return state_ == State::open && ::poll(&look, 1, 0) > 0 &&
         (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::on_readable(Poco::Net::ReadableNotification* notice) {
  notice->release();
  auto self = shared_from_this();
  thread_local char buffer[read_at_once];
  ssize_t got = ::recv(socket_.impl()->sockfd(), buffer, sizeof buffer, 0);
  if (finishing_ && got > 0)
    return;
  if (finishing_ && got == 0 && unwritten() > 0) {  // it may still read
    peer_done_ = true;
    return want_read(false);
  }
  if (got > 0) {
    received_ += static_cast<std::uint64_t>(got);
    in_.append(buffer, static_cast<std::size_t>(got));
    if (owner_)
      owner_->on_bytes(*this);
    if (in_.empty() && in_.capacity() > kept_at_most)
      std::string().swap(in_);
  } else if (got == 0) {
    close(finishing_ ? CloseReason::local : CloseReason::by_peer);
  } else if (!would_block()) {
    close(CloseReason::reset);
  }
}

void Stream::on_writable(Poco::Net::WritableNotification* notice) {
  notice->release();
  auto self = shared_from_this();
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
      return close(CloseReason::refused);
    state_ = State::open;
    want_read(wanted_);
    if (owner_)
      owner_->on_open(*this);
    if (state_ == State::closed)
      return;
  }
  if (!flush())
    return close(CloseReason::reset);
  if (unwritten() > 0)
    return;
  want_write(false);
  if (finishing_)
    return end_sending();
  if (owner_)
    owner_->on_written(*this);
}

void Stream::on_error(Poco::Net::ErrorNotification* notice) {
  notice->release();
  auto self = shared_from_this();
  if (state_ == State::connecting)
    return close(CloseReason::refused);
  // What came before the error is still to be read; reading meets the error after it.
  if (reading_)
    return;
  close(CloseReason::reset);
}

Listener::Listener(Loop& loop, const std::string& address, std::function<void(int)> accepted)
    : loop_(loop), accepted_(std::move(accepted)) {
  Poco::Net::SocketAddress at;
  try {
    at = Poco::Net::SocketAddress(address);
  } catch (const Poco::Exception& bad) {
    throw std::runtime_error("can't listen on " + address + ": " + bad.displayText());
  }
  fd_ = ::socket(at.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd_ < 0 || ::bind(fd_, at.addr(), at.length()) < 0 || ::listen(fd_, 1024) < 0) {
    std::string why = std::strerror(errno);
    if (fd_ >= 0)
      ::close(fd_);
    throw std::runtime_error("can't listen on " + address + ": " + why);
  }
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &length);
  port_ = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&bound), length).port();
  watched_ = std::make_unique<FdWatcher>(loop_, fd_, [this] { on_readable(); });
}

Listener::~Listener() {
  loop_.cancel(again_);
}

void Listener::finish() {
  if (!watched_)
    return;
  for (;;) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
      accepted_(fd);
    else if (errno != EINTR && errno != ECONNABORTED)
      break;  // one that broke off hides those behind it
  }
  loop_.cancel(again_);
  paused_ = true;
  watched_.reset();  // closes it
}

void Listener::pause(bool on) {
  if (!watched_)
    return;
  paused_ = on;
  loop_.cancel(again_);
  watched_->listen(!on);
}

void Listener::on_readable() {
  for (int taken = 0; taken < 64 && !paused_; ++taken) {
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accepted_(fd);
      continue;
    }
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM)
      return;
    // No descriptor left: guards against spinning on a listener that stays readable. What is open
    // goes on.
    ++starved_;
    watched_->listen(false);
    again_ = loop_.in(starved_pause, [this] { watched_->listen(!paused_); });
    return;
  }
}

}  // namespace robinhoist::net
