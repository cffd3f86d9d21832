#include "http/server_connection.h"

#include <utility>

#include "http/serializer.h"
#include "http/status.h"

namespace robinhoist::http {
namespace {

// How long the server waits to read request bytes found in the kernel's buffer before it treats the
// connection as idle again.
constexpr Duration unread_request_grace = std::chrono::milliseconds(50);
// Bytes of further requests that are kept while a request is open.
constexpr std::size_t max_pipelined_bytes = 1024;
// How long a client may take to close its side after the last response.
constexpr Duration linger_timeout = std::chrono::seconds(1);

// A client that is about to send a request does so within this time after the accept, and has sent
// it within the other after its first byte. It is not evicted before. Short, because the time that
// others wait in the kernel's queue is taken from their deadlines.
constexpr Duration first_byte_time = std::chrono::milliseconds(15);
constexpr Duration last_byte_time = std::chrono::milliseconds(30);
// Of the responses that are given at once, those of this time may come in one go.
constexpr double burst_seconds = 0.1;

const ParseError surplus_bytes{400, "the bytes behind the request are no request"};

}  // namespace

ServerConnection::ServerConnection(Server& server, int fd)
    : RegisteredMemoryHolder(server.settings_.memory),
      server_(&server),
      reader_(server.settings_.limits),
      received_(server.settings_.memory),
      unread_(server.settings_.memory),
      immediate_responses_(server.settings_.max_immediate_responses_per_s,
                           server.settings_.max_immediate_responses_per_s * burst_seconds) {
  stream_ = net::Stream::adopt(server.loop_, fd, *this);
  limit_input_to_header();
}

// One byte more than a header section may have, so that a longer one is noticed.
void ServerConnection::limit_input_to_header() {
  stream_->limit_input(server_->settings_.limits.max_header_bytes + 1);
}

ServerConnection::~ServerConnection() {
  stream_->drop();
}

void ServerConnection::start() {
  state_since_ = server_->loop_.now();
  const Duration first = server_->settings_.first_request_timeout;
  close_after(first > Duration{} ? first : server_->settings_.idle_timeout);
}

bool ServerConnection::is_busy() const {
  return open_exchange_ || stream_->unwritten() > 0;
}

std::optional<ServerConnection::Closable> ServerConnection::closable() const {
  if (!server_ || is_busy())
    return {};
  if (closing_)
    return Closable{CloseCost::lingering, state_since_};
  if (!reader_.begun() && !first_request_)
    return Closable{CloseCost::idle, state_since_};
  const bool has_begun = reader_.begun();
  if (server_->loop_.now() < state_since_ + (has_begun ? last_byte_time : first_byte_time))
    return {};
  return Closable{has_begun ? CloseCost::partial_request : CloseCost::silent, state_since_};
}

// Whether the kernel has received bytes that have not been read. The connection must then not be
// closed as idle.
bool ServerConnection::has_unread_request() {
  if (stream_->nothing_to_read())
    return false;
  state_since_ = server_->loop_.now();
  return true;
}

void ServerConnection::on_bytes(net::Stream& /*stream*/) {
  const auto self = shared_from_this();
  if (open_exchange_ && !may_begin_request(stream_->input()))
    fail_open_request();
  else
    read_requests();
  update_charges();
  if (server_)
    enforce_memory_limit(server_->loop_);
}

std::optional<TimePoint> ServerConnection::releasable_since() const {
  if (!server_ || open_exchange_)
    return {};
  return state_since_;
}

void ServerConnection::release_memory() {
  const bool is_partial = !closing_ && reader_.begun();
  if (is_partial && stream_->unwritten() == 0)
    shed_partial_request();
  else
    close();
}

void ServerConnection::shed_partial_request() {
  reject(&ServerCounters::shed_requests, {status_service_unavailable, overload_message});
}

// Bytes that wait behind an open request belong to it: they are not read before it is answered.
void ServerConnection::update_charges() {
  received_.set(open_exchange_ ? MemoryUse::open_request : MemoryUse::partial_request,
                server_ ? stream_->input_memory() + reader_.memory() : 0);
  unread_.set(MemoryUse::unread_response, server_ ? stream_->output_memory() : 0);
}

void ServerConnection::on_written(net::Stream& /*stream*/) {
  const auto self = shared_from_this();
  update_charges();
  if (open_exchange_ || closing_ || is_paused())
    return;
  stream_->read(true);
  read_requests();
  if (server_ && server_->shutting_down())
    close_if_idle();
  update_charges();
}

void ServerConnection::on_closed(net::Stream& /*stream*/, net::CloseReason /*reason*/) {
  close();
}

void ServerConnection::answer(Response response) {
  if (!server_)
    return;
  response.keep_alive = response.keep_alive && keep_alive_ && !server_->shutting_down();
  const bool keep_alive = response.keep_alive;
  std::string bytes;
  serialize(bytes, response, head_only_);
  response = {};  // releases the memory: responses may be large, and there may be many clients
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

void ServerConnection::close(bool reset) {
  if (!server_)
    return;
  const auto self = shared_from_this();
  Server* server = std::exchange(server_, nullptr);
  server->loop_.cancel(timer_);
  server->loop_.cancel(pause_timer_);
  stream_->drop(reset);
  update_charges();
  server->clients_.erase(self);
  if (open_exchange_)
    ++server->counters_.lost_with_request;
  report_disconnect();
}

void ServerConnection::close_if_idle() {
  if (!server_ || closing_ || is_busy() || reader_.begun() || has_unread_request())
    return;
  ++server_->counters_.closed_idle;
  close();
}

void ServerConnection::evict() {
  const auto state = closable();
  if (!state)
    return;
  if (state->cost == CloseCost::idle || state->cost == CloseCost::silent) {
    close_if_idle();
    return;
  }
  if (state->cost == CloseCost::partial_request)
    shed_partial_request();
  close();
}

void ServerConnection::report_disconnect() {
  const auto exchange = std::exchange(open_exchange_, nullptr);
  if (exchange && exchange->on_disconnect)
    exchange->on_disconnect();
}

void ServerConnection::finish_exchange(bool keep_alive) {
  open_exchange_ = nullptr;
  limit_input_to_header();
  state_since_ = server_->loop_.now();
  if (!keep_alive) {
    closing_ = true;
    reader_.discard();
    stream_->finish();
    update_charges();
    // Limits the wait for a client that does not read its last response or does not close its side.
    close_after(stream_->unwritten() > 0 ? server_->settings_.request_timeout : linger_timeout);
    return;
  }
  close_after(server_->settings_.idle_timeout);
  update_charges();
  if (in_handler_)
    return;
  stream_->read(true);
  if (!stream_->input().empty())
    read_requests();
}

// Bytes that can't be another request show that the length of the open one was wrong. It may have
// run, but it is not answered as served.
void ServerConnection::fail_open_request() {
  const ExchangePtr exchange = open_exchange_;
  if (exchange->answered()) {  // its response is being streamed
    close(true);
    return;
  }
  reject(&ServerCounters::invalid_requests, surplus_bytes);
  exchange->abandon();
}

// Answers a request that has not reached the handler with an error, and closes the connection.
void ServerConnection::reject(long ServerCounters::*count, const ParseError& error) {
  ++(server_->counters_.*count);
  if (server_->settings_.on_rejection)
    server_->settings_.on_rejection({stream_->peer(), error.status, error.reason});
  keep_alive_ = false;
  head_only_ = false;
  Response response = text_response(error.status, error.reason + "\n");
  response.keep_alive = false;
  answer(std::move(response));
}

void ServerConnection::read_requests() {
  const auto self = shared_from_this();
  while (server_ && !open_exchange_ && !closing_ && !is_paused()) {
    // Processes no further requests of a client that has not read its last response.
    if (stream_->unwritten() > 0) {
      stream_->read(false);
      return;
    }
    if (!read_request())
      return;
  }
  if (server_ && open_exchange_ && stream_->input().size() >= max_pipelined_bytes)
    drop_pipelined_requests();
}

// Reads one request and dispatches it. Returns false when the request is incomplete or invalid.
bool ServerConnection::read_request() {
  const bool had_begun = reader_.begun();
  const ParseResult result = reader_.read(stream_->input());
  if (result == ParseResult::invalid) {
    reject(&ServerCounters::invalid_requests, reader_.error());
    return false;
  }
  if (reader_.wants_continue())
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  if (result == ParseResult::complete && !may_begin_request(stream_->input())) {
    reject(&ServerCounters::invalid_requests, surplus_bytes);
    return false;
  }
  if (result == ParseResult::complete) {
    dispatch(reader_.take());
    return true;
  }
  const bool first_has_own_timeout =
      first_request_ && server_->settings_.first_request_timeout > Duration{};
  if (reader_.begun() && !had_begun) {
    state_since_ = server_->loop_.now();
    if (!first_has_own_timeout)
      close_after(server_->settings_.request_timeout);
  }
  stream_->read(true);
  return false;
}

void ServerConnection::dispatch(Request request) {
  server_->loop_.cancel(timer_);
  keep_alive_ = request.keep_alive;
  head_only_ = request.method == "HEAD";
  open_exchange_ =
      std::make_shared<Exchange>(weak_from_this(), std::move(request), server_->loop_.now(),
                                 std::exchange(first_request_, false));
  stream_->limit_input(max_pipelined_bytes);
  update_charges();
  in_handler_ = true;
  server_->handler_(ExchangePtr(open_exchange_));
  in_handler_ = false;
  if (server_ && !open_exchange_ && !closing_)
    limit_immediate_responses();
}

// A client that makes the handler answer at once, again and again, must not take the loop's time
// from the others.
void ServerConnection::limit_immediate_responses() {
  const auto wait = immediate_responses_.try_acquire(server_->loop_.now());
  if (!wait)
    return;
  stream_->read(false);
  pause_timer_ = server_->loop_.in(*wait, [this] {
    pause_timer_ = net::Loop::no_timer;
    on_written(*stream_);
  });
}

// A client that sends much behind an open request gets its response and then a close, as if the
// rest had not been read. The rest is discarded at once: if it were left unread, a disconnect
// behind it would not be noticed.
void ServerConnection::drop_pipelined_requests() {
  ++server_->counters_.pipelines_dropped;
  keep_alive_ = false;
  stream_->discard_input();
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
    reject(&ServerCounters::timed_out_requests, {408, "the request took too long to come"});
    return;
  }
  // Requests of a client that does not read its responses are not read and do not keep it
  // connected.
  const bool accepts_requests = !closing_ && stream_->unwritten() == 0;
  if (accepts_requests && has_unread_request() && stream_->input().empty()) {
    close_after(unread_request_grace);
  } else {
    server_->counters_.closed_idle += accepts_requests ? 1 : 0;
    close();
  }
}

}  // namespace robinhoist::http
