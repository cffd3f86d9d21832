// A non-blocking TCP connection on a Loop, and the listener that takes them. A stream reads while
// its owner lets it, writes at once as far as the kernel takes it and keeps the rest, and says once
// that it has closed.
#pragma once
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string>
#include <string_view>

#include "net/loop.h"

namespace robinhoist::net {

enum class CloseReason { by_peer, reset, refused, local };

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  // The owner outlives its part in the stream: it calls drop() before it goes.
  struct Owner {
    virtual ~Owner() = default;
    virtual void on_open(Stream&) {}
    virtual void on_bytes(Stream&) = 0;  // stream.in() has grown
    virtual void on_written(Stream&) {}  // all that was to be written is with the kernel
    virtual void on_closed(Stream&, CloseReason how) = 0;
  };

  static std::shared_ptr<Stream> connect(Loop& loop, const Poco::Net::SocketAddress& to,
                                         Owner& owner);
  static std::shared_ptr<Stream> adopt(Loop& loop, int fd, Owner& owner);
  ~Stream();

  std::string& in() { return in_; }
  void write(std::string_view bytes);
  std::size_t unwritten() const { return out_.size() - out_at_; }
  // Stops and starts reading: back-pressure towards the peer.
  void read(bool on);
  // Ends the connection once all is written: tells the peer so, and reads on without a use for it
  // until the peer ends it too, for what lies unread at a close turns it into a reset that may
  // destroy what was written. The owner hears of it by on_closed, later and once, and bounds the
  // time.
  void finish();
  // Ends it now; the owner hears nothing any more. With `reset` the peer sees a broken connection.
  void drop(bool reset = false);
  bool open() const { return state_ == State::open; }
  // Whether there is nothing to be read, not even the peer's end.
  bool quiet() const;
  // Whether the peer has ended its side, though what it sent before is still unread.
  bool peer_ended() const;
  std::uint64_t received() const { return received_; }
  std::uint64_t sent() const { return sent_; }
  std::string peer() const { return peer_; }

 private:
  enum class State { connecting, open, closed };
  Stream(Loop& loop, Poco::Net::StreamSocket socket, State state, Owner& owner);
  void on_readable(Poco::Net::ReadableNotification* notice);
  void on_writable(Poco::Net::WritableNotification* notice);
  void on_error(Poco::Net::ErrorNotification* notice);
  void want_read(bool on);
  void want_write(bool on);
  void watch_anew();
  bool flush();
  void close(CloseReason how);
  void leave_loop();
  void begin();
  void end_sending();

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  State state_;
  Owner* owner_;
  std::string in_{}, out_{}, peer_{};
  std::size_t out_at_ = 0;
  std::uint64_t received_ = 0, sent_ = 0;
  bool reading_ = false, writing_ = false, finishing_ = false, watching_ = false, wanted_ = true,
       peer_done_ = false;
};

class Listener {
 public:
  // Port 0 takes any; port() tells which. Throws std::runtime_error with the address when it can't
  // be had.
  Listener(Loop& loop, const std::string& address, std::function<void(int fd)> accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  int port() const { return port_; }
  // Takes those who wait and then no more: what the kernel has accepted is not left to break.
  void finish();
  // While paused, new clients keep their place in the kernel's queue.
  void pause(bool on);
  // How often the process had no file descriptor left for a new connection.
  long starved() const { return starved_; }

 private:
  void on_readable();

  Loop& loop_;
  int fd_ = -1, port_ = 0;
  bool paused_ = false;
  std::function<void(int)> accepted_;
  std::unique_ptr<FdWatcher> watched_{};
  Loop::Timer again_ = Loop::no_timer;
  long starved_ = 0;
};

}  // namespace robinhoist::net
