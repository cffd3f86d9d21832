/// An HTTP/1.1 server on a loop.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/exchange.h"
#include "http/message.h"
#include "net/listener.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

struct ServerSettings {
  std::string listen{"127.0.0.1:0"};  ///< host:port; port 0 takes any that is free
  MessageLimits limits{};
  std::size_t max_clients = 10000;
  Duration request_timeout = std::chrono::seconds(10);  ///< for a request to come whole, once begun
  Duration idle_timeout = std::chrono::seconds(60);     ///< between two requests
  /// For the first request to come whole, from the connection on; zero: as any other.
  Duration first_request_timeout{};
  bool evict_idle = false;  ///< at max_clients, the client that is owed least makes room
  /// Bytes that a client may leave unread before its stream is cut.
  std::size_t stream_backlog = std::size_t{256} * 1024;
};

/// Takes clients and hands each of their requests to a handler. Answers leave in the order of the
/// requests. A client that sends what is no request gets one clear answer and a closed connection.
class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;

  /// Throws std::runtime_error when the address cannot be listened on.
  Server(net::Loop& loop, const ServerSettings& settings, Handler handler);
  /// Breaks the connections that are left.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return listener_->port(); }
  std::size_t clients() const { return clients_.size(); }
  /// How often there was no file descriptor for a new client.
  long starved() const { return listener_->starved(); }
  /// How many clients were turned away.
  long refused() const { return refused_; }

  /// First step of a graceful shutdown: new clients are still taken, but each is closed after its
  /// next answer, and those without a request at once.
  void begin_shutdown();
  /// Second step: takes no new clients; those it has are closed once they have no request open.
  void drain();

  /// Takes no clients for a while, or again.
  void pause(bool paused) { listener_->pause(paused); }
  /// Takes no more clients than this from now on.
  void set_max_clients(std::size_t clients) { settings_.max_clients = clients; }
  /// Closes clients without an open request until this many are left, as far as there are such.
  void close_idle(std::size_t left);
  /// Breaks every connection at once.
  void reset_connections();

 private:
  friend class ServerConnection;
  void accept(int fd);
  bool make_room();
  bool shutting_down() const { return draining_ || shutdown_begun_; }

  net::Loop& loop_;
  ServerSettings settings_;
  Handler handler_;
  std::unique_ptr<net::Listener> listener_;
  std::set<std::shared_ptr<ServerConnection>> clients_{};
  long refused_ = 0;
  bool shutdown_begun_ = false;
  bool draining_ = false;
};

}  // namespace robinhoist::http
