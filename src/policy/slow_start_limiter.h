/// Slow start: limits the requests that this proxy sends to an endpoint that is warming up.
/// Implements rule 4 of audit/rules.h.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "policy/endpoint_set.h"
#include "time/time_types.h"

namespace robinhoist {

/// Owns the times of attempts sent to endpoints that are warming up, and the recent successes of
/// warm endpoints.
///
/// An endpoint that is warming up collapses if all proxies together send it more than a multiple of
/// its present capacity. Each proxy limits itself to its own part of that: the recent throughput of
/// its warm endpoints, scaled to the permitted load of a cold one. If that is less than one request
/// per window, the proxy waits correspondingly longer between two requests.
class SlowStartLimiter {
 public:
  /// The endpoint set must outlive this object.
  SlowStartLimiter(const EndpointSettings& settings, const EndpointSet& endpoints);

  /// Makes room for this many endpoints.
  void resize(int endpoint_count);

  /// Clears the time of the last attempt at the endpoint, because it is a new process now.
  void reset(int endpoint);

  /// Must be called before the endpoint list changes: the successes so far are attributed to the
  /// endpoints of the old list.
  void list_changing();

  void attempt_sent(int endpoint, TimePoint now);

  /// Records a success of an endpoint that was warm when the attempt was sent.
  void attempt_succeeded(int endpoint, TimePoint now);

  /// Whether one more request may be sent to the endpoint now; `subset_size` is the number of
  /// endpoints of a group that each proxy uses.
  bool allows(int endpoint, std::size_t subset_size, TimePoint now);

 private:
  struct State {
    std::deque<TimePoint> sent{};       // attempts sent during warm-up, within the window
    TimePoint last_sent_at = long_ago;  // the last attempt during warm-up
    int successes = 0;                  // when warm, within the window
  };
  struct Success {
    TimePoint at;
    int endpoint;
  };
  double allowance(int endpoint, double proxy_share, TimePoint now);
  int warm_endpoints();

  EndpointSettings settings_;
  const EndpointSet& endpoints_;
  std::vector<State> states_{};                  // by endpoint
  std::deque<Success> successes_{};              // of all warm endpoints, within the window
  int warm_endpoints_ = 0;                       // as last counted
  std::optional<TimePoint> count_warm_as_of_{};  // set when that count is outdated
};

}  // namespace robinhoist
