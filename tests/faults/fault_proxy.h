/// A TCP relay that changes how bytes and closes arrive, for tests that run the program on real
/// sockets.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::faults {

/// How a relay passes on what it receives. The default is to pass on everything at once.
struct LinkFaults {
  std::size_t max_piece = 0;  ///< bytes passed on at a time; 0: no limit
  Duration piece_interval{};  ///< between two pieces, if their size is limited
  /// The end of one side is passed on as an orderly close, and the other side's bytes are then read
  /// and dropped: the other side sees no reset. This is how a middlebox or a slow network shows a
  /// client that closes its connection.
  bool hides_resets = false;
};

class Link;

/// Accepts connections on a free port of the loopback interface and relays each to a target port.
class FaultProxy {
 public:
  FaultProxy(net::Loop& loop, int target_port, const LinkFaults& faults);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  int port() const { return listener_.port(); }
  /// Applies to connections that are accepted from now on.
  void set_faults(const LinkFaults& faults) { faults_ = faults; }
  /// Resets both sides of all connections.
  void reset_all();
  /// Stops relaying on all connections, which stay open. New connections are relayed.
  void freeze_all();

 private:
  net::Loop& loop_;
  int target_port_;
  LinkFaults faults_;
  std::vector<std::shared_ptr<Link>> links_{};
  net::Listener listener_;
};

}  // namespace robinhoist::faults
