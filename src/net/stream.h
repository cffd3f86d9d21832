/// A non-blocking TCP connection on an event loop.
#pragma once
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "util/heap_bytes.h"

namespace robinhoist::net {

/// How a connection ended.
enum class CloseReason {
  by_peer,  ///< the peer closed its side
  reset,    ///< the connection failed
  refused,  ///< the connection was never established
  local     ///< finish() closed our side, and the peer has then closed its own
};

/// A TCP connection. It reads unless the owner has stopped reading, writes immediately what the
/// kernel accepts, buffers the rest, and reports its end once.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  /// Receives the events of a stream. An owner must call drop() before it is destroyed.
  struct Owner {
    virtual ~Owner() = default;
    /// The connection is established. Not called for adopted connections.
    virtual void on_open(Stream&) {}
    /// Bytes have been appended to input().
    virtual void on_bytes(Stream&) = 0;
    /// The kernel has accepted all bytes written so far.
    virtual void on_written(Stream&) {}
    virtual void on_closed(Stream&, CloseReason reason) = 0;
  };

  /// Starts to connect. The result is reported by on_open() or on_closed(), never inside this call.
  static std::shared_ptr<Stream> connect(Loop& loop, const Poco::Net::SocketAddress& address,
                                         Owner& owner);
  /// Takes ownership of the descriptor of an established connection.
  static std::shared_ptr<Stream> adopt(Loop& loop, int fd, Owner& owner);
  ~Stream();

  /// Bytes received and not yet processed; the owner erases processed bytes from the front.
  std::string& input() { return input_; }
  void write(std::string_view bytes);
  /// Bytes that the kernel has not accepted yet.
  std::size_t unwritten() const { return output_.size() - written_; }
  /// The heap memory of input().
  std::size_t input_memory() const { return heap_bytes(input_); }
  /// The heap memory of the bytes that the kernel has not accepted yet.
  std::size_t output_memory() const { return heap_bytes(output_); }
  /// Stops or resumes reading, to apply back-pressure to the peer.
  void read(bool enabled);
  /// Sets how many bytes input() may hold. At that size nothing is read, and the owner has to stop
  /// reading or process bytes.
  void limit_input(std::size_t bytes) { max_input_bytes_ = bytes; }

  /// Discards the input, now and from now on, so that the end of the connection is noticed without
  /// holding what comes before it.
  void discard_input();
  /// Closes the connection gracefully: shuts down sending once all bytes are written, then discards
  /// input until the peer closes its side too. Closing with unread input would reset the
  /// connection, and the peer might lose the last bytes written. The end is reported later by
  /// on_closed(); the owner has to limit the wait.
  void finish();
  /// Closes the connection now, without any further call to the owner. With `reset` the peer gets a
  /// TCP reset.
  void drop(bool reset = false);

  bool open() const { return state_ == State::open; }
  /// Whether the input buffer and the socket hold neither bytes nor the peer's end of stream.
  bool nothing_to_read() const;
  /// Whether the peer has closed its side; bytes that it sent before may be unread.
  bool peer_ended() const;
  /// The address of the peer, as host:port; empty if it is not known.
  std::string peer() const;

 private:
  enum class State { connecting, open, closed };

  Stream(Loop& loop, const Poco::Net::StreamSocket& socket, State state, Owner& owner);
  void handle_readable(Poco::Net::ReadableNotification* notification);
  void handle_writable(Poco::Net::WritableNotification* notification);
  void handle_error(Poco::Net::ErrorNotification* notification);
  bool handle_connected();
  void handle_input(std::string_view bytes);
  void pause_discarding();
  void resume_discarding();
  void want_read(bool enabled);
  void want_write(bool enabled);
  void register_with_loop();
  void reregister_handlers();
  void unregister_from_loop();
  void unregister_and_close();
  bool flush();
  void close(CloseReason reason);
  void end_sending();
  int fd() const;

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  State state_;
  Owner* owner_;  // null: events are no longer reported
  std::string input_{};
  std::size_t max_input_bytes_ = std::numeric_limits<std::size_t>::max();
  std::string output_{};
  std::size_t written_ = 0;  // of output_
  std::string peer_{};
  bool registered_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool read_enabled_ = true;  // as set by read()
  bool discarding_ = false;   // input is read and dropped
  std::size_t discarded_ = 0;
  std::size_t discarded_since_pause_ = 0;
  bool finishing_ = false;
  bool peer_eof_ = false;
};

}  // namespace robinhoist::net
