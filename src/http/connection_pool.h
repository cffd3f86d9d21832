/// The client's side of HTTP/1.1 on a loop: a bounded pool of kept-alive connections to one peer.
#pragma once
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/connection_budget.h"
#include "http/message.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// How a call ended. Only `answered` comes with a response.
enum class CallResult {
  answered,
  connect_failed,  ///< the request was not written whole to an open connection: the peer can't have
                   ///< acted on it
  not_sent,        ///< the same, because our own limits left no connection for it
  connection_lost,  ///< the peer may have acted on it, as in all that follow
  malformed,        ///< what came was no response
  timed_out,
  cancelled
};

/// Whether the peer can't have acted on a call that ended so.
inline bool proves_not_sent(CallResult result) {
  return result == CallResult::connect_failed || result == CallResult::not_sent;
}

struct ConnectionPoolSettings {
  std::size_t max_connections = 64;
  Duration connect_timeout = std::chrono::milliseconds(250);
  Duration idle_timeout = std::chrono::seconds(30);  ///< then an idle connection is closed
  MessageLimits limits{};
  std::shared_ptr<ConnectionBudget> budget{};  ///< null: `max_connections` is the only bound
};

/// Sends requests to one peer and tells of each exactly once how it ended.
class ConnectionPool {
 public:
  using Done = std::function<void(CallResult, Response&&)>;
  /// Called when the request is about to be written, with the time that is left for it by then.
  using BeforeSend = std::function<void(Request& request, Duration time_left)>;
  /// Names a call; 0 is none.
  using Id = std::uint64_t;

  ConnectionPool(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                 const ConnectionPoolSettings& settings);
  /// Cancels what is in flight; no `done` runs.
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Sends a request on an idle connection or a new one. `done` runs later, never from inside
  /// call(), and not after cancel().
  Id call(Request request, Duration timeout, Done done, BeforeSend before_send = {});
  /// Closes the connection that carries the call: HTTP/1.1 knows no other way to call it off.
  void cancel(Id id);
  /// Takes back a call that has not been written yet; `done` does not run. False: it has been
  /// written.
  bool cancel_if_unsent(Id id);
  void close_idle();

  /// Connections that are open or coming up.
  std::size_t open() const { return connections_.size(); }
  /// Connections that carry a call.
  std::size_t busy() const;
  /// How many connections have ever been opened, and how often one was used again.
  long opened() const { return opened_; }
  long reused() const { return reused_; }
  /// How often the peer sent bytes that no request had asked for.
  long unsolicited() const { return unsolicited_; }
  const Poco::Net::SocketAddress& peer() const { return peer_; }

 private:
  friend class ClientConnection;
  ClientConnection* take_idle();
  std::shared_ptr<ClientConnection> find(Id id) const;
  void remove(ClientConnection* connection);

  net::Loop& loop_;
  Poco::Net::SocketAddress peer_;
  std::string host_;
  ConnectionPoolSettings settings_;
  std::vector<std::shared_ptr<ClientConnection>> connections_{};
  std::vector<ClientConnection*> idle_{};  // the last used at the end
  Id next_id_ = 1;
  long opened_ = 0;
  long reused_ = 0;
  long unsolicited_ = 0;
};

}  // namespace robinhoist::http
