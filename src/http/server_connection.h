/// A client connection of a Server. Internal to the server.
#pragma once
#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/memory_budget.h"
#include "http/parser.h"
#include "http/server.h"
#include "limits/token_bucket.h"
#include "net/stream.h"

namespace robinhoist::http {

/// The handler processes one request at a time, and only after the response before has been
/// written. A few further requests wait in the input buffer; if there are more, the connection
/// is closed after the response.
class ServerConnection : public net::Stream::Owner,
                         public RegisteredMemoryHolder,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  /// The effect of closing the connection on its client, from the smallest on.
  enum class CloseCost {
    lingering,       ///< the last response has been sent
    silent,          ///< no request has come yet
    idle,            ///< there is no open request
    partial_request  ///< a part of a request has been received, so the client gets an error
                     ///< response
  };
  /// Ranks connections for eviction: the smallest is closed first.
  struct Closable {
    CloseCost cost;
    TimePoint since;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
    auto operator<=>(const Closable&) const = default;
  };

  /// Takes ownership of the descriptor.
  ServerConnection(Server& server, int fd);
  ~ServerConnection() override;
  void start();

  /// Empty while a request is open or a response is not completely written, and for a short time
  /// after the connection or a request has begun: the connection must then not be evicted.
  std::optional<Closable> closable() const;
  /// Closes the connection unless a request is open or has begun.
  void close_if_idle();
  /// Closes the connection to make room for another client.
  void evict();

  std::size_t held_bytes() const override { return received_.bytes() + unread_.bytes(); }
  /// Empty while a request is open: an accepted request is answered.
  std::optional<TimePoint> releasable_since() const override;
  /// Rejects a partial request, or closes the connection of a client that does not read.
  void release_memory() override;

  /// Closes the connection now and calls on_disconnect of its open exchange.
  void close(bool reset = false);

  void answer(Response response);
  void begin_stream(const Response& head);
  /// Returns false when the client reads too slowly or has disconnected.
  bool write_chunk(std::string_view bytes);
  void end_stream(std::string_view last_bytes);
  std::size_t unwritten() const { return stream_->unwritten(); }
  bool client_closed() const { return stream_->peer_ended(); }

 private:
  void on_bytes(net::Stream& stream) override;
  void on_written(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;

  bool is_busy() const;
  bool has_unread_request();
  void read_requests();
  bool read_request();
  void dispatch(Request request);
  void finish_exchange(bool keep_alive);
  void fail_open_request();
  void shed_partial_request();
  void reject(long ServerCounters::*count, const ParseError& error);
  void drop_pipelined_requests();
  void close_after(Duration timeout);
  void handle_timeout();
  void report_disconnect();
  void limit_input_to_header();
  void limit_immediate_responses();
  bool is_paused() const { return pause_timer_ != net::Loop::no_timer; }
  void update_charges();

  Server* server_;  // null once the connection has ended
  std::shared_ptr<net::Stream> stream_;
  RequestReader reader_;
  MemoryCharge received_;        // what the client has sent
  MemoryCharge unread_;          // what the client has not read
  ExchangePtr open_exchange_{};  // the request that the handler has not answered yet
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint state_since_{};  // when the connection entered its current state
  std::string chunk_{};
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool closing_ = false;
  bool in_handler_ = false;
  bool first_request_ = true;
  limits::TokenBucket immediate_responses_;
  net::Loop::Timer pause_timer_ = net::Loop::no_timer;  // set while no request is read
};

}  // namespace robinhoist::http
