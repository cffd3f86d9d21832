#include "http/client_connection.h"

#include <algorithm>
#include <utility>

#include "http/serializer.h"

namespace robinhoist::http {

ClientConnection::ClientConnection(ConnectionPool& pool)
    : RegisteredMemoryHolder(pool.settings_.memory),
      pool_(&pool),
      budget_(pool.settings_.budget),
      reader_(pool.settings_.limits),
      charge_(pool.settings_.memory) {
  if (budget_)
    ++budget_->open_;
}

ClientConnection::~ClientConnection() {
  close_stream(false);
}

void ClientConnection::connect() {
  stream_ = net::Stream::connect(pool_->loop_, pool_->peer_, *this);
  connect_timer_ = pool_->loop_.in(pool_->settings_.connect_timeout, [this] {
    connect_timer_ = net::Loop::no_timer;
    end(CallResult::connect_failed);
  });
}

void ClientConnection::start_call(ConnectionPool::Id id, Request request, Duration timeout,
                                  ConnectionPool::Done done,
                                  ConnectionPool::BeforeSend before_send) {
  id_ = id;
  done_ = std::move(done);
  request_ = std::move(request);
  before_send_ = std::move(before_send);
  called_at_ = pool_->loop_.now();
  deadline_ = called_at_ + timeout;
  pool_->loop_.cancel(timer_);
  timer_ = pool_->loop_.in(timeout, [this] {
    timer_ = net::Loop::no_timer;
    end(fully_written() ? CallResult::timed_out : CallResult::connect_failed);
  });
  reader_.expect(request_.method == "HEAD");
  written_ = false;
  if (stream_ && stream_->open())
    send();
  else
    update_charge();
}

void ClientConnection::update_charge() {
  const std::size_t buffered =
      pool_ && stream_ ? stream_->input_memory() + stream_->output_memory() + reader_.memory() : 0;
  charge_.set(MemoryUse::attempt, buffered + heap_bytes(request_));
}

void ClientConnection::on_written(net::Stream& /*stream*/) {
  update_charge();
}

void ClientConnection::on_open(net::Stream& /*stream*/) {
  pool_->loop_.cancel(connect_timer_);
  send();
}

void ClientConnection::on_bytes(net::Stream& stream) {
  const auto self = shared_from_this();
  if (!busy()) {
    ++pool_->unsolicited_;
    end(CallResult::malformed);
    return;
  }
  const ParseResult result = reader_.read(stream.input());
  if (result == ParseResult::invalid)
    end(CallResult::malformed);
  else if (result == ParseResult::complete)
    finish_call();
  update_charge();
  if (pool_)
    enforce_memory_limit(pool_->loop_);
}

std::optional<TimePoint> ClientConnection::releasable_since() const {
  if (!pool_ || !busy() || !fully_written())
    return {};
  return called_at_;
}

void ClientConnection::release_memory() {
  end(CallResult::discarded);
}

void ClientConnection::on_closed(net::Stream& stream, net::CloseReason reason) {
  const auto self = shared_from_this();
  if (busy() && reason == net::CloseReason::by_peer && reader_.begun() &&
      reader_.read(stream.input(), true) == ParseResult::complete) {
    finish_call();
    return;
  }
  if (!fully_written())
    end(CallResult::connect_failed);
  else if (reader_.error().status != 0 && reader_.begun())
    end(CallResult::malformed);
  else
    end(CallResult::connection_lost);
}

void ClientConnection::end(CallResult result) {
  if (!pool_)
    return;
  const auto self = shared_from_this();
  ConnectionPool* pool = std::exchange(pool_, nullptr);
  pool->loop_.cancel(timer_);
  pool->loop_.cancel(connect_timer_);
  close_stream(result == CallResult::cancelled || result == CallResult::timed_out ||
               result == CallResult::discarded);
  request_ = {};
  update_charge();
  pool->remove(this);
  if (result == CallResult::connection_lost)
    note_reuse(true);
  report(result, {});
}

void ClientConnection::close_silently() {
  done_ = nullptr;
  end(CallResult::cancelled);
}

bool ClientConnection::usable() const {
  return pool_ && stream_ && stream_->open() && stream_->nothing_to_read();
}

// Whether the kernel has accepted all bytes of the request.
bool ClientConnection::fully_written() const {
  return written_ && stream_->unwritten() == 0;
}

Duration ClientConnection::idle_time() const {
  return pool_->loop_.now() - idle_since_;
}

void ClientConnection::begin_reuse() {
  leave_idle_list();
  reused_after_ = idle_time();
}

void ClientConnection::leave_idle_list() {
  if (idle_position_)
    budget_->idle_.erase(*idle_position_);
  idle_position_.reset();
}

void ClientConnection::close_stream(bool reset) {
  if (std::exchange(stream_closed_, true))
    return;
  if (stream_)
    stream_->drop(reset);
  if (!budget_)
    return;
  leave_idle_list();
  --budget_->open_;
}

void ClientConnection::send() {
  const Duration time_left = std::max(Duration(1), deadline_ - pool_->loop_.now());
  if (before_send_ && !before_send_(request_, time_left)) {
    // Deferred, because the result of a call is never reported inside call().
    pool_->loop_.in(Duration(0), [self = shared_from_this()] { self->end(CallResult::not_sent); });
    return;
  }
  written_ = true;
  std::string bytes;
  serialize(bytes, request_, pool_->host_);
  request_ = {};  // releases the memory: there are many endpoints, and requests may be large
  before_send_ = nullptr;
  stream_->write(bytes);
  update_charge();
}

void ClientConnection::finish_call() {
  Response response = reader_.take();
  note_reuse(false);
  const auto self = shared_from_this();
  const bool unsolicited_bytes = !stream_->input().empty();
  if (unsolicited_bytes)
    ++pool_->unsolicited_;
  // A connection that received bytes after the response is not reused.
  if (response.keep_alive && stream_->open() && !unsolicited_bytes) {
    become_idle();
  } else {
    ConnectionPool* pool = std::exchange(pool_, nullptr);
    pool->loop_.cancel(timer_);
    close_stream(false);
    pool->remove(this);
  }
  update_charge();
  report(CallResult::answered, std::move(response));
}

void ClientConnection::become_idle() {
  pool_->loop_.cancel(timer_);
  timer_ = pool_->loop_.in(pool_->settings_.idle_timeout, [this] {
    timer_ = net::Loop::no_timer;
    end(CallResult::cancelled);
  });
  pool_->idle_.push_back(this);
  idle_since_ = pool_->loop_.now();
  if (budget_)
    idle_position_ = budget_->idle_.insert(budget_->idle_.end(), this);
}

void ClientConnection::note_reuse(bool failed) {
  if (budget_ && reused_after_)
    budget_->reuses_.push({*reused_after_, failed});
  reused_after_.reset();
}

void ClientConnection::report(CallResult result, Response&& response) {
  if (const auto done = std::exchange(done_, nullptr))
    done(result, std::move(response));
}

}  // namespace robinhoist::http
