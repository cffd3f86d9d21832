// The ways of single requests through an proxy, for those that were sampled or asked for (W3C Trace
// Context). A bounded ring: the oldest is let go. Free of I/O and clocks; a request that is not
// traced costs one comparison.
#pragma once
#include <chrono>
#include <deque>
#include <initializer_list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::tracing {

// 00-<32 hex>-<16 hex>-<2 hex>: trace, parent, flags. Nothing when it is none, which is then as if
// it were not there.
struct Parent {
  std::string trace{}, span{};
  bool sampled = false;
};
std::optional<Parent> parent_of(std::string_view traceparent);
std::string written(const Parent& parent);

struct Event {
  Duration at{};  // since the trace began
  std::string what{};
  std::vector<std::pair<std::string, std::string>> figures{};
};

class Trace {
 public:
  Trace(std::string request_name, std::string trace, std::string span, TimePoint began)
      : request_name(std::move(request_name)),
        trace(std::move(trace)),
        span(std::move(span)),
        began(began) {}
  void note(TimePoint now, std::string what,
            std::initializer_list<std::pair<std::string, std::string>> figures);
  const std::string request_name, trace,
      span;  // the proxy's name for it; the trace's id; the id of our part in it
  const TimePoint began;
  const std::vector<Event>& events() const { return events_; }
  std::size_t dropped() const { return dropped_; }
  std::string outcome{};  // empty while it is open

 private:
  std::vector<Event> events_{};
  std::size_t dropped_ = 0;
};
using TracePtr = std::shared_ptr<Trace>;

struct Settings {
  double share = 0;      // of the requests that nobody asked to trace
  std::size_t keep = 0;  // traces; 0: none at all, also when asked for
};

class TraceStore {
 public:
  TraceStore(const Settings& settings, unsigned salt) : settings_(settings), random_(salt) {}
  // Null when it is not traced.
  TracePtr begin(const std::string& request_name, const std::optional<Parent>& parent,
                 TimePoint now);
  bool on() const { return settings_.keep > 0; }
  // By the proxy's name for the request or the trace's id; the last of that trace.
  TracePtr find(const std::string& id) const;
  const std::deque<TracePtr>& all() const { return traces_; }

 private:
  std::string drawn(int digits);
  Settings settings_;
  std::minstd_rand random_;
  std::deque<TracePtr> traces_{};
  std::unordered_map<std::string, std::weak_ptr<Trace>> by_id_{};
};

}  // namespace robinhoist::tracing
