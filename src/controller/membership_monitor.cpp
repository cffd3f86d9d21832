#include "controller/membership_monitor.h"

#include <algorithm>

namespace robinhoist::controller {

using namespace std::chrono_literals;

MembershipMonitor::MembershipMonitor(net::Loop& loop, const log::Logger& log,
                                     membership::Membership& membership, rollout::Rollout& rollout,
                                     std::function<void()> decide)
    : loop_(loop),
      log_(log),
      membership_(membership),
      rollout_(rollout),
      decide_(std::move(decide)) {}

MembershipMonitor::~MembershipMonitor() {
  loop_.cancel(timer_);
}

void MembershipMonitor::check() {
  const TimePoint now = loop_.now();
  membership_.set_canary_running(rollout_.release_update(now).phase == ReleasePhase::canary);
  if (membership_.expire(now))
    log_.info("proxy count changed",
              {{"live", log::text(membership_.live())},
               {"known", log::text(membership_.known())},
               {"promotion_electorate", log::text(membership_.promotion_electorate())},
               {"rollback_electorate", log::text(membership_.rollback_electorate())}});
  rollout_.set_electorate({membership_.promotion_electorate(), membership_.rollback_electorate()});
  loop_.cancel(timer_);
  if (const auto due = membership_.next_check_at())
    timer_ = loop_.at(std::max(*due, now + 1ms), [this] {
      timer_ = net::Loop::no_timer;
      check();
      decide_();
    });
}

}  // namespace robinhoist::controller
