#include "http/stream_client.h"

#include <utility>

#include "http/serializer.h"

namespace robinhoist::http {

StreamClient::StreamClient(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                           MessageLimits limits)
    : loop_(loop), peer_(peer), host_(peer_.toString()), limits_(limits) {}

StreamClient::~StreamClient() {
  stop();
}

void StreamClient::start(const Request& request, const InactivityLimits& limits, OnData on_data,
                         Ended ended) {
  stop();
  reader_ = std::make_unique<StreamReader>(limits_);
  on_data_ = std::move(on_data);
  ended_ = std::move(ended);
  inactivity_limit_ = limits.next;
  request_bytes_.clear();
  serialize(request_bytes_, request, host_);
  restart_inactivity_timer(limits.first);
  stream_ = net::Stream::connect(loop_, peer_, *this);
}

void StreamClient::stop() {
  loop_.cancel(inactivity_timer_);
  if (const auto stream = std::exchange(stream_, nullptr))
    stream->drop();
}

void StreamClient::restart_inactivity_timer(Duration limit) {
  loop_.cancel(inactivity_timer_);
  inactivity_timer_ = loop_.in(limit, [this] {
    inactivity_timer_ = net::Loop::no_timer;
    end();
  });
}

void StreamClient::on_open(net::Stream& stream) {
  stream.write(request_bytes_);
}

void StreamClient::on_bytes(net::Stream& stream) {
  const auto self = stream_;
  const ParseResult result = reader_->read(stream.input());
  if (result == ParseResult::invalid) {
    end();
    return;
  }
  if (reader_->status() == 200) {
    const bool is_alive = on_data_(reader_->body());
    if (stream_ != self)
      return;  // on_data_ stopped or restarted the watch
    if (is_alive)
      restart_inactivity_timer(inactivity_limit_);
  }
  // A body that is not consumed and does not end is not a stream of events.
  const bool too_large = reader_->body().size() > limits_.max_body_bytes;
  if (too_large || result == ParseResult::complete)
    end();
}

void StreamClient::on_closed(net::Stream& /*stream*/, net::CloseReason /*reason*/) {
  end();
}

void StreamClient::end() {
  const int status = reader_->status();
  const std::string body = std::move(reader_->body());
  stop();
  if (const auto ended = std::exchange(ended_, nullptr))
    ended(status, body);
}

}  // namespace robinhoist::http
