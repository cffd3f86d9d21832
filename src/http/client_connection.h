/// One connection of a ConnectionPool and its current call. Internal to the pool.
#pragma once
#include <memory>
#include <optional>

#include "http/connection_pool.h"
#include "http/parser.h"
#include "net/stream.h"

namespace robinhoist::http {

class ClientConnection : public net::Stream::Owner,
                         public RegisteredMemoryHolder,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(ConnectionPool& pool);
  ~ClientConnection() override;

  void connect();
  /// Sends a request as soon as the connection is established.
  void start_call(ConnectionPool::Id id, Request request, Duration timeout,
                  ConnectionPool::Done done, ConnectionPool::BeforeSend before_send);

  /// Closes the connection and reports `result` for its call, if there is one.
  void end(CallResult result);
  /// Closes the connection without reporting a result for its call.
  void close_silently();

  std::size_t held_bytes() const override { return charge_.bytes(); }
  /// Empty until the request of a call is written: until then it is part of an accepted request.
  std::optional<TimePoint> releasable_since() const override;
  /// Ends the call and discards its partial response.
  void release_memory() override;

  bool busy() const { return done_ != nullptr; }
  ConnectionPool::Id id() const { return busy() ? id_ : 0; }
  /// Whether the request has been handed to the stream.
  bool written() const { return written_; }
  /// Whether an idle connection may be reused: it is open, and the peer has sent nothing since the
  /// last response. Bytes that arrive late must not be read as the response to the next request.
  bool usable() const;
  /// How long the connection has been idle.
  Duration idle_time() const;
  /// Marks an idle connection as in use again.
  void begin_reuse();

 private:
  void on_open(net::Stream& stream) override;
  void on_bytes(net::Stream& stream) override;
  void on_written(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;

  bool fully_written() const;
  void send();
  void finish_call();
  void become_idle();
  void leave_idle_list();
  void close_stream(bool reset);
  void note_reuse(bool failed);
  void report(CallResult result, Response&& response);
  void update_charge();

  ConnectionPool* pool_;  // null once the connection has ended
  std::shared_ptr<ConnectionBudget> budget_;
  std::optional<ConnectionBudget::IdleList::iterator> idle_position_{};
  std::shared_ptr<net::Stream> stream_{};
  ResponseReader reader_;
  MemoryCharge charge_;
  ConnectionPool::Id id_ = 0;
  ConnectionPool::Done done_{};
  Request request_{};  // empty once it has been written
  ConnectionPool::BeforeSend before_send_{};
  net::Loop::Timer timer_ = net::Loop::no_timer;  // call time-out, or idle time-out
  net::Loop::Timer connect_timer_ = net::Loop::no_timer;
  TimePoint called_at_{};
  TimePoint deadline_{};
  TimePoint idle_since_{};
  std::optional<Duration> reused_after_{};  // idle time before the current call, if reused
  bool written_ = false;
  bool stream_closed_ = false;
};

}  // namespace robinhoist::http
