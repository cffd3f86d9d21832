#include "faults/fault_proxy.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "faults/loopback.h"
#include "net/fd_watcher.h"

namespace robinhoist::faults {
namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;
// At this size nothing more is read from the sender.
constexpr std::size_t max_buffered = std::size_t{1024} * 1024;
constexpr Duration retry_interval = std::chrono::milliseconds(1);

void disable_nagle(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

// Both directions of one relayed connection.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(net::Loop& loop, const LinkFaults& faults) : loop_(loop), timers_(loop), faults_(faults) {}

  void start(int client, int server) {
    sides_[0].fd = client;
    sides_[1].fd = server;
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      disable_nagle(sides_[i].fd);
      sides_[i].watcher =
          std::make_unique<net::FdWatcher>(loop_, sides_[i].fd, [this, i] { on_readable(i); });
    }
  }

  void reset() {
    const linger immediately{.l_onoff = 1, .l_linger = 0};
    for (Side& side : sides_)
      if (side.watcher)
        ::setsockopt(side.fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
  }

  void freeze() {
    frozen_ = true;
    for (Side& side : sides_)
      if (side.watcher)
        side.watcher->enable(false);
  }

  bool closed() const { return closed_; }

 private:
  struct Side {
    int fd = -1;
    std::unique_ptr<net::FdWatcher> watcher{};
    std::string unsent{};  // to be written to this side
    bool ended = false;    // this side sends nothing more
    bool told_end = false;
    bool writing = false;  // a write is scheduled
  };

  void on_readable(std::size_t from) {
    const auto self = shared_from_this();
    std::array<char, read_chunk_bytes> buffer;
    Side& side = sides_[from];
    Side& other = sides_[1 - from];
    const ssize_t got = ::recv(side.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (got < 0 && !faults_.hides_resets) {
      reset_later();
      return;
    }
    if (got <= 0) {
      side.ended = true;
      side.watcher->enable(false);
    } else if (!other.ended || !faults_.hides_resets) {
      other.unsent.append(buffer.data(), static_cast<std::size_t>(got));
      if (other.unsent.size() >= max_buffered)
        side.watcher->enable(false);
    }
    write_to(1 - from);
  }

  void write_to(std::size_t to) {
    Side& side = sides_[to];
    if (side.writing || closed_ || frozen_)
      return;
    const std::size_t limit = faults_.max_piece > 0 ? faults_.max_piece : side.unsent.size();
    const std::size_t size = std::min(limit, side.unsent.size());
    ssize_t sent = 0;
    if (size > 0)
      sent = ::send(side.fd, side.unsent.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      if (!faults_.hides_resets) {
        reset_later();
        return;
      }
      sent = static_cast<ssize_t>(side.unsent.size());  // dropped
    }
    side.unsent.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
    after_write(to);
  }

  void after_write(std::size_t to) {
    Side& side = sides_[to];
    Side& other = sides_[1 - to];
    if (!side.unsent.empty()) {
      side.writing = true;
      timers_.in(std::max(retry_interval, faults_.piece_interval), [this, to] {
        const auto self = shared_from_this();
        sides_[to].writing = false;
        write_to(to);
      });
      return;
    }
    if (!other.ended) {
      other.watcher->enable(true);
    } else if (!side.told_end) {
      side.told_end = true;
      ::shutdown(side.fd, SHUT_WR);
    }
    if (sides_[0].told_end && sides_[1].told_end)
      close_later();
  }

  // A watcher must not be destroyed while it runs its handler.
  void close_later() {
    loop_.in(Duration(0), [self = shared_from_this()] { self->close(); });
  }
  void reset_later() {
    loop_.in(Duration(0), [self = shared_from_this()] { self->reset(); });
  }
  void close() {
    closed_ = true;
    for (Side& side : sides_)
      side.watcher.reset();
  }

  net::Loop& loop_;
  net::Timers timers_;
  LinkFaults faults_;
  std::array<Side, 2> sides_{};
  bool closed_ = false;
  bool frozen_ = false;
};

FaultProxy::FaultProxy(net::Loop& loop, int target_port, const LinkFaults& faults)
    : loop_(loop),
      target_port_(target_port),
      faults_(faults),
      listener_(loop, "127.0.0.1:0", [this](int fd) {
        std::erase_if(links_, [](const auto& link) { return link->closed(); });
        const int server = connect_to_loopback(target_port_);
        if (server < 0) {
          ::close(fd);
          return;
        }
        links_.push_back(std::make_shared<Link>(loop_, faults_));
        links_.back()->start(fd, server);
      }) {}

FaultProxy::~FaultProxy() = default;

void FaultProxy::reset_all() {
  const auto links = links_;
  for (const auto& link : links)
    link->reset();
}

void FaultProxy::freeze_all() {
  for (const auto& link : links_)
    link->freeze();
}

}  // namespace robinhoist::faults
