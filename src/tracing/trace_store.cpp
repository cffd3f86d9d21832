#include "tracing/trace_store.h"

#include <algorithm>

namespace robinhoist::tracing {
namespace {

constexpr std::size_t max_events = 64;  // per trace

constexpr int trace_id_digits = 32;
constexpr int span_id_digits = 16;

// Layout of a traceparent header: 00-<32 digits>-<16 digits>-<2 digits>.
constexpr std::size_t version_at = 0;
constexpr std::size_t trace_id_at = 3;
constexpr std::size_t span_id_at = 36;
constexpr std::size_t flags_at = 53;
constexpr std::size_t header_length = 55;
constexpr unsigned sampled_flag = 1;

bool is_hex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_zero(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
}

bool is_id(std::string_view text) {
  return is_hex(text) && !is_zero(text);
}

unsigned hex_value(char digit) {
  return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

}  // namespace

std::optional<TraceParent> parse_traceparent(std::string_view header) {
  if (header.size() < header_length)
    return {};
  for (const std::size_t field_at : {trace_id_at, span_id_at, flags_at})
    if (header[field_at - 1] != '-')
      return {};
  const std::string_view version = header.substr(version_at, 2);
  const std::string_view trace_id = header.substr(trace_id_at, trace_id_digits);
  const std::string_view span_id = header.substr(span_id_at, span_id_digits);
  const std::string_view flags = header.substr(flags_at, 2);
  if (!is_hex(version) || version == "ff" || !is_id(trace_id) || !is_id(span_id) || !is_hex(flags))
    return {};
  // Later versions may append fields.
  const bool has_more = header.size() > header_length;
  if (has_more && (version == "00" || header[header_length] != '-'))
    return {};
  return TraceParent{.trace_id = std::string(trace_id),
                     .span_id = std::string(span_id),
                     .sampled = (hex_value(flags[1]) & sampled_flag) != 0};
}

std::string format_traceparent(const TraceParent& parent) {
  const char* flags = parent.sampled ? "01" : "00";
  return "00-" + parent.trace_id + "-" + parent.span_id + "-" + flags;
}

void Trace::add(TimePoint now, std::string event, std::initializer_list<Attribute> attributes) {
  if (events_.size() >= max_events) {
    ++dropped_;
    return;
  }
  events_.push_back({now - began, std::move(event), attributes});
}

std::string TraceStore::random_id(int digits) {
  std::string id;
  std::uniform_int_distribution<std::size_t> digit(0, 15);
  for (int i = 0; i < digits; ++i)
    id += "0123456789abcdef"[digit(random_)];
  if (is_zero(id))
    id.back() = '1';
  return id;
}

bool TraceStore::sampled(const std::optional<TraceParent>& parent) {
  if (parent && parent->sampled)
    return true;
  if (settings_.share <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < settings_.share;
}

TracePtr TraceStore::begin(const std::string& request_name,
                           const std::optional<TraceParent>& parent, TimePoint now) {
  if (!enabled() || !sampled(parent))
    return nullptr;
  // The span id is drawn before the trace id. The order must not change, so that a seed keeps
  // producing the same ids.
  const std::string span_id = random_id(span_id_digits);
  const std::string trace_id = parent ? parent->trace_id : random_id(trace_id_digits);
  auto trace = std::make_shared<Trace>(request_name, trace_id, span_id, now);
  while (traces_.size() >= settings_.capacity)
    drop_oldest();
  traces_.push_back(trace);
  by_id_[trace->request_name] = trace;
  by_id_[trace->trace_id] = trace;
  return trace;
}

void TraceStore::drop_oldest() {
  const TracePtr& oldest = traces_.front();
  for (const std::string* id : {&oldest->request_name, &oldest->trace_id}) {
    // The id may refer to a later request of the same trace by now.
    const auto registered = by_id_.find(*id);
    if (registered != by_id_.end() && registered->second.lock() == oldest)
      by_id_.erase(registered);
  }
  traces_.pop_front();
}

TracePtr TraceStore::find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second.lock();
}

}  // namespace robinhoist::tracing
