#include "tracing/trace_store.h"

#include <algorithm>

namespace robinhoist::tracing {
namespace {

constexpr std::size_t events_most =
    64;  // of one request: repeats are bounded, but not by this package

bool hex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool zero(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
}

}  // namespace

std::optional<Parent> parent_of(std::string_view text) {
  // Later versions may be longer, and begin with the same four parts.
  if (text.size() < 55 || text[2] != '-' || text[35] != '-' || text[52] != '-')
    return {};
  const std::string_view version = text.substr(0, 2), trace = text.substr(3, 32),
                         span = text.substr(36, 16), flags = text.substr(53, 2);
  if (!hex(version) || version == "ff" || !hex(trace) || zero(trace) || !hex(span) || zero(span) ||
      !hex(flags))
    return {};
  if (text.size() > 55 && (version == "00" || text[55] != '-'))
    return {};
  const char low = flags[1];
  const int value = low <= '9' ? low - '0' : low - 'a' + 10;
  return Parent{std::string(trace), std::string(span), (value & 1) != 0};
}

std::string written(const Parent& parent) {
  return "00-" + parent.trace + "-" + parent.span + (parent.sampled ? "-01" : "-00");
}

void Trace::note(TimePoint now, std::string what,
                 std::initializer_list<std::pair<std::string, std::string>> figures) {
  if (events_.size() >= events_most) {
    ++dropped_;
    return;
  }
  events_.push_back({now - began, std::move(what), figures});
}

std::string TraceStore::drawn(int digits) {
  std::string text;
  std::uniform_int_distribution<int> digit(0, 15);
  for (int i = 0; i < digits; ++i)
    text += "0123456789abcdef"[digit(random_)];
  if (zero(text))
    text.back() = '1';
  return text;
}

TracePtr TraceStore::begin(const std::string& request_name, const std::optional<Parent>& parent,
                           TimePoint now) {
  if (!on())
    return nullptr;
  const bool asked = parent && parent->sampled;
  if (!asked && (settings_.share <= 0 ||
                 std::uniform_real_distribution<double>(0, 1)(random_) >= settings_.share))
    return nullptr;
  auto trace =
      std::make_shared<Trace>(request_name, parent ? parent->trace : drawn(32), drawn(16), now);
  while (traces_.size() >= settings_.keep) {
    const Trace& old = *traces_.front();
    // Another request of the same trace may have taken its place.
    for (const std::string* id : {&old.request_name, &old.trace})
      if (auto at = by_id_.find(*id); at != by_id_.end() && at->second.lock() == traces_.front())
        by_id_.erase(at);
    traces_.pop_front();
  }
  traces_.push_back(trace);
  by_id_[trace->request_name] = trace;
  by_id_[trace->trace] = trace;
  return trace;
}

TracePtr TraceStore::find(const std::string& id) const {
  auto at = by_id_.find(id);
  return at == by_id_.end() ? nullptr : at->second.lock();
}

}  // namespace robinhoist::tracing
