/// Expires the proxies' leases when they are due and keeps the rollout's electorate up to date.
#pragma once
#include <functional>

#include "log/logger.h"
#include "membership/membership.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// Owns the timer for the next lease expiry.
class MembershipMonitor {
 public:
  /// `decide` is called after each check that was started by the timer.
  MembershipMonitor(net::Loop& loop, const log::Logger& log, membership::Membership& membership,
                    rollout::Rollout& rollout, std::function<void()> decide);
  ~MembershipMonitor();
  MembershipMonitor(const MembershipMonitor&) = delete;
  MembershipMonitor& operator=(const MembershipMonitor&) = delete;

  /// Must be called after each change of the membership.
  void check();

 private:
  net::Loop& loop_;
  const log::Logger& log_;
  membership::Membership& membership_;
  rollout::Rollout& rollout_;
  std::function<void()> decide_;
  net::Loop::Timer timer_ = net::Loop::no_timer;
};

}  // namespace robinhoist::controller
