/// Tells when a proxy that is shutting down has served its last client.
#pragma once
#include <functional>

#include "net/loop.h"

namespace robinhoist::proxy {

class DrainMonitor {
 public:
  /// `idle` says whether nothing is owed to any client.
  DrainMonitor(net::Loop& loop, std::function<bool()> idle);
  ~DrainMonitor();
  DrainMonitor(const DrainMonitor&) = delete;
  DrainMonitor& operator=(const DrainMonitor&) = delete;

  /// From now on `done` runs as soon as the proxy is idle: once, from the loop.
  void start(std::function<void()> done);
  /// Whether start() has been called, also after `done` ran.
  bool draining() const { return state_ != State::serving; }
  /// Call after anything that may have been the last. Cheap unless draining.
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
