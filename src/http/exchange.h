/// One request of a client and its response.
#pragma once
#include <functional>
#include <memory>
#include <string_view>

#include "http/message.h"
#include "time/time_types.h"

namespace robinhoist::http {

class ServerConnection;

/// What a Server hands to its handler. It is answered once, now or later, or turned into a stream.
/// Holding it costs nothing but memory; dropped without an answer, it answers 500.
class Exchange {
 public:
  Exchange(std::weak_ptr<ServerConnection> connection, Request request, TimePoint received_at,
           bool first_on_connection);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void answer(Response response);
  /// Breaks the connection in place of an answer.
  void abort_connection();

  /// Begins a stream of chunks in place of one answer. It ends with end(), or when the client
  /// leaves or reads too slowly.
  void begin_stream(const Response& head);
  /// Sends a chunk. False: the client was too slow, or has gone; the stream is over.
  bool write(std::string_view bytes);
  void end(std::string_view last_bytes = {});
  /// Bytes that the client has not read yet.
  std::size_t unwritten() const;

  bool answered() const { return answered_; }
  bool client_disconnected() const { return connection_.expired(); }

  Request request;
  TimePoint received_at;             ///< when the request had been received completely
  bool first_on_connection = false;  ///< whether it is the first request on its connection
  /// Runs when the client has left before the answer, or when the stream has ended.
  std::function<void()> on_disconnect{};

 private:
  std::weak_ptr<ServerConnection> connection_;
  bool answered_ = false;
  bool streaming_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace robinhoist::http
