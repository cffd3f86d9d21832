/// The open watches of releases. Each receives every change that its selector matches, once and in
/// order, as a line of JSON in a chunked response. Watches of proxies are served first and at once;
/// the others are served in batches, so that a thousand of them delay neither proxies nor votes. A
/// client that reads too slowly is disconnected after a last line with the reason.
///
/// The stream consists of lines rather than server-sent events: proxies and shell scripts can read
/// lines without further support, resuming by version needs no event ids, and browsers are served
/// by the console's own stream.
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

/// The options that a client gives for a watch.
struct WatchOptions {
  objects::Selector selector{};
  bool brief = false;
  /// Resume after this version; no value: list all objects first.
  std::optional<std::int64_t> resume_after{};
  /// The name of the watching proxy; empty for other clients.
  std::string proxy{};
  /// The watch ends after this time; zero: no limit.
  Duration timeout{};
};

/// Owns the HTTP exchanges of the watches until they end.
class Watches {
 public:
  /// Called for each object that is written to a proxy's connection.
  using NotifiedCallback =
      std::function<void(const std::string& proxy, const objects::Snapshot& object)>;

  Watches(net::Loop& loop, const objects::Store& store, const std::string& series,
          const WatchSettings& settings, NotifiedCallback notified);
  ~Watches();
  Watches(const Watches&) = delete;
  Watches& operator=(const Watches&) = delete;

  /// Begins the response of a watch; returns false without doing anything if too many are open.
  bool add(const http::ExchangePtr& exchange, WatchOptions options);
  /// Must be called after each change of the store.
  void notify();
  std::size_t count() const { return watches_.size(); }
  /// The number of watches that were disconnected because they read too slowly.
  long dropped() const { return dropped_; }

 private:
  struct Watch {
    http::ExchangePtr exchange;
    WatchOptions options;
    std::int64_t version = 0;  // the last version sent
    net::Loop::Timer timeout = net::Loop::no_timer;
    bool disconnected = false;
  };
  using Position = std::list<Watch>::iterator;

  // These return false if the watch has to be removed.
  bool send_initial(Watch& watch);
  bool send_changes(Watch& watch);
  bool send_object(Watch& watch, const char* type, const objects::Snapshot& object);
  bool send_bookmark(Watch& watch);

  void set_end_handlers(Position watch);
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
  std::list<Watch> watches_{};      // watches of proxies come first
  Position next_ = watches_.end();  // the next watch to serve in this pass
  bool pass_running_ = false;
  bool pass_pending_ = false;  // the store has changed during a pass
  long dropped_ = 0;
  net::Timers timers_;
};

}  // namespace robinhoist::controller
