/// The open watches of releases. Each gets every change that its selector matches, once and in
/// order, as a line of JSON in a chunked response. Watches of proxies are served first and at once;
/// the others a batch at a time, so that a thousand of them delay neither proxies nor votes. A
/// client that does not read is disconnected, with a last line that says so.
///
/// Lines rather than server-sent events: a proxy and a shell read lines with what they have, a
/// resumption by version needs no event ids, and browsers are served by the console's own stream.
#pragma once
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "http/server.h"
#include "net/loop.h"
#include "objects/store.h"
#include "time/time_types.h"

namespace robinhoist::controller {

struct WatchSettings {
  std::size_t max_watches = 5000;
  Duration bookmark_interval = std::chrono::seconds(5);
};

/// What a client asks a watch for.
struct WatchOptions {
  objects::Selector selector{};
  bool brief = false;
  /// Resume after this version; nothing: list all objects first.
  std::optional<std::int64_t> resume_after{};
  /// The name of the proxy that watches; empty for another client.
  std::string proxy{};
  /// The watch ends after this; zero: never.
  Duration timeout{};
};

/// Owns the watches' exchanges until they end.
class Watches {
 public:
  /// Told of each object that was written to a proxy's connection.
  using NotifiedCallback =
      std::function<void(const std::string& proxy, const objects::Snapshot& object)>;

  Watches(net::Loop& loop, const objects::Store& store, const std::string& series,
          const WatchSettings& settings, NotifiedCallback notified);
  ~Watches();
  Watches(const Watches&) = delete;
  Watches& operator=(const Watches&) = delete;

  /// Begins the response of a watch; false, and nothing done, when too many are open.
  bool add(const http::ExchangePtr& exchange, WatchOptions options);
  /// To be called after each change of the store.
  void notify();
  std::size_t count() const { return watches_.size(); }
  /// How many were disconnected because they read too slowly.
  long dropped() const { return dropped_; }

 private:
  struct Watch {
    http::ExchangePtr exchange;
    WatchOptions options;
    std::int64_t version = 0;  // sent up to here
    net::Loop::Timer timeout = net::Loop::no_timer;
    bool disconnected = false;
  };
  using Position = std::list<Watch>::iterator;

  // These return false when the watch has to be removed.
  bool send_initial(Watch& watch);
  bool send_changes(Watch& watch);
  bool send_object(Watch& watch, const char* type, const objects::Snapshot& object);
  bool send_bookmark(Watch& watch);

  void set_end(Position watch);
  void serve_proxies();
  void serve_batch();
  void start_pass();
  void remove(Position watch);
  void send_bookmarks();

  net::Loop& loop_;
  const objects::Store& store_;
  std::string series_;
  WatchSettings settings_;
  NotifiedCallback notified_;
  std::list<Watch> watches_{};      // those of proxies in front
  Position next_ = watches_.end();  // the next to be served in this pass
  bool pass_running_ = false;
  bool pass_wanted_ = false;  // the store has changed during a pass
  long dropped_ = 0;
  net::Timers timers_;
};

}  // namespace robinhoist::controller
