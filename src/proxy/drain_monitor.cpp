#include "proxy/drain_monitor.h"

#include <chrono>
#include <utility>

namespace robinhoist::proxy {
namespace {

// The proxy gets no event when an idle client disconnects, so the state is polled.
constexpr Duration poll_interval = std::chrono::milliseconds(10);

}  // namespace

DrainMonitor::DrainMonitor(net::Loop& loop, std::function<bool()> idle)
    : loop_(loop), idle_(std::move(idle)) {}

DrainMonitor::~DrainMonitor() {
  loop_.cancel(timer_);
}

void DrainMonitor::start(std::function<void()> done) {
  done_ = std::move(done);
  state_ = State::draining;
  poll();
}

void DrainMonitor::poll() {
  check();
  if (state_ == State::draining)
    timer_ = loop_.in(poll_interval, [this] { poll(); });
}

void DrainMonitor::check() {
  if (state_ != State::draining || !idle_())
    return;
  state_ = State::drained;
  // Deferred: this may be called while the last response is being sent.
  loop_.in(Duration(0), [done = std::exchange(done_, nullptr)] {
    if (done)
      done();
  });
}

}  // namespace robinhoist::proxy
