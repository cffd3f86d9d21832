#include "controller/watches.h"

#include "json/writer.h"

namespace robinhoist::controller {
namespace {

using namespace std::chrono_literals;

constexpr int batch_size = 50;

std::string error_line(int code, const char* reason, std::int64_t version) {
  json::Writer out;
  out.begin_object();
  out.put("type", "ERROR");
  out.begin_object("object");
  out.put("code", code);
  out.put("reason", reason);
  out.put("resourceVersion", std::to_string(version));
  out.end_object();
  out.end_object();
  return out.text() + "\n";
}

// The age of the state that an object shows.
double age_ms(const objects::Snapshot& object) {
  const double now_ms = static_cast<double>(net::wall_now().time_since_epoch().count()) / 1e3;
  const double age = now_ms - static_cast<double>(object.since.time_since_epoch().count());
  return age > 0 ? age : 0;
}

}  // namespace

Watches::Watches(net::Loop& loop, const objects::Store& store, const std::string& series,
                 const WatchSettings& settings, NotifiedCallback notified)
    : loop_(loop),
      store_(store),
      series_(series),
      settings_(settings),
      notified_(std::move(notified)),
      timers_(loop) {
  timers_.in(settings_.bookmark_interval, [this] { send_bookmarks(); });
}

Watches::~Watches() {
  for (Watch& watch : watches_) {
    loop_.cancel(watch.timeout);
    watch.exchange->on_disconnect = nullptr;
  }
}

bool Watches::add(const http::ExchangePtr& exchange, WatchOptions options) {
  if (watches_.size() >= settings_.max_watches)
    return false;
  const bool is_proxy = !options.proxy.empty();
  const Position watch =
      watches_.insert(is_proxy ? watches_.begin() : watches_.end(), {exchange, std::move(options)});
  http::Response head;
  head.headers.add("Content-Type", "application/json;stream=watch");
  head.headers.add("Cache-Control", "no-store");
  exchange->begin_stream(head);
  set_end_handlers(watch);
  // The first bookmark marks the end of the initial list and gives the series of the versions.
  if (!(send_initial(*watch) && send_bookmark(*watch) && send_changes(*watch)))
    remove(watch);
  return true;
}

void Watches::set_end_handlers(Position watch) {
  watch->exchange->on_disconnect = [this, watch] {
    watch->disconnected = true;
    remove(watch);
  };
  if (watch->options.timeout > Duration{})
    watch->timeout = loop_.in(watch->options.timeout, [this, watch] {
      watch->timeout = net::Loop::no_timer;
      remove(watch);
    });
}

bool Watches::send_initial(Watch& watch) {
  if (watch.options.resume_after) {
    watch.version = *watch.options.resume_after;
    return true;
  }
  watch.version = store_.version();
  for (const auto& [name, object] : store_.objects()) {
    if (!watch.options.selector.matches(object->labels, object->fields))
      continue;
    if (!send_object(watch, objects::to_string(objects::Change::added), *object))
      return false;
  }
  return true;
}

bool Watches::send_object(Watch& watch, const char* type, const objects::Snapshot& object) {
  json::Writer out;
  out.begin_object();
  out.put("type", type);
  out.put("version", static_cast<long>(object.version));
  out.put("ageMs", age_ms(object));
  out.end_object();
  std::string line = out.text();
  line.pop_back();
  line += ",\"object\":" + (watch.options.brief ? object.brief : object.full) + "}\n";
  if (notified_ && !watch.options.proxy.empty())
    notified_(watch.options.proxy, object);
  return watch.exchange->write(line);
}

bool Watches::send_bookmark(Watch& watch) {
  json::Writer out;
  out.begin_object();
  out.put("type", "BOOKMARK");
  out.put("version", static_cast<long>(watch.version));
  out.put("series", series_);
  out.end_object();
  return watch.exchange->write(out.text() + "\n");
}

bool Watches::send_changes(Watch& watch) {
  if (watch.disconnected)
    return false;
  if (store_.history_after(watch.version) != objects::History::available) {
    watch.exchange->write(error_line(410, "Expired", watch.version));
    return false;
  }
  while (const objects::Event* event = store_.first_event_after(watch.version)) {
    watch.version = event->now->version;
    const auto change =
        objects::change_for_watch(*event, watch.options.selector, watch.options.brief);
    if (!change)
      continue;
    if (!send_object(watch, objects::to_string(*change), *event->now)) {
      ++dropped_;
      watch.exchange->write(error_line(429, "TooSlow", watch.version));
      return false;
    }
  }
  return true;
}

void Watches::notify() {
  serve_proxies();
  if (pass_running_) {
    pass_pending_ = true;
    return;
  }
  start_pass();
  serve_batch();
}

void Watches::serve_proxies() {
  Position next = watches_.begin();
  while (next != watches_.end() && !next->options.proxy.empty()) {
    const Position watch = next++;
    if (!send_changes(*watch))
      remove(watch);
  }
}

void Watches::start_pass() {
  pass_running_ = true;
  pass_pending_ = false;
  next_ = watches_.begin();
}

void Watches::serve_batch() {
  int served = 0;
  while (served < batch_size && next_ != watches_.end()) {
    const Position watch = next_++;
    if (!watch->options.proxy.empty())
      continue;
    ++served;
    if (!send_changes(*watch))
      remove(watch);
  }
  if (next_ == watches_.end()) {
    pass_running_ = false;
    if (!pass_pending_)
      return;
    start_pass();
  }
  timers_.in(0ms, [this] { serve_batch(); });
}

void Watches::remove(Position watch) {
  if (next_ == watch)
    ++next_;
  loop_.cancel(watch->timeout);
  if (!watch->disconnected) {
    watch->exchange->on_disconnect = nullptr;
    watch->exchange->end();
  }
  watches_.erase(watch);
}

void Watches::send_bookmarks() {
  Position next = watches_.begin();
  while (next != watches_.end()) {
    const Position watch = next++;
    if (watch->version == store_.version() && !send_bookmark(*watch))
      remove(watch);
  }
  timers_.in(settings_.bookmark_interval, [this] { send_bookmarks(); });
}

}  // namespace robinhoist::controller
