/// In-memory store of request traces with W3C Trace Context ids.
///
/// A request is traced if its client or the proxy sampled it. The number of traces is bounded: the
/// oldest trace is dropped for a new one. This module does no I/O and reads no clock.
#pragma once
#include <cstddef>
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

/// The content of a traceparent header.
struct TraceParent {
  std::string trace_id{};  ///< 32 hexadecimal digits
  std::string span_id{};   ///< 16 hexadecimal digits
  bool sampled = false;
};
/// Returns nothing if the header is not valid; it is then treated as absent.
std::optional<TraceParent> parse_traceparent(std::string_view header);
/// Formats a traceparent header of version 00.
std::string format_traceparent(const TraceParent& parent);

/// A named value of an event. Empty values are omitted from the output.
struct Attribute {
  std::string name;
  std::string value;
};

/// An event of a traced request.
struct Event {
  Duration at{};  ///< since the trace began
  std::string name{};
  std::vector<Attribute> attributes{};
};

/// The events of one request in order of time. Their number is bounded.
class Trace {
 public:
  Trace(std::string request_name, std::string trace_id, std::string span_id, TimePoint began)
      : request_name(std::move(request_name)),
        trace_id(std::move(trace_id)),
        span_id(std::move(span_id)),
        began(began) {}

  void add(TimePoint now, std::string event, std::initializer_list<Attribute> attributes);
  const std::vector<Event>& events() const { return events_; }
  /// Number of events that were dropped because of the bound.
  std::size_t dropped() const { return dropped_; }

  const std::string request_name;  ///< the proxy's own name for the request
  const std::string trace_id;
  const std::string span_id;  ///< of this proxy's span in the trace
  const TimePoint began;
  std::string outcome{};  ///< empty while the request is open

 private:
  std::vector<Event> events_{};
  std::size_t dropped_ = 0;
};
using TracePtr = std::shared_ptr<Trace>;

struct Settings {
  double share = 0;          ///< of requests that the proxy samples, 0 to 1
  std::size_t capacity = 0;  ///< number of traces that are kept; 0 disables tracing
};

class TraceStore {
 public:
  TraceStore(const Settings& settings, unsigned seed) : settings_(settings), random_(seed) {}

  bool enabled() const { return settings_.capacity > 0; }
  /// Begins a trace, or returns null if the request is not sampled.
  TracePtr begin(const std::string& request_name, const std::optional<TraceParent>& parent,
                 TimePoint now);
  /// Finds a trace by the proxy's name for the request or by trace id; of several requests with the
  /// same trace id, the last one. Returns null if there is none.
  TracePtr find(const std::string& id) const;
  /// Oldest first.
  const std::deque<TracePtr>& all() const { return traces_; }

 private:
  bool sampled(const std::optional<TraceParent>& parent);
  std::string random_id(int digits);
  void drop_oldest();

  Settings settings_;
  std::minstd_rand random_;
  std::deque<TracePtr> traces_{};
  std::unordered_map<std::string, std::weak_ptr<Trace>> by_id_{};
};

}  // namespace robinhoist::tracing
