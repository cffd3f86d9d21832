/// The platform's services as simulated by the soak: the endpoint list and the release.
#pragma once
#include <string>
#include <vector>

#include "http/server.h"
#include "net/loop.h"
#include "observer.h"
#include "registry/registry.h"
#include "release.h"

namespace robinhoist::soak {

/// The endpoint list, shared by the services at all addresses.
class EndpointList {
 public:
  explicit EndpointList(Observer& observer) : observer_(observer) {}

  void add(const registry::Endpoint& endpoint) { entries_.push_back(endpoint); }
  void set_draining(std::size_t endpoint);
  int version() const { return version_; }
  /// The complete list as a line of the watch.
  std::string complete_line() const;
  /// The last change as a line of the watch.
  std::string last_change_line() const;
  /// Records that the complete list or the last change was sent to the proxy.
  void record_sent(bool complete) const;

 private:
  std::string line(const std::vector<registry::Endpoint>& entries, bool complete) const;

  Observer& observer_;
  std::vector<registry::Endpoint> entries_{};
  std::size_t last_changed_ = 0;
  int version_ = 8;
};

/// Both services at one address.
class Services {
 public:
  Services(net::Loop& loop, EndpointList& list, Release& release);
  ~Services();
  Services(const Services&) = delete;
  Services& operator=(const Services&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  /// Writes the last change to all open watches of the list.
  void push_change();
  /// Writes a line to all open watches of the release. Returns whether there was one.
  bool write_release_watches(const std::string& line);
  /// Sends no more data on the open list watches. New watches are served normally.
  void stall_list_watches();
  /// Stops accepting connections, and closes the open ones a little later.
  void shut_down();

 private:
  void handle(const http::ExchangePtr& exchange);
  void send_keepalives();

  net::Timers timers_;
  EndpointList& list_;
  Release& release_;
  std::vector<http::ExchangePtr> list_watches_{};
  std::vector<http::ExchangePtr> release_watches_{};
  int ticks_ = 0;
  http::Server server_;
};

}  // namespace robinhoist::soak
