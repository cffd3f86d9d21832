/// A simulated endpoint that handles each request by the next behaviour of its script. The
/// behaviours are listed in tests/proxy/README.md.
#pragma once
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "http/parser.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"
#include "time/time_types.h"

namespace robinhoist::tests {

/// Parses the milliseconds of a script.
inline Duration parse_ms(const std::string& text) {
  constexpr double microseconds_per_ms = 1000;
  return Duration(static_cast<long>(std::stod(text) * microseconds_per_ms));
}

/// A listening socket with a full accept queue: connections to it are not established.
class FullListener {
 public:
  FullListener() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const int listening = new_socket();
    if (::bind(listening, generic, length) != 0 || ::listen(listening, 0) != 0)
      throw std::runtime_error("can't listen on loopback");
    ::getsockname(listening, generic, &length);
    port_ = ntohs(address.sin_port);
    constexpr int connections_to_fill_the_queue = 3;
    for (int i = 0; i < connections_to_fill_the_queue; ++i)
      static_cast<void>(::connect(new_socket(), generic, length));
  }
  ~FullListener() {
    for (const int fd : sockets_)
      ::close(fd);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  int port() const { return port_; }
  /// Empties the accept queue, so that the next connection is established.
  void accept_waiting() {
    for (int fd = accept_one(); fd >= 0; fd = accept_one())
      sockets_.push_back(fd);
  }

 private:
  int new_socket() {
    sockets_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    return sockets_.back();
  }
  int accept_one() const { return ::accept4(sockets_.front(), nullptr, nullptr, SOCK_CLOEXEC); }

  int port_ = 0;
  std::vector<int> sockets_{};  // the listening socket first
};

class ScriptedEndpoint {
 public:
  /// `script` is a comma-separated list of behaviours, one for each request; the last one applies
  /// to all further requests. With the script "stuck", connections are not established.
  ScriptedEndpoint(net::Loop& loop, std::string script) : loop_(loop), script_(std::move(script)) {
    if (script_ == "stuck") {
      full_listener_ = std::make_unique<FullListener>();
      return;
    }
    listener_ = std::make_unique<net::Listener>(loop, "127.0.0.1:0", [this](int fd) {
      connections_.push_back(std::make_unique<Connection>(*this, fd));
    });
  }

  int port() const { return listener_ ? listener_->port() : full_listener_->port(); }
  /// Number of received requests.
  int requests() const { return requests_; }
  const http::Request& last_request() const { return last_request_; }
  /// For a stuck endpoint: establishes the waiting connections.
  void accept_waiting() { full_listener_->accept_waiting(); }

