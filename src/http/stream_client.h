/// Client of a streaming response (a watch).
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

/// Sends one request on a connection of its own, passes the body of the response on as it arrives,
/// and reports the end once. To continue, the caller starts a new watch from the last known
/// version.
class StreamClient : public net::Stream::Owner {
 public:
  /// `status` is 0 when no header section was received. `body` is the part of the body that was not
  /// consumed; for a response other than 200 it is the whole body.
  using Ended = std::function<void(int status, const std::string& body)>;
  /// Consumes complete items from the front of the body. Returns whether the data shows that the
  /// peer is alive.
  using OnData = std::function<bool(std::string& body)>;
  /// How long the watch may go without data that shows that the peer is alive.
  struct InactivityLimits {
    Duration first;  ///< from the start to the first such data
    Duration next;   ///< between later ones
  };

  StreamClient(net::Loop& loop, const Poco::Net::SocketAddress& peer, MessageLimits limits);
  ~StreamClient() override;
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  /// Starts a watch and stops the current one without a report. Inactivity beyond the limits ends
  /// the watch: the peer may be unreachable without the connection being closed, and a connection
  /// may never be established.
  void start(const Request& request, const InactivityLimits& limits, OnData on_data, Ended ended);
  /// Ends the watch without a report.
  void stop();
  bool running() const { return stream_ != nullptr; }
  const Poco::Net::SocketAddress& peer() const { return peer_; }

 private:
  void on_open(net::Stream& stream) override;
  void on_bytes(net::Stream& stream) override;
  void on_closed(net::Stream& stream, net::CloseReason reason) override;
  void end();
  void restart_inactivity_timer(Duration limit);

  net::Loop& loop_;
  Poco::Net::SocketAddress peer_;
  std::string host_;
  MessageLimits limits_;
  std::shared_ptr<net::Stream> stream_{};
  std::unique_ptr<StreamReader> reader_{};
  std::string request_bytes_{};
  Duration inactivity_limit_{};
  net::Loop::Timer inactivity_timer_ = net::Loop::no_timer;
  OnData on_data_{};
  Ended ended_{};
};

}  // namespace robinhoist::http
