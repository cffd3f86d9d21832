/// Detects when a proxy that is shutting down has served its last client.
#pragma once
#include <functional>

#include "net/loop.h"

namespace robinhoist::proxy {

class DrainMonitor {
 public:
  /// `idle` returns whether all requests are answered and all clients have disconnected.
  DrainMonitor(net::Loop& loop, std::function<bool()> idle);
  ~DrainMonitor();
  DrainMonitor(const DrainMonitor&) = delete;
  DrainMonitor& operator=(const DrainMonitor&) = delete;

  /// Starts to drain. `done` is called once, from the loop, as soon as the proxy is idle.
  void start(std::function<void()> done);
  /// Whether start() has been called, including after `done` ran.
  bool draining() const { return state_ != State::serving; }
  /// To be called after every event that may have made the proxy idle. Cheap unless draining.
  void check();

 private:
  enum class State { serving, draining, drained };
  void poll();

  net::Loop& loop_;
  std::function<bool()> idle_;
  std::function<void()> done_{};
  State state_ = State::serving;
  net::Loop::Timer timer_ = net::Loop::no_timer;
};

}  // namespace robinhoist::proxy
