/// One connection of a ConnectionPool and the call that it carries. Internal to the pool.
#pragma once
#include <memory>
#include <optional>

#include "http/connection_pool.h"
#include "http/parser.h"
#include "net/stream.h"

namespace robinhoist::http {

class ClientConnection : public net::Stream::Owner,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(ConnectionPool& pool);
  ~ClientConnection() override;

  void connect();
  /// Sends a request as soon as the connection is up.
  void carry(ConnectionPool::Id id, Request request, Duration timeout, ConnectionPool::Done done,
             ConnectionPool::BeforeSend before_send);

  /// Ends the connection; its call, if any, ends with that result.
  void end(CallResult result);
  /// Ends the connection without a word about its call.
  void abandon();

  bool busy() const { return done_ != nullptr; }
  ConnectionPool::Id id() const { return busy() ? id_ : 0; }
  /// Whether the request has been handed to the stream.
  bool written() const { return written_; }
  /// Whether an idle connection may carry another request: it is open, and the peer has said
  /// nothing meanwhile. What came late behind one response must not be taken for the next.
  bool usable() const;
  /// How long it has been idle.
  Duration idle_time() const;
  /// It leaves the idle ones to carry a request again.
  void begin_reuse();

 private:
  void on_open(net::Stream& stream) override;
  void on_bytes(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;

  bool written_whole() const;
  void send();
  void finish_call();
  void become_idle();
  void leave_idle_list();
  void shut(bool reset);
  void note_reuse(bool broke);
  void report(CallResult result, Response&& response);

  ConnectionPool* pool_;  // null: the connection is over
  std::shared_ptr<ConnectionBudget> budget_;
  std::optional<ConnectionBudget::IdleList::iterator> idle_position_{};
  std::shared_ptr<net::Stream> stream_{};
  ResponseReader reader_;
  ConnectionPool::Id id_ = 0;
  ConnectionPool::Done done_{};
  Request request_{};  // until it is written
  ConnectionPool::BeforeSend before_send_{};
  net::Loop::Timer timer_ = net::Loop::no_timer;  // of the call, or of being idle
  net::Loop::Timer connect_timer_ = net::Loop::no_timer;
  TimePoint deadline_{};
  TimePoint idle_since_{};
  std::optional<Duration> reused_after_{};  // how long it was idle before the call that is out
  bool written_ = false;
  bool shut_ = false;
};

}  // namespace robinhoist::http
