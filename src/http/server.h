/// An HTTP/1.1 server on an event loop.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/exchange.h"
#include "http/memory_budget.h"
#include "http/message.h"
#include "net/listener.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// A request that was rejected before it reached the handler.
struct RejectedInput {
  std::string client;  ///< host:port
  int status;
  std::string reason;
};

/// Why the server rejected input and closed connections, since its start.
struct ServerCounters {
  long accepted = 0;            ///< connections
  long refused = 0;             ///< connections closed at once because there were too many
  long deferrals = 0;           ///< how often connections were left in the kernel's queue
  long invalid_requests = 0;    ///< rejected because they could not be read
  long timed_out_requests = 0;  ///< rejected because their end did not come in time
  long shed_requests = 0;       ///< parts of requests rejected for the limits on clients or memory
  long closed_idle = 0;         ///< connections closed between two requests
  long lost_with_request = 0;   ///< connections that the client ended while its request was open
  long pipelines_dropped = 0;   ///< connections with too much behind an open request
};

struct ServerSettings {
  std::string listen{"127.0.0.1:0"};  ///< host:port; port 0 selects a free port
  MessageLimits limits{};
  std::size_t max_clients = 10000;
  Duration request_timeout = std::chrono::seconds(10);  ///< from a request's first byte to its last
  Duration idle_timeout = std::chrono::seconds(60);     ///< between two requests
  /// From the accept to the last byte of the first request; zero: the first request has the same
  /// time-outs as the others.
  Duration first_request_timeout{};
  /// At max_clients, close a client without an open request to accept a new one. New clients and
  /// those that have just begun a request are kept; while there are no others, further clients wait
  /// in the kernel's queue.
  bool evict_idle = false;
  /// Bytes that a client may leave unread before its stream is ended.
  std::size_t stream_backlog = std::size_t{256} * 1024;
  /// How many requests a second on one connection the handler may answer at once, such as those
  /// that it rejects. A client that sends more of them is read later. Zero: no limit.
  double max_immediate_responses_per_s = 0;
  /// Limits the memory held for clients; null: no limit.
  std::shared_ptr<MemoryBudget> memory{};
  /// Is called for each request that is rejected before it reaches the handler; may be empty.
  std::function<void(const RejectedInput&)> on_rejection{};
};

/// Accepts clients and passes each of their requests to a handler. Responses are sent in the order
/// of the requests. A client that sends an invalid request gets an error response, and its
/// connection is closed.
class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;

  /// Throws std::runtime_error when it cannot listen on the address.
  Server(net::Loop& loop, const ServerSettings& settings, Handler handler);
  /// Resets the remaining connections.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return listener_->port(); }
  std::size_t clients() const { return clients_.size(); }
  /// Whether clients may still be accepted.
  bool accepting() const { return !listener_->closed(); }
  /// How often a client could not be accepted because no file descriptor was available.
  long fd_exhaustions() const { return listener_->fd_exhaustions(); }
  const ServerCounters& counters() const { return counters_; }

  /// First step of a graceful shutdown: still accepts new clients, but closes each client after its
  /// next response, and clients without a request at once.
  void begin_shutdown();
  /// Second step: accepts no new clients, and closes the existing ones once they have no open
  /// request.
  void drain();

  /// Stops and resumes accepting clients.
  void pause(bool paused) { listener_->pause(paused); }
  /// Changes the maximum number of clients. Clients above a lower maximum stay connected.
  void set_max_clients(std::size_t clients) { settings_.max_clients = clients; }
  /// Closes clients without an open request until at most `left` clients remain, as far as
  /// possible.
  void close_idle(std::size_t left);
  /// Resets all connections.
  void reset_connections();

 private:
  friend class ServerConnection;
  void accept(int fd);
  bool may_accept();
  bool make_room();
  bool shutting_down() const { return draining_ || shutdown_begun_; }

  net::Loop& loop_;
  ServerSettings settings_;
  Handler handler_;
  std::unique_ptr<net::Listener> listener_;
  std::set<std::shared_ptr<ServerConnection>> clients_{};
  ServerCounters counters_{};
  bool shutdown_begun_ = false;
  bool draining_ = false;
};

}  // namespace robinhoist::http
