#include "http/stream_caller.h"

#include <utility>

namespace robinhoist::http {

StreamCaller::StreamCaller(net::Loop& loop, Poco::Net::SocketAddress peer, Limits limits)
    : loop_(loop), peer_(std::move(peer)), host_(peer_.toString()), limits_(limits) {}

StreamCaller::~StreamCaller() {
  stop();
}

void StreamCaller::start(const Request& request, const Silence& silence, Piece piece, Ended ended) {
  stop();
  reader_ = std::make_unique<StreamReader>(limits_);
  piece_ = std::move(piece);
  ended_ = std::move(ended);
  silent_most_ = silence.most;
  out_.clear();
  put(out_, request, host_);
  watch_silence(silence.first);
  stream_ = net::Stream::connect(loop_, peer_, *this);
}

void StreamCaller::stop() {
  loop_.cancel(timer_);
  if (auto stream = std::exchange(stream_, nullptr))
    stream->drop();
}

void StreamCaller::watch_silence(Duration most) {
  loop_.cancel(timer_);
  timer_ = loop_.in(most, [this] {
    timer_ = net::Loop::no_timer;
    end();
  });
}

void StreamCaller::on_open(net::Stream& stream) {
  stream.write(out_);
}

void StreamCaller::on_bytes(net::Stream& stream) {
  auto keep = stream_;
  const Read read = reader_->read(stream.in());
  if (read == Read::bad)
    return end();
  if (reader_->status() == 200) {
    const bool alive = piece_(reader_->body());
    if (stream_ != keep)
      return;  // stopped or begun anew by whoever took the piece
    if (alive)
      watch_silence(silent_most_);
  }
  // What is neither taken nor ever ends is no stream of events.
  if (reader_->body().size() > limits_.body)
    return end();
  if (read == Read::whole)
    end();
}

void StreamCaller::on_closed(net::Stream&, net::Closed) {
  end();
}

void StreamCaller::end() {
  const int status = reader_->status();
  const std::string body = std::move(reader_->body());
  stop();
  if (auto ended = std::exchange(ended_, nullptr))
    ended(status, body);
}

}  // namespace robinhoist::http
