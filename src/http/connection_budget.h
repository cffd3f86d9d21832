/// A limit on the number of connections that several pools have open together.
#pragma once
#include <cstddef>
#include <list>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist::http {

class ClientConnection;

/// Counts the open connections of several pools. When the limit is reached, the connection that has
/// been idle longest is closed.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t max_connections) : max_connections_(max_connections) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  /// Closes the longest idle connection if the limit is reached. Returns whether another connection
  /// may be opened.
  bool make_room();
  /// Whether connections with a similar idle time have recently failed on their next request. Peers
  /// and middleboxes may drop idle connections silently, long before any negotiated time-out.
  bool is_stale(Duration idle) const;

 private:
  friend class ClientConnection;
  using IdleList = std::list<ClientConnection*>;

  /// One request on a connection that had been idle, and whether the connection was lost.
  struct Reuse {
    Duration idle;
    bool failed;
  };

  std::size_t max_connections_;
  std::size_t open_ = 0;
  SlidingWindow<Reuse> reuses_{256};
  IdleList idle_{};  // longest idle first
};

}  // namespace robinhoist::http
