/// A non-blocking TCP connection on a loop.
#pragma once
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace robinhoist::net {

/// How a connection ended.
enum class CloseReason {
  by_peer,  ///< the peer ended its side
  reset,    ///< it broke
  refused,  ///< it never came up
  local     ///< we ended it, and the peer has followed
};

/// A TCP connection. It reads while its owner lets it, writes at once as far as the kernel takes it
/// and keeps the rest, and tells its end once.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  /// Whoever a stream reports to. The owner outlives its part in the stream: it calls drop() before
  /// it goes.
  struct Owner {
    virtual ~Owner() = default;
    /// The connection is up; not for adopted ones.
    virtual void on_open(Stream&) {}
    /// input() has grown.
    virtual void on_bytes(Stream&) = 0;
    /// All that was to be written is with the kernel.
    virtual void on_written(Stream&) {}
    virtual void on_closed(Stream&, CloseReason reason) = 0;
  };

  /// Begins to connect; how it went comes by on_open or on_closed, never from inside this call.
  static std::shared_ptr<Stream> connect(Loop& loop, const Poco::Net::SocketAddress& address,
                                         Owner& owner);
  /// Takes over the descriptor of a connection that is up.
  static std::shared_ptr<Stream> adopt(Loop& loop, int fd, Owner& owner);
  ~Stream();

  /// What has been received and not yet consumed; the owner erases what it has used from the front.
  std::string& input() { return input_; }
  void write(std::string_view bytes);
  /// Bytes that the kernel has not taken yet.
  std::size_t unwritten() const { return output_.size() - written_; }
  /// Stops and starts reading: back-pressure towards the peer.
  void read(bool enabled);

  /// Ends the connection gracefully once all is written: sending ends, and what comes is read and
  /// thrown away until the peer ends too. A close with unread bytes would be a reset, which may
  /// destroy what was written. The owner hears of it by on_closed, later and once, and bounds the
  /// time.
  void finish();
  /// Ends the connection now, without a further word to the owner. With `reset` the peer sees it
  /// break.
  void drop(bool reset = false);

  bool open() const { return state_ == State::open; }
  /// Whether there is nothing to be read, not even the peer's end.
  bool nothing_to_read() const;
  /// Whether the peer has ended its side, though what it sent before may be unread.
  bool peer_ended() const;
  std::string peer() const { return peer_; }

 private:
  enum class State { connecting, open, closed };

  Stream(Loop& loop, const Poco::Net::StreamSocket& socket, State state, Owner& owner);
  void handle_readable(Poco::Net::ReadableNotification* notification);
  void handle_writable(Poco::Net::WritableNotification* notification);
  void handle_error(Poco::Net::ErrorNotification* notification);
  bool handle_connected();
  void handle_input(std::string_view bytes);
  void want_read(bool enabled);
  void want_write(bool enabled);
  void register_with_loop();
  void reregister_handlers();
  void unregister_and_close();
  bool flush();
  void close(CloseReason reason);
  void end_sending();
  int fd() const;

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  State state_;
  Owner* owner_;  // null: nobody is to hear of anything any more
  std::string input_{};
  std::string output_{};
  std::size_t written_ = 0;  // of output_
  std::string peer_{};
  bool registered_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool read_enabled_ = true;  // as the owner wants it
  bool finishing_ = false;
  bool peer_eof_ = false;
};

}  // namespace robinhoist::net
