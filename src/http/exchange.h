/// One request of a client and its response.
#pragma once
#include <functional>
#include <memory>
#include <string_view>

#include "http/message.h"
#include "time/time_types.h"

namespace robinhoist::http {

class ServerConnection;

/// A request passed to the handler of a Server. The handler answers it once, now or later, or turns
/// the response into a stream. If the exchange is destroyed unanswered, the client gets a 500. An
/// open exchange uses no resources except memory.
class Exchange {
 public:
  Exchange(std::weak_ptr<ServerConnection> connection, Request request, TimePoint received_at,
           bool first_on_connection);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void answer(Response response);
  /// Resets the connection instead of sending a response.
  void abort_connection();
  /// The connection has answered the request itself, with an error, or has ended.
  void abandon();

  /// Begins a chunked response. It ends with end(), or when the client disconnects or reads too
  /// slowly.
  void begin_stream(const Response& head);
  /// Sends a chunk. Returns false when the client reads too slowly or has disconnected; the stream
  /// is then over.
  bool write(std::string_view bytes);
  void end(std::string_view last_bytes = {});
  /// Bytes of the response that the kernel has not accepted yet.
  std::size_t unwritten() const;

  bool answered() const { return answered_; }
  bool client_disconnected() const { return connection_.expired(); }
  /// Whether the client has closed its side, although bytes that it sent before may be unread.
  bool client_closed() const;

  Request request;
  TimePoint received_at;             ///< when the request had been received completely
  bool first_on_connection = false;  ///< whether it is the first request on its connection
  /// Runs when the client disconnects before the response is sent or while the stream is open.
  std::function<void()> on_disconnect{};

 private:
  std::weak_ptr<ServerConnection> connection_;
  bool answered_ = false;
  bool streaming_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace robinhoist::http
