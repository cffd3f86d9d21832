// The client's side of an endless answer (a watch): one connection, the bytes of the body as they
// come, and one word at the end. Whoever follows a watch calls again, from where it stands.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "http/message.h"
#include "net/stream.h"
#include "time/time_types.h"

namespace robinhoist::http {

class StreamClient : public net::Stream::Owner {
 public:
  // `status` is 0 when no head came; `body` holds what came last, whole for an answer that is no
  // stream.
  using Ended = std::function<void(int status, const std::string& body)>;
  // Takes what it can use from the front; whether that was a sign of life: bytes that never make a
  // whole are none.
  using OnData = std::function<bool(std::string& body)>;
  // How long no sign of life may come: from the start, and from one to the next.
  struct SilenceLimits {
    Duration first, most;
  };

  StreamClient(net::Loop& loop, Poco::Net::SocketAddress peer, MessageLimits limits);
  ~StreamClient() override;
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  // Ends what went on before without a word. Silence longer than that ends it: guards against a
  // peer that is gone without its connection being closed, and against a connection that never
  // comes up.
  void start(const Request& request, const SilenceLimits& silence, OnData piece, Ended ended);
  void stop();
  bool running() const { return stream_ != nullptr; }
  const Poco::Net::SocketAddress& peer() const { return peer_; }

 private:
  void on_open(net::Stream&) override;
  void on_bytes(net::Stream&) override;
  void on_closed(net::Stream&, net::CloseReason how) override;
  void end();
  void watch_silence(Duration most);

  net::Loop& loop_;
  Poco::Net::SocketAddress peer_;
  std::string host_;
  MessageLimits limits_;
  std::shared_ptr<net::Stream> stream_{};
  std::unique_ptr<StreamReader> reader_{};
  std::string out_{};
  Duration silent_most_{};  // between two signs
  net::Loop::Timer timer_ = net::Loop::no_timer;
  OnData piece_{};
  Ended ended_{};
};

}  // namespace robinhoist::http