 private:
  class Connection : public net::Stream::Owner {
   public:
    Connection(ScriptedEndpoint& endpoint, int fd)
        : endpoint_(endpoint), stream_(net::Stream::adopt(endpoint.loop_, fd, *this)) {}
    ~Connection() override { stream_->drop(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void on_bytes(net::Stream&) override {
      while (stream_->open() && reader_.read(stream_->input()) == http::ParseResult::complete) {
        endpoint_.last_request_ = reader_.take();
        run(endpoint_.next_behaviour());
      }
    }
    void on_closed(net::Stream&, net::CloseReason) override {}

   private:
    static constexpr std::size_t mebibyte = std::size_t{1} << 20;
    static constexpr std::size_t large_body = 400000;

    void write(const std::string& bytes) { stream_->write(bytes); }
    void respond(int status, const std::string& headers = "") {
      write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
            "Content-Length: 2\r\n\r\nhi");
    }
    void write_and_close(const std::string& bytes) {
      write(bytes);
      stream_->drop();
    }

    void run(const std::string& behaviour) {
      if (run_untimed(behaviour) || run_timed(behaviour))
        return;
      throw std::runtime_error("unknown behaviour: " + behaviour);
    }

    // Runs a behaviour whose name ends with a time. Returns false if it is none of these.
    bool run_timed(const std::string& behaviour) {
      const std::size_t dash = behaviour.rfind('-');
      if (dash == std::string::npos)
        return false;
      const std::string name = behaviour.substr(0, dash);
      if (name == "stale")
        respond_unless_stale(parse_ms(behaviour.substr(dash + 1)));
      else if (name == "late")
        endpoint_.loop_.in(parse_ms(behaviour.substr(dash + 1)), [this] { respond(200); });
      else if (name == "close")
        endpoint_.loop_.in(parse_ms(behaviour.substr(dash + 1)), [this] { stream_->drop(); });
      else
        return false;
      return true;
    }

    // Resets the connection at the next request after it has been idle for longer than `max_idle`.
    void respond_unless_stale(Duration max_idle) {
      const TimePoint now = endpoint_.loop_.now();
      if (last_response_ != TimePoint{} && now > last_response_ + max_idle) {
        stream_->drop(true);
        return;
      }
      last_response_ = now;
      respond(200);
    }

    void respond_twice_apart() {
      respond(200);
      endpoint_.loop_.in(std::chrono::milliseconds(3),
                         [this] { write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"); });
    }

    bool run_untimed(const std::string& behaviour) {
      static const std::map<std::string, std::function<void(Connection&)>> behaviours = {
          {"ok", [](Connection& c) { c.respond(200); }},
          {"error", [](Connection& c) { c.respond(500); }},
          {"full", [](Connection& c) { c.respond(503, "X-Not-Run: 1\r\nNot-Started: 1\r\n"); }},
          {"load", [](Connection& c) { c.respond(200, "Server-Load: cpu_share=0.5\r\n"); }},
          {"bad-load", [](Connection& c) { c.respond(200, "Server-Load: cpu_share=0.5,=;\r\n"); }},
          {"busy", [](Connection& c) { c.respond(503); }},
          {"twice",
           [](Connection& c) {
             c.respond(200);
             c.respond(200);
           }},
          {"twice-apart", [](Connection& c) { c.respond_twice_apart(); }},
          {"interim",
           [](Connection& c) {
             c.write("HTTP/1.1 103 Early\r\n\r\n");
             c.respond(200);
           }},
          {"close", [](Connection& c) { c.stream_->drop(); }},
          {"reset", [](Connection& c) { c.stream_->drop(true); }},
          {"silence", [](Connection&) {}},
          {"unframed", [](Connection& c) { c.write_and_close("HTTP/1.1 200 OK\r\n\r\nhi"); }},
          {"half", [](Connection& c) {
             c.write_and_close("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
           }}};
      const auto known = behaviours.find(behaviour);
      if (known == behaviours.end())
        return respond_with_bytes(behaviour);
      known->second(*this);
      return true;
    }

    bool respond_with_bytes(const std::string& behaviour) {
      static const std::map<std::string, std::string> responses = {
          {"large", "HTTP/1.1 200 OK\r\nContent-Length: 400004\r\n\r\n" +
                        std::string(large_body, 'x') + "last"},
          {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
          {"head-silence", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"},
          {"garbage", "what do you want\r\n\r\n"},
          {"longer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi and more than that"},
          {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
          {"huge-and-some",
           "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, '5')},
          {"huge-number", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775000\r\n\r\nhi"},
          {"endless-chunk",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(mebibyte, '5')},
          {"huge", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"}};
      const auto known = responses.find(behaviour);
      if (known == responses.end())
        return false;
      write(known->second);
      return true;
    }

    ScriptedEndpoint& endpoint_;
    TimePoint last_response_{};  // by the behaviour `stale`
    std::shared_ptr<net::Stream> stream_;
    http::RequestReader reader_{http::MessageLimits{}};
  };

  std::string next_behaviour() {
    ++requests_;
    const std::size_t comma = script_.find(',');
    std::string behaviour = script_.substr(0, comma);
    if (comma != std::string::npos)
      script_.erase(0, comma + 1);
    return behaviour;
  }

  net::Loop& loop_;
  std::string script_;
  std::unique_ptr<FullListener> full_listener_{};
  std::unique_ptr<net::Listener> listener_{};
  std::vector<std::unique_ptr<Connection>> connections_{};
  http::Request last_request_{};
  int requests_ = 0;
};

}  // namespace robinhoist::tests
