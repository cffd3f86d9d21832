#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace robinhoist::http {
namespace {
constexpr int stale_told_by = 8,
              stale_part = 4;  // of so many reuses more than one in so many has broken
}

// One connection and the call that it carries, if any.
class Connection : public net::Stream::Owner, public std::enable_shared_from_this<Connection> {
 public:
  Connection(ConnectionPool& caller)
      : caller_(&caller), budget_(caller.settings_.budget), reader_(caller.settings_.limits) {
    if (budget_)
      ++budget_->open_;
  }
  ~Connection() override { shut(false); }

  void connect() {
    stream_ = net::Stream::connect(caller_->loop_, caller_->peer_, *this);
    connect_timer_ = caller_->loop_.in(caller_->settings_.connect_timeout, [this] {
      connect_timer_ = net::Loop::no_timer;
      end(CallResult::connect_failed);
    });
  }

  void carry(ConnectionPool::Id id, Request request, Duration within, ConnectionPool::Done done,
             ConnectionPool::Word word) {
    id_ = id;
    done_ = std::move(done);
    request_ = std::move(request);
    word_ = std::move(word);
    until_ = caller_->loop_.now() + within;
    caller_->loop_.cancel(timer_);
    timer_ = caller_->loop_.in(within, [this] {
      timer_ = net::Loop::no_timer;
      end(whole() ? CallResult::timed_out : CallResult::connect_failed);
    });
    reader_.expect(request_.method == "HEAD");
    written_ = false;
    if (stream_ && stream_->open())
      send();
  }

  void on_open(net::Stream&) override {
    caller_->loop_.cancel(connect_timer_);
    send();
  }

  void on_bytes(net::Stream& stream) override {
    auto self = shared_from_this();
    if (!busy()) {
      ++caller_->unasked_;
      return end(CallResult::malformed);
    }
    ParseResult read = reader_.read(stream.input());
    if (read == ParseResult::invalid)
      return end(CallResult::malformed);
    if (read == ParseResult::complete)
      finished();
  }

  void on_closed(net::Stream& stream, net::CloseReason how) override {
    auto self = shared_from_this();
    if (busy() && how == net::CloseReason::by_peer && reader_.begun() &&
        reader_.read(stream.input(), true) == ParseResult::complete)
      return finished();
    end(whole() ? (reader_.error().status != 0 && reader_.begun() ? CallResult::malformed
                                                                  : CallResult::connection_lost)
                : CallResult::connect_failed);
  }

  // The connection is over; its call, if any, ends so.
  void end(CallResult how) {
    if (!caller_)
      return;
    auto self = shared_from_this();
    ConnectionPool* caller = caller_;
    caller_ = nullptr;
    caller->loop_.cancel(timer_);
    caller->loop_.cancel(connect_timer_);
    shut(how == CallResult::cancelled || how == CallResult::timed_out);
    caller->remove(this);
    if (how == CallResult::connection_lost)
      note_reuse(true);
    tell(how, {});
  }

  // Ends it without a word.
  void abandon() {
    done_ = nullptr;
    end(CallResult::cancelled);
  }

  bool busy() const { return done_ != nullptr; }
  ConnectionPool::Id id() const { return busy() ? id_ : 0; }
  // Not one on which the peer has said something meanwhile, or its end: guards against taking what
  // came late behind one answer for the next.
  bool usable() const { return caller_ && stream_ && stream_->open() && stream_->quiet(); }
  // All of the request is with the kernel.
  bool whole() const { return written_ && stream_->unwritten() == 0; }
  bool written() const { return written_; }
  void busy_again() {
    if (idle_at_)
      budget_->idle_.erase(*idle_at_);
    idle_at_.reset();
  }
  Duration idle() const { return caller_->loop_.now() - idle_from_; }
  void reused() { reused_after_ = idle(); }

 private:
  void shut(bool reset) {
    if (std::exchange(shut_, true))
      return;
    if (stream_)
      stream_->drop(reset);
    if (!budget_)
      return;
    busy_again();
    --budget_->open_;
  }

  void send() {
    written_ = true;
    if (word_)
      word_(request_, std::max(Duration(1), until_ - caller_->loop_.now()));
    std::string out;
    serialize(out, request_, caller_->host_);
    request_ = {};  // not kept: endpoints are many, and requests may be large
    word_ = nullptr;
    stream_->write(out);
  }

