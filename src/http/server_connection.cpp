#include "http/server_connection.h"

#include <utility>

#include "http/serializer.h"

namespace robinhoist::http {
namespace {

// How long a request whose bytes have just been seen has to be read before the connection counts as
// idle again.
constexpr Duration unread_request_grace = std::chrono::milliseconds(50);
// How soon a client's close is seen behind bytes that are not read. An attempt may begin 100 ms
// after the close at the latest.
constexpr Duration disconnect_check_interval = std::chrono::milliseconds(50);
// For a client to end its side too after its last answer.
constexpr Duration linger_timeout = std::chrono::seconds(1);

}  // namespace

ServerConnection::ServerConnection(Server& server, int fd)
    : server_(&server), reader_(server.settings_.limits) {
  stream_ = net::Stream::adopt(server.loop_, fd, *this);
}

ServerConnection::~ServerConnection() {
  stream_->drop();
}

void ServerConnection::start() {
  since_ = server_->loop_.now();
  const Duration first = server_->settings_.first_request_timeout;
  close_after(first > Duration{} ? first : server_->settings_.idle_timeout);
}

std::optional<ServerConnection::Closable> ServerConnection::closable() const {
  if (open_ || stream_->unwritten() > 0)
    return {};
  if (closing_)
    return Closable{CloseCost::lingering, since_};
  return Closable{reader_.begun() ? CloseCost::half_request : CloseCost::idle, since_};
}

// Whether a request is on its way into this process: then the connection is not to be closed as
// idle.
bool ServerConnection::has_unread_request() {
  if (stream_->quiet())
    return false;
  since_ = server_->loop_.now();
  return true;
}

void ServerConnection::on_bytes(net::Stream& /*stream*/) {
  read_requests();
}

void ServerConnection::on_written(net::Stream& /*stream*/) {
  if (open_ || closing_)
    return;
  const auto self = shared_from_this();
  stream_->read(true);
  read_requests();
  if (server_ && server_->shutting_down())
    close_if_idle();
}

void ServerConnection::on_closed(net::Stream& /*stream*/, net::CloseReason /*reason*/) {
  leave();
}

void ServerConnection::answer(Response response) {
  if (!server_)
    return;
  response.keep_alive = response.keep_alive && keep_alive_ && !server_->shutting_down();
  const bool keep_alive = response.keep_alive;
  std::string bytes;
  serialize(bytes, response, head_only_);
  response = {};  // not kept: answers may be large, and clients many
  stream_->write(bytes);
  finish_exchange(keep_alive);
}

void ServerConnection::begin_stream(const Response& head) {
  if (!server_)
    return;
  chunk_.clear();
  serialize_head(chunk_, head);
  stream_->write(chunk_);
}

bool ServerConnection::write_chunk(std::string_view bytes) {
  if (!server_)
    return false;
  chunk_.clear();
  serialize_chunk(chunk_, bytes);
  stream_->write(chunk_);
  return stream_->unwritten() <= server_->settings_.stream_backlog;
}

void ServerConnection::end_stream(std::string_view last_bytes) {
  if (!server_)
    return;
  chunk_.clear();
  serialize_chunk(chunk_, last_bytes);
  serialize_last_chunk(chunk_);
  stream_->write(chunk_);
  finish_exchange(keep_alive_ && !server_->shutting_down());
}

void ServerConnection::leave(bool reset) {
  if (!server_)
    return;
  const auto self = shared_from_this();
  Server* server = std::exchange(server_, nullptr);
  server->loop_.cancel(timer_);
  stream_->drop(reset);
  server->clients_.erase(self);
  report_disconnect();
}

void ServerConnection::close_if_idle() {
  const auto state = closable();
  if (server_ && state && state->cost == CloseCost::idle && !has_unread_request())
    leave();
}

void ServerConnection::evict() {
  const auto state = closable();
  if (!server_ || !state)
    return;
  if (state->cost == CloseCost::idle) {
    close_if_idle();
    return;
  }
  if (state->cost == CloseCost::half_request)
    refuse(503, "no room: come again");
  leave();
}

void ServerConnection::report_disconnect() {
  const auto exchange = std::exchange(open_, nullptr);
  if (exchange && exchange->on_disconnect)
    exchange->on_disconnect();
}

void ServerConnection::finish_exchange(bool keep_alive) {
  open_ = nullptr;
  since_ = server_->loop_.now();
  if (!keep_alive) {
    closing_ = true;
    stream_->finish();
    // A client that does not read its last answer, or does not end its side, is not waited for
    // without end.
    close_after(stream_->unwritten() > 0 ? server_->settings_.request_timeout : linger_timeout);
    return;
  }
  close_after(server_->settings_.idle_timeout);
  if (in_handler_)
    return;
  stream_->read(true);
  if (!stream_->input().empty())
    read_requests();
}

void ServerConnection::refuse(int status, const std::string& why) {
  keep_alive_ = false;
  head_only_ = false;
  Response response = text_response(status, why + "\n");
  response.keep_alive = false;
  answer(std::move(response));
}

void ServerConnection::read_requests() {
  const auto self = shared_from_this();
  while (server_ && !open_ && !closing_) {
    // A client that does not read its answers gets no further ones.
    if (stream_->unwritten() > server_->settings_.stream_backlog) {
      stream_->read(false);
      return;
    }
    if (!read_request())
      return;
  }
  if (server_ && open_ && stream_->input().size() > server_->settings_.limits.max_header_bytes) {
    stream_->read(false);
    watch_for_disconnect();
  }
}

// Reads one request and hands it on. False: there is none yet, or what came is none.
bool ServerConnection::read_request() {
  const bool had_begun = reader_.begun();
  const ParseResult result = reader_.read(stream_->input());
  if (result == ParseResult::invalid) {
    refuse(reader_.error().status, reader_.error().why);
    return false;
  }
  if (reader_.wants_continue())
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  if (result == ParseResult::complete) {
    dispatch(reader_.take());
    return true;
  }
  const bool first_has_own_timeout =
      first_request_ && server_->settings_.first_request_timeout > Duration{};
  if (reader_.begun() && !had_begun && !first_has_own_timeout)
    close_after(server_->settings_.request_timeout);
  stream_->read(true);
  return false;
}

void ServerConnection::dispatch(Request request) {
  server_->loop_.cancel(timer_);
  keep_alive_ = request.keep_alive;
  head_only_ = request.method == "HEAD";
  open_ = std::make_shared<Exchange>(weak_from_this(), std::move(request), server_->loop_.now(),
                                     std::exchange(first_request_, false));
  in_handler_ = true;
  server_->handler_(ExchangePtr(open_));
  in_handler_ = false;
}

// While nothing is read, a close is looked for, so that no work begins for a client that has left.
void ServerConnection::watch_for_disconnect() {
  server_->loop_.cancel(timer_);
  timer_ = server_->loop_.in(disconnect_check_interval, [this] {
    timer_ = net::Loop::no_timer;
    if (stream_->peer_ended())
      leave();
    else
      watch_for_disconnect();
  });
}

void ServerConnection::close_after(Duration timeout) {
  server_->loop_.cancel(timer_);
  timer_ = server_->loop_.in(timeout, [this] {
    timer_ = net::Loop::no_timer;
    handle_timeout();
  });
}

void ServerConnection::handle_timeout() {
  if (!closing_ && reader_.begun()) {
    refuse(408, "the request took too long to come");
    return;
  }
  // What a client that does not read its answers has sent stays unread: it is not asking.
  const bool may_ask = !closing_ && stream_->unwritten() == 0;
  if (may_ask && has_unread_request() && stream_->input().empty())
    close_after(unread_request_grace);
  else
    leave();
}

}  // namespace robinhoist::http
