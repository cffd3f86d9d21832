/// The checks of the auditor, one function a rule. Internal to the package.
#pragma once
#include <string>

#include "audit/audit.h"
#include "audit/events.h"

namespace robinhoist::audit {

/// All processes share one clock, but a thread may record an event late, so times recorded by
/// servers and clients are uncertain by this much. A rule counts as broken only if it is broken for
/// every possible order within the uncertainty.
inline constexpr Duration uncertainty = std::chrono::milliseconds(30);

/// Rule 1: each request gets exactly one final response in time, and no attempt begins after it.
void check_no_request_lost(const Events& events, RuleReport& report);
/// Rule 2: a request that may have run is retried only where that has no second effect.
void check_no_effect_twice(const Events& events, RuleReport& report);
/// Rule 3: no request is sent to an endpoint that has been draining for longer than the grace
/// period.
void check_drains_kept(const Events& events, RuleReport& report);
/// Rule 4: no server collapses under requests of proxies that were notified that it is warming up.
void check_slow_start_kept(const Events& events, RuleReport& report);
/// Rule 5: no proxy sends more to the canary than its cap allows. Returns the largest share
/// of a quota that was used.
double check_quota_kept(const Events& events, RuleReport& report);
/// Migration steps run once and in order, and no server responds before its tables exist.
void check_steps(const Events& events, RuleReport& report);

/// When the proxy's process that ran at that time started; zero if none ran.
TimePoint process_started_at(const Events& events, const std::string& proxy, TimePoint at);
/// The server's process that ran at that time; null if none is known.
const ServerStart* server_start_at(const Events& events, const std::string& server, TimePoint at);

/// "1.234 s"
std::string to_text(TimePoint at);
/// "1234 ms", truncated
std::string to_text(Duration duration);

}  // namespace robinhoist::audit
