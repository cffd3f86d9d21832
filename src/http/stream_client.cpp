#include "http/stream_client.h"

#include <utility>

namespace robinhoist::http {

StreamClient::StreamClient(net::Loop& loop, Poco::Net::SocketAddress peer, MessageLimits limits)
    : loop_(loop), peer_(std::move(peer)), host_(peer_.toString()), limits_(limits) {}

StreamClient::~StreamClient() {
  stop();
}

void StreamClient::start(const Request& request, const SilenceLimits& silence, OnData piece,
                         Ended ended) {
  stop();
  reader_ = std::make_unique<StreamReader>(limits_);
  piece_ = std::move(piece);
  ended_ = std::move(ended);
  silent_most_ = silence.most;
  out_.clear();
  serialize(out_, request, host_);
  watch_silence(silence.first);
  stream_ = net::Stream::connect(loop_, peer_, *this);
}

void StreamClient::stop() {
  loop_.cancel(timer_);
  if (auto stream = std::exchange(stream_, nullptr))
    stream->drop();
}

void StreamClient::watch_silence(Duration most) {
  loop_.cancel(timer_);
  timer_ = loop_.in(most, [this] {
    timer_ = net::Loop::no_timer;
    end();
  });
}

void StreamClient::on_open(net::Stream& stream) {
  stream.write(out_);
}

void StreamClient::on_bytes(net::Stream& stream) {
  auto keep = stream_;
  const ParseResult read = reader_->read(stream.input());
  if (read == ParseResult::invalid)
    return end();
  if (reader_->status() == 200) {
    const bool alive = piece_(reader_->body());
    if (stream_ != keep)
      return;  // stopped or begun anew by whoever took the piece
    if (alive)
      watch_silence(silent_most_);
  }
  // What is neither taken nor ever ends is no stream of events.
  if (reader_->body().size() > limits_.max_body_bytes)
    return end();
  if (read == ParseResult::complete)
    end();
}

void StreamClient::on_closed(net::Stream&, net::CloseReason) {
  end();
}

void StreamClient::end() {
  const int status = reader_->status();
  const std::string body = std::move(reader_->body());
  stop();
  if (auto ended = std::exchange(ended_, nullptr))
    ended(status, body);
}

}  // namespace robinhoist::http
