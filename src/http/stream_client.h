/// The client's side of an endless response (a watch).
#pragma once
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <string>

#include "http/message.h"
#include "http/parser.h"
#include "net/stream.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// One connection with one request whose response's body is handed on as it comes, and whose end is
/// told once. Whoever follows a watch starts it again from where it stands.
class StreamClient : public net::Stream::Owner {
 public:
  /// `status` is 0 when no head came; `body` is what was left of it, whole for a response that is
  /// no stream.
  using Ended = std::function<void(int status, const std::string& body)>;
  /// Consumes what it can from the front of the body. True: that was a sign of life.
  using OnData = std::function<bool(std::string& body)>;
  /// How long no sign of life may come.
  struct InactivityLimits {
    Duration first;  ///< from the start to the first sign
    Duration next;   ///< from one sign to the next
  };

  StreamClient(net::Loop& loop, const Poco::Net::SocketAddress& peer, MessageLimits limits);
  ~StreamClient() override;
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  /// Starts a watch; one that goes on ends without a word. Silence beyond the limits ends it too:
  /// the peer may be gone without its connection being closed, and a connection may never come up.
  void start(const Request& request, const InactivityLimits& limits, OnData on_data, Ended ended);
  /// Ends it without a word.
  void stop();
  bool running() const { return stream_ != nullptr; }
  const Poco::Net::SocketAddress& peer() const { return peer_; }

 private:
  void on_open(net::Stream& stream) override;
  void on_bytes(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;
  void end();
  void end_after_silence(Duration limit);

  net::Loop& loop_;
  Poco::Net::SocketAddress peer_;
  std::string host_;
  MessageLimits limits_;
  std::shared_ptr<net::Stream> stream_{};
  std::unique_ptr<StreamReader> reader_{};
  std::string request_bytes_{};
  Duration silence_limit_{};
  net::Loop::Timer silence_timer_ = net::Loop::no_timer;
  OnData on_data_{};
  Ended ended_{};
};

}  // namespace robinhoist::http
