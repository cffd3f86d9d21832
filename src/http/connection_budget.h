/// A bound on the connections of several pools together.
#pragma once
#include <cstddef>
#include <list>

#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist::http {

class ClientConnection;

/// Connections that several pools share. Where all are in use, the one that has been idle for
/// longest makes room.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t max_connections) : max_connections_(max_connections) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  /// Closes the longest idle connection if the budget is used up; whether another may be opened.
  bool make_room();
  /// Whether connections that stood idle for about so long have lately broken under their next
  /// request. Peers and what lies between may drop idle connections without a word, long before any
  /// time agreed on.
  bool is_stale(Duration idle) const;

 private:
  friend class ClientConnection;
  using IdleList = std::list<ClientConnection*>;

  /// One request on a connection that had been idle.
  struct Reuse {
    Duration idle;
    bool broke;
  };

  std::size_t max_connections_;
  std::size_t open_ = 0;
  SlidingWindow<Reuse> reuses_{256};
  IdleList idle_{};  // the longest idle first
};

}  // namespace robinhoist::http
