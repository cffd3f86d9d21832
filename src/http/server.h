// An HTTP/1.1 server on a Loop. Each request goes to the handler as an Exchange, which is answered
// now or later, once; answers leave in the order of the requests. A client that sends what is no
// request gets one clear answer and a closed connection.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "http/message.h"
#include "net/listener.h"
#include "net/stream.h"
#include "time/time_types.h"

namespace robinhoist::http {

struct ServerSettings {
  std::string listen{"127.0.0.1:0"};
  MessageLimits limits{};
  std::size_t max_clients = 10000;
  Duration request_timeout =
      std::chrono::seconds(10);                      // for a request to have come whole, once begun
  Duration idle_timeout = std::chrono::seconds(60);  // between two requests
  Duration first_request_timeout{};  // for the first to have come whole since the connection; 0: as
                                     // any other
  bool evict_idle =
      false;  // at the most, the client that has been idle for longest makes room for another
  std::size_t stream_backlog = 256 * 1024;  // bytes unread by a client of a stream before it is cut
};

class Server;
class Client;

// One request and its answer. Holding it costs nothing but memory; dropping it unanswered answers
// 500.
class Exchange {
 public:
  Exchange(std::weak_ptr<Client> client, Request request, TimePoint at)
      : request(std::move(request)), at(at), client_(std::move(client)) {}
  ~Exchange();
  void answer(Response response);
  // Closes the connection without an answer, as one that broke.
  void abort_connection();
  // A stream of pieces in place of one answer; ends with end() or when the client goes or reads too
  // slowly.
  void begin_stream(Response head);
  bool write(std::string_view piece);  // false: cut, for the client was too slow, or gone
  void end(std::string_view last = {});
  std::size_t unwritten() const;
  bool answered() const { return answered_; }
  bool gone() const { return client_.expired(); }

  Request request;
  TimePoint at;  // when it had come whole
  std::function<void()>
      on_disconnect{};  // the client has left before the answer, or the stream has ended
  bool first = false;   // the first on its connection

 private:
  friend class Client;
  std::weak_ptr<Client> client_;
  bool answered_ = false, streaming_ = false;
};
using ExchangePtr = std::shared_ptr<Exchange>;

class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  Server(net::Loop& loop, const ServerSettings& settings, Handler handler);
  ~Server();
  int port() const { return listener_->port(); }
  std::size_t clients() const { return clients_.size(); }
  long starved() const { return listener_->starved(); }
  long refused() const { return refused_; }
  // Takes new clients still, but each leaves after its next answer, and those without a request at
  // once.
  void retire();
  // Takes no new clients; those it has are closed once they have no request open.
  void drain();
  // Takes none for a while, or again.
  void pause(bool on) { listener_->pause(on); }
  // From here on takes no more clients than this.
  void most(std::size_t clients) { settings_.max_clients = clients; }
  // Closes clients without an open request until so many are left, as far as there are such.
  void close_idle(std::size_t left);
  // Breaks every connection at once.
  void cut();

 private:
  friend class Client;
  void accepted(int fd);
  bool room();
  bool leaving() const { return draining_ || retiring_; }
  net::Loop& loop_;
  ServerSettings settings_;
  Handler handler_;
  std::unique_ptr<net::Listener> listener_;
  std::set<std::shared_ptr<Client>> clients_{};
  long refused_ = 0;
  bool draining_ = false, retiring_ = false;
};

// Plain answers that every part gives alike.
Response text_response(int status, std::string_view text);
Response json_response(int status, std::string body);

}  // namespace robinhoist::http
