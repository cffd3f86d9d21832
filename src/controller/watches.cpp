#include "controller/watches.h"

#include "json/writer.h"

namespace robinhoist::controller {
namespace {
using namespace std::chrono_literals;
constexpr int at_a_time = 50;

std::string error_line(int code, const char* reason, std::int64_t version) {
  return json::Writer()
             .begin_object()
             .put("type", "ERROR")
             .begin_object("object")
             .put("code", code)
             .put("reason", reason)
             .put("resourceVersion", std::to_string(version))
             .end_object()
             .end_object()
             .text() +
         "\n";
}
}  // namespace

Watches::Watches(net::Loop& loop, const objects::Store& store, const std::string& series,
                 const WatchSettings& settings, Told told)
    : loop_(loop),
      store_(store),
      series_(series),
      settings_(settings),
      told_(std::move(told)),
      timers_(loop) {
  timers_.in(settings_.bookmark_every, [this] { bookmarks(); });
}

Watches::~Watches() {
  for (Watcher& one : watchers_) {
    loop_.cancel(one.end);
    one.exchange->on_disconnect = nullptr;
  }
}

double Watches::age_ms(const objects::Snapshot& what) const {
  const double age = static_cast<double>(net::wall_now().time_since_epoch().count()) / 1e3 -
                     static_cast<double>(what.since_ms);
  return age > 0 ? age : 0;
}

bool Watches::write(Watcher& watcher, const char* type, const objects::Snapshot& what) {
  std::string line = json::Writer()
                         .begin_object()
                         .put("type", type)
                         .put("version", static_cast<long>(what.version))
                         .put("ageMs", age_ms(what))
                         .end_object()
                         .text();
  line.pop_back();
  line += ",\"object\":" + (watcher.ask.brief ? what.brief : what.full) + "}\n";
  if (told_ && !watcher.ask.proxy.empty())
    told_(watcher.ask.proxy, what);
  return watcher.exchange->write(line);
}

bool Watches::bookmark(Watcher& watcher) {
  return watcher.exchange->write(json::Writer()
                                     .begin_object()
                                     .put("type", "BOOKMARK")
                                     .put("version", static_cast<long>(watcher.version))
                                     .put("series", series_)
                                     .end_object()
                                     .text() +
                                 "\n");
}

bool Watches::add(const http::ExchangePtr& exchange, WatchAsk ask) {
  if (watchers_.size() >= settings_.most)
    return false;
  const bool first = !ask.proxy.empty();
  const At at =
      watchers_.insert(first ? watchers_.begin() : watchers_.end(), {exchange, std::move(ask)});
  http::Response head;
  head.headers.add("Content-Type", "application/json;stream=watch");
  head.headers.add("Cache-Control", "no-store");
  exchange->begin_stream(head);
  exchange->on_disconnect = [this, at] {
    at->gone = true;
    remove(at);
  };
  if (at->ask.within > Duration{})
    at->end = loop_.in(at->ask.within, [this, at] {
      at->end = net::Loop::no_timer;
      remove(at);
    });
  bool well = true;
  if (at->ask.since) {
    at->version = *at->ask.since;
  } else {
    at->version = store_.version();
    for (auto& [name, object] : store_.objects())
      if (at->ask.selector.takes(object->labels, object->fields))
        well = well && write(*at, "ADDED", *object);
  }
  // The first bookmark says that all there was has been told, and of which series the versions are.
  if (!(well && bookmark(*at) && serve(*at)))
    remove(at);
  return true;
}

// False: it is to be removed.
bool Watches::serve(Watcher& watcher) {
  if (watcher.gone)
    return false;
  if (store_.since(watcher.version) != objects::Since::held) {
    watcher.exchange->write(error_line(410, "Expired", watcher.version));
    return false;
  }
  while (const objects::Event* event = store_.after(watcher.version)) {
    watcher.version = event->now->version;
    const auto change = objects::seen(*event, watcher.ask.selector, watcher.ask.brief);
    if (!change)
      continue;
    if (!write(watcher, objects::to_string(*change), *event->now)) {
      ++cut_;
      watcher.exchange->write(error_line(429, "TooSlow", watcher.version));
      return false;
    }
  }
  return true;
}

void Watches::wake() {
  for (At at = watchers_.begin(); at != watchers_.end() && !at->ask.proxy.empty();) {
    const At one = at++;
    if (!serve(*one))
      remove(one);
  }
  if (serving_) {
    again_ = true;
    return;
  }
  serving_ = true;
  next_ = watchers_.begin();
  serve_some();
}

void Watches::serve_some() {
  for (int served = 0; served < at_a_time && next_ != watchers_.end();) {
    const At at = next_++;
    if (!at->ask.proxy.empty())
      continue;
    ++served;
    if (!serve(*at))
      remove(at);
  }
  if (next_ == watchers_.end()) {
    serving_ = false;
    if (!again_)
      return;
    again_ = false;
    serving_ = true;
    next_ = watchers_.begin();
  }
  timers_.in(0ms, [this] { serve_some(); });
}

void Watches::remove(At at) {
  if (next_ == at)
    ++next_;
  loop_.cancel(at->end);
  if (!at->gone) {
    at->exchange->on_disconnect = nullptr;
    at->exchange->end();
  }
  watchers_.erase(at);
}

void Watches::bookmarks() {
  for (At at = watchers_.begin(); at != watchers_.end();) {
    const At one = at++;
    if (one->version == store_.version() && !bookmark(*one))
      remove(one);
  }
  timers_.in(settings_.bookmark_every, [this] { bookmarks(); });
}

}  // namespace robinhoist::controller
