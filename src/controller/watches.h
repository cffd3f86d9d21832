// Those that watch releases: each gets every change of its selection once, in order, as a line of
// JSON in a chunked answer. Proxies come first and in one go; the rest are served a few at a time,
// so that a thousand of them keep neither proxies nor votes waiting. One that does not read is cut,
// with a last line that says so.
//
// Lines rather than server-sent events: an proxy and a shell read lines with what they have, a
// resumption by version needs no event ids, and browsers are served by the console's own stream.
#pragma once
#include <functional>
#include <list>
#include <string>

#include "http/server.h"
#include "net/loop.h"
#include "objects/store.h"
#include "time/time_types.h"

namespace robinhoist::controller {

struct WatchSettings {
  std::size_t most = 5000;
  Duration bookmark_every = std::chrono::seconds(5);
};

struct WatchAsk {
  objects::Selector selector{};
  bool brief = false;
  std::optional<std::int64_t> since{};  // none: all that there is first
  std::string proxy{};
  Duration within{};  // 0: without end
};

class Watches {
 public:
  // What was written to an proxy's connection.
  using Told = std::function<void(const std::string& proxy, const objects::Snapshot& what)>;
  Watches(net::Loop& loop, const objects::Store& store, const std::string& series,
          const WatchSettings& settings, Told told);
  ~Watches();
  Watches(const Watches&) = delete;
  Watches& operator=(const Watches&) = delete;

  // False when there is no room for one more.
  bool add(const http::ExchangePtr& exchange, WatchAsk ask);
  // The store has taken something.
  void wake();
  std::size_t count() const { return watchers_.size(); }
  long cut() const { return cut_; }

 private:
  struct Watcher {
    http::ExchangePtr exchange;
    WatchAsk ask;
    std::int64_t version = 0;  // told up to here
    net::Loop::Timer end = net::Loop::no_timer;
    bool gone = false;
  };
  using At = std::list<Watcher>::iterator;
  bool serve(Watcher& watcher);
  bool write(Watcher& watcher, const char* type, const objects::Snapshot& what);
  bool bookmark(Watcher& watcher);
  void serve_some();
  void remove(At at);
  void bookmarks();
  double age_ms(const objects::Snapshot& what) const;

  net::Loop& loop_;
  const objects::Store& store_;
  std::string series_;
  WatchSettings settings_;
  Told told_;
  std::list<Watcher> watchers_{};  // proxies in front
  At next_ = watchers_.end();      // of those served a few at a time
  bool serving_ = false, again_ = false;
  long cut_ = 0;
  net::Timers timers_;
};

}  // namespace robinhoist::controller
