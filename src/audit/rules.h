/// The checks of the auditor, one function a rule. Internal to the package.
#pragma once
#include <string>

#include "audit/audit.h"
#include "audit/events.h"

namespace robinhoist::audit {

/// All processes go by one clock, but threads notice late: what servers and clients saw is taken to
/// be this uncertain. A rule counts as broken only where it is so whichever way the uncertainty
/// falls.
inline constexpr Duration uncertainty = std::chrono::milliseconds(30);

/// Rule 1: each request gets exactly one final answer in time, and no attempt begins after it.
void check_no_request_lost(const Events& events, RuleReport& report);
/// Rule 2: a request that may have run is sent again only where that has no second effect.
void check_no_effect_twice(const Events& events, RuleReport& report);
/// Rule 3: no new work for an endpoint that has been draining for longer than the grace.
void check_drains_kept(const Events& events, RuleReport& report);
/// Rule 4: no server falls over by what proxies sent that had been notified that it is warming up.
void check_slow_start_kept(const Events& events, RuleReport& report);
/// Rule 5: no proxy sends more to the canary than its cap allows. Returns the largest part of a
/// quota that was used.
double check_quota_kept(const Events& events, RuleReport& report);
/// Migration steps run once, in their order, and no server answers before its tables are there.
void check_steps(const Events& events, RuleReport& report);

/// When the process of a proxy began that ran at that time; zero when none did.
TimePoint life_began(const Events& events, const std::string& proxy, TimePoint at);
/// The process of a server that ran at that time; null when none is known.
const ServerStart* server_start_at(const Events& events, const std::string& server, TimePoint at);

/// "1.234 s"
std::string to_text(TimePoint at);
/// "1234 ms", cut to whole ones
std::string to_text(Duration duration);

}  // namespace robinhoist::audit
