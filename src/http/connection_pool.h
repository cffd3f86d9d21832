// The client's side of HTTP/1.1 on a Loop: connections to one peer, kept alive and used again,
// bounded in number; each call says exactly once how it ended, and whether the peer may have acted
// on it.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/stream.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist::http {

// How a call ended. Only `answered` comes with a response. `unreached` means that not a byte of the
// request left this process whole on an open connection, so that the peer can't have acted on it;
// `withheld` the same where it was our own limits that left no connection for it.
enum class CallResult {
  answered,
  connect_failed,
  not_sent,
  connection_lost,
  malformed,
  timed_out,
  cancelled
};

class Connection;

// Connections that several callers have together at most. Where they have them all, the one that
// has been idle for longest makes room.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t most) : most_(most) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

 private:
  friend class Connection;
  friend class ConnectionPool;
  struct Reuse {
    Duration idle;
    bool broke;
  };
  bool room();
  // Whether connections that stood idle for about so long have lately broken under the next
  // request: peers and what lies between may drop them without a word, long before any time agreed
  // on.
  bool stale(Duration idle) const;
  std::size_t most_, open_ = 0;
  SlidingWindow<Reuse> reuses_{256};
  std::list<Connection*> idle_{};  // the longest idle first
};

struct ConnectionPoolSettings {
  std::size_t max_connections = 64;
  Duration connect_timeout = std::chrono::milliseconds(250);
  Duration idle_timeout = std::chrono::seconds(30);  // an idle connection
  MessageLimits limits{};
  std::shared_ptr<ConnectionBudget> budget{};  // none: `most_connections` is the only bound
};

class ConnectionPool {
 public:
  using Done = std::function<void(CallResult, Response&&)>;
  // The last word on a request, when it is written: how much of its time is left by then.
  using Word = std::function<void(Request& request, Duration left)>;
  // Names a call for cancel(); 0 is none.
  using Id = std::uint64_t;

  ConnectionPool(net::Loop& loop, Poco::Net::SocketAddress peer,
                 const ConnectionPoolSettings& settings);
  ~ConnectionPool();  // cancels what is out, without a word
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // `done` runs later, never from inside call(), and not after cancel().
  Id call(Request request, Duration within, Done done, Word word = {});
  // Closes the connection that carries it: there is no other way to call off HTTP/1.1.
  void cancel(Id id);
  // Takes a call back that has not been written yet; `done` does not run. False: it has been.
  bool recall(Id id);
  void close_idle();

  std::size_t open() const { return connections_.size(); }
  std::size_t busy() const;
  long opened() const { return opened_; }
  long reused() const { return reused_; }
  // How often the peer said more than it was asked for.
  long unasked() const { return unasked_; }
  const Poco::Net::SocketAddress& peer() const { return peer_; }

 private:
  friend class Connection;
  void remove(Connection* connection);

  net::Loop& loop_;
  Poco::Net::SocketAddress peer_;
  std::string host_;
  ConnectionPoolSettings settings_;
  std::vector<std::shared_ptr<Connection>> connections_{};
  std::vector<Connection*> idle_{};  // the last used at the end
  Id next_ = 1;
  long opened_ = 0, reused_ = 0, unasked_ = 0;
};

}  // namespace robinhoist::http
