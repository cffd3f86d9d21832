/// Rule 4: how many requests this proxy may send to an endpoint that is still warming up.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "policy/endpoint_set.h"
#include "time/time_types.h"

namespace robinhoist {

/// Owns what was sent to warming endpoints and what the warm ones have answered of late.
///
/// An endpoint that warms up falls over when all proxies together send it more than a multiple of
/// what it is able to do. Each proxy keeps to its own part: what its warm endpoints carry, times
/// what a warming one may be sent. Where that is less than one request a window, it waits longer
/// between two.
class SlowStartLimiter {
 public:
  /// The endpoint set must outlive this object.
  SlowStartLimiter(const EndpointSettings& settings, const EndpointSet& endpoints);

  /// Makes room for this many endpoints.
  void resize(int endpoint_count);

  /// Forgets when the endpoint was last sent to: it is another process now.
  void reset(int endpoint);

  /// To be called before the endpoint list changes: what the warm endpoints have answered so far
  /// counts by the list as it was then.
  void list_changing();

  void attempt_sent(int endpoint, TimePoint now);

  /// Notes an answer of an endpoint that was warm when the attempt was sent.
  void attempt_succeeded(int endpoint, TimePoint now);

  /// Whether one more request may be sent to the endpoint now; `subset_size` is how many endpoints
  /// of a group each proxy uses.
  bool allows(int endpoint, std::size_t subset_size, TimePoint now);

 private:
  struct State {
    std::deque<TimePoint> sent{};       // while warming up, within the window
    TimePoint last_sent_at = long_ago;  // while warming up
    int successes = 0;                  // while warm, within the window
  };
  struct Success {
    TimePoint at;
    int endpoint;
  };
  double allowance(int endpoint, double reached_by, TimePoint now);
  int warm_endpoints();

  EndpointSettings settings_;
  const EndpointSet& endpoints_;
  std::vector<State> states_{};                  // by endpoint
  std::deque<Success> successes_{};              // of all warm endpoints, within the window
  int warm_endpoints_ = 0;                       // as last counted
  std::optional<TimePoint> count_warm_as_of_{};  // set when that count is out of date
};

}  // namespace robinhoist