  void finished() {
    Response response = reader_.take();
    note_reuse(false);
    auto self = shared_from_this();
    caller_->unasked_ += !stream_->input().empty();
    // What follows an answer unasked taints the connection.
    if (!response.keep_alive || !stream_->open() || !stream_->input().empty()) {
      ConnectionPool* caller = caller_;
      caller_ = nullptr;
      caller->loop_.cancel(timer_);
      shut(false);
      caller->remove(this);
    } else {
      caller_->loop_.cancel(timer_);
      timer_ = caller_->loop_.in(caller_->settings_.idle_timeout, [this] {
        timer_ = net::Loop::no_timer;
        end(CallResult::cancelled);
      });
      caller_->idle_.push_back(this);
      idle_from_ = caller_->loop_.now();
      if (budget_)
        idle_at_ = budget_->idle_.insert(budget_->idle_.end(), this);
    }
    tell(CallResult::answered, std::move(response));
  }

  void note_reuse(bool broke) {
    if (budget_ && reused_after_)
      budget_->reuses_.push({*reused_after_, broke});
    reused_after_.reset();
  }

  void tell(CallResult how, Response&& response) {
    ConnectionPool::Done done = std::move(done_);
    done_ = nullptr;
    if (done)
      done(how, std::move(response));
  }

  ConnectionPool* caller_;
  std::shared_ptr<ConnectionBudget> budget_;
  std::optional<std::list<Connection*>::iterator> idle_at_{};
  std::shared_ptr<net::Stream> stream_{};
  ResponseReader reader_;
  ConnectionPool::Id id_ = 0;
  ConnectionPool::Done done_{};
  Request request_{};  // until it is written
  ConnectionPool::Word word_{};
  net::Loop::Timer timer_ = net::Loop::no_timer, connect_timer_ = net::Loop::no_timer;
  TimePoint until_{}, idle_from_{};
  std::optional<Duration>
      reused_after_{};  // of the call that is out, if it found the connection open
  bool written_ = false, shut_ = false;
};

bool ConnectionBudget::stale(Duration idle) const {
  int alike = 0, broke = 0;
  for (std::size_t i = 0; i < reuses_.size(); ++i) {
    const Reuse& reuse = reuses_.back(i);
    if (2 * reuse.idle < idle || reuse.idle > 2 * idle)
      continue;
    ++alike;
    broke += reuse.broke;
  }
  return alike >= stale_told_by && stale_part * broke > alike;
}

bool ConnectionBudget::room() {
  if (open_ >= most_ && !idle_.empty())
    idle_.front()->end(CallResult::cancelled);
  return open_ < most_;
}

ConnectionPool::ConnectionPool(net::Loop& loop, Poco::Net::SocketAddress peer,
                               const ConnectionPoolSettings& settings)
    : loop_(loop), peer_(std::move(peer)), host_(peer_.toString()), settings_(settings) {}

ConnectionPool::~ConnectionPool() {
  auto connections = connections_;
  for (auto& connection : connections)
    connection->abandon();
}

ConnectionPool::Id ConnectionPool::call(Request request, Duration within, Done done, Word word) {
  const Id id = next_++;
  while (!idle_.empty()) {
    Connection* last = idle_.back();
    idle_.pop_back();
    if (!last->usable() || (settings_.budget && settings_.budget->stale(last->idle()))) {
      last->end(CallResult::cancelled);
      continue;
    }
    ++reused_;
    last->busy_again();
    last->reused();
    last->carry(id, std::move(request), within, std::move(done), std::move(word));
    return id;
  }
  if (connections_.size() >= settings_.max_connections ||
      (settings_.budget && !settings_.budget->room())) {
    loop_.in(Duration(0), [done = std::move(done)] { done(CallResult::not_sent, {}); });
    return 0;
  }
  ++opened_;
  auto connection = std::make_shared<Connection>(*this);
  connections_.push_back(connection);
  connection->connect();
  connection->carry(id, std::move(request), within, std::move(done), std::move(word));
  return id;
}

void ConnectionPool::cancel(Id id) {
  if (id == 0)
    return;
  for (auto& connection : connections_)
    if (connection->id() == id)
      return std::shared_ptr<Connection>(connection)->abandon();
}

bool ConnectionPool::recall(Id id) {
  if (id == 0)
    return false;
  for (auto& connection : connections_)
    if (connection->id() == id) {
      if (connection->written())
        return false;
      std::shared_ptr<Connection>(connection)->abandon();
      return true;
    }
  return false;
}

void ConnectionPool::close_idle() {
  auto idle = idle_;
  for (Connection* connection : idle)
    connection->end(CallResult::cancelled);
}

std::size_t ConnectionPool::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](auto& c) { return c->busy(); }));
}

void ConnectionPool::remove(Connection* connection) {
  idle_.erase(std::remove(idle_.begin(), idle_.end(), connection), idle_.end());
  auto at = std::find_if(connections_.begin(), connections_.end(),
                         [&](auto& c) { return c.get() == connection; });
  if (at != connections_.end())
    connections_.erase(at);
}

}  // namespace robinhoist::http
