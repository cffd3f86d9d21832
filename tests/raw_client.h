/// A client that sends bytes without interpreting them and collects the received bytes.
#pragma once
#include <memory>
#include <string>

#include "net/stream.h"

namespace robinhoist::tests {

struct RawClient : net::Stream::Owner {
  std::shared_ptr<net::Stream> stream{};
  std::string received{};
  bool closed = false;
  net::CloseReason close_reason{};  // once closed

  RawClient() = default;
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() override {
    if (stream)
      stream->drop();
  }
  void on_bytes(net::Stream& from) override {
    received += from.input();
    from.input().clear();
  }
  void on_closed(net::Stream&, net::CloseReason reason) override {
    closed = true;
    close_reason = reason;
  }
};

}  // namespace robinhoist::tests
