/// A client's connection to a Server. Internal to the server.
#pragma once
#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/parser.h"
#include "http/server.h"
#include "net/stream.h"

namespace robinhoist::http {

/// One request is with the handler at a time; others wait in the buffer, and reading stops while
/// that holds more than one head may have.
class ServerConnection : public net::Stream::Owner,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  /// What closing the connection would cost its client, the least first.
  enum class CloseCost {
    lingering,    ///< it has had its last answer
    idle,         ///< no request is open
    half_request  ///< a request has come in part: its client is owed an answer, if only a refusal
  };
  /// How good a candidate for closing a connection is: smaller closes first.
  struct Closable {
    CloseCost cost;
    TimePoint since;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
    auto operator<=>(const Closable&) const = default;
  };

  /// Takes the descriptor over.
  ServerConnection(Server& server, int fd);
  ~ServerConnection() override;
  void start();

  /// Nothing while a request is open or an answer is not written: then it must not be closed.
  std::optional<Closable> closable() const;
  void close_if_idle();
  /// Closes it because its place is needed.
  void evict();
  /// Ends the connection now; whoever holds its exchange hears of it.
  void leave(bool reset = false);

  void answer(Response response);
  void begin_stream(const Response& head);
  /// False: the client was too slow, or has gone.
  bool write_chunk(std::string_view bytes);
  void end_stream(std::string_view last_bytes);
  std::size_t unwritten() const { return stream_->unwritten(); }

 private:
  void on_bytes(net::Stream& stream) override;
  void on_written(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;

  bool has_unread_request();
  void read_requests();
  bool read_request();
  void dispatch(Request request);
  void finish_exchange(bool keep_alive);
  void refuse(int status, const std::string& why);
  void watch_for_disconnect();
  void close_after(Duration timeout);
  void handle_timeout();
  void report_disconnect();

  Server* server_;  // null: the connection is over
  std::shared_ptr<net::Stream> stream_;
  RequestReader reader_;
  ExchangePtr open_{};  // the request that is with the handler
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint since_{};  // in its present state
  std::string chunk_{};
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool closing_ = false;
  bool in_handler_ = false;
  bool first_request_ = true;
};

}  // namespace robinhoist::http
