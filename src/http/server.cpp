#include "http/server.h"

#include <unistd.h>

#include <utility>

namespace robinhoist::http {
namespace {
constexpr Duration asking_for = std::chrono::milliseconds(50);
// How soon a client's close is seen behind bytes that we don't read: an attempt may begin 100 ms
// after it at most.
constexpr Duration gone_seen = std::chrono::milliseconds(50);
// For a client to end its side too after its last answer.
constexpr Duration lingers = std::chrono::seconds(1);
constexpr int tries_for_room = 8;  // clients looked at that turn out to have just asked
}  // namespace

// A client's connection. One request is with the handler at a time; others wait in the buffer, and
// reading stops while it holds more than one head may have.
class Client : public net::Stream::Owner, public std::enable_shared_from_this<Client> {
 public:
  Client(Server& server, int fd) : server_(&server), reader_(server.settings_.limits) {
    stream_ = net::Stream::adopt(server.loop_, fd, *this);
  }
  ~Client() override { stream_->drop(); }

  void start() {
    since_ = server_->loop_.now();
    const Duration first = server_->settings_.first_request_timeout;
    wait(first > Duration{} ? first : server_->settings_.idle_timeout);
  }

  // What closing it would cost, the least first.
  enum class Spare { lingers, idle, half_asked };
  // Nothing is owed to one that lingers or is idle, and no answer yet to one whose request is not
  // whole. None: it has a request open, or an answer that is not written.
  std::optional<std::pair<Spare, TimePoint>> spare() const {
    if (open_ || stream_->unwritten() > 0)
      return {};
    return std::pair(closing_          ? Spare::lingers
                     : reader_.begun() ? Spare::half_asked
                                       : Spare::idle,
                     since_);
  }
  // Whether a request is on its way into this process: then it is not to be closed as idle.
  bool asking() {
    if (stream_->quiet())
      return false;
    since_ = server_->loop_.now();
    return true;
  }

  void on_bytes(net::Stream&) override { next(); }
  void on_written(net::Stream&) override {
    if (open_ || closing_)
      return;
    auto self = shared_from_this();
    stream_->read(true);
    next();
    if (server_ && server_->leaving())
      close_if_idle();
  }
  void on_closed(net::Stream&, net::CloseReason) override { leave(); }

  void answer(Response response) {
    if (!server_)
      return;
    response.keep_alive = response.keep_alive && keep_alive_ && !server_->leaving();
    std::string out;  // not kept: answers may be large, and clients many
    serialize(out, response, head_only_);
    const bool keep = response.keep_alive;
    response = {};
    stream_->write(out);
    after(keep);
  }

  void begin_stream(const Response& head) {
    if (!server_)
      return;
    out_.clear();
    serialize_head(out_, head);
    stream_->write(out_);
  }

  bool piece(std::string_view bytes) {
    if (!server_)
      return false;
    out_.clear();
    serialize_chunk(out_, bytes);
    stream_->write(out_);
    return stream_->unwritten() <= server_->settings_.stream_backlog;
  }

  void last(std::string_view bytes) {
    if (!server_)
      return;
    out_.clear();
    serialize_chunk(out_, bytes);
    serialize_last_chunk(out_);
    stream_->write(out_);
    after(keep_alive_ && !server_->leaving());
  }

  void leave(bool reset = false) {
    if (!server_)
      return;
    auto self = shared_from_this();
    Server* server = server_;
    server_ = nullptr;
    server->loop_.cancel(timer_);
    stream_->drop(reset);
    server->clients_.erase(self);
    gone();
  }

  void close_if_idle() {
    const auto now = spare();
    if (server_ && now && now->first == Spare::idle && !asking())
      leave();
  }

  // Its place is needed.
  void make_way() {
    const auto now = spare();
    if (!server_ || !now)
      return;
    if (now->first == Spare::idle)
      return close_if_idle();
    if (now->first == Spare::half_asked)
      refuse(503, "no room: come again");
    leave();
  }

  std::size_t unwritten() const { return stream_->unwritten(); }

 private:
  void gone() {
    auto exchange = open_;
    open_ = nullptr;
    if (exchange && exchange->on_disconnect)
      exchange->on_disconnect();
  }

  void after(bool keep) {
    open_ = nullptr;
    if (!keep) {
      closing_ = true;
      stream_->finish();
      // A client that does not read its last answer, or does not end its side, is not waited for
      // without end.
      since_ = server_->loop_.now();
      wait(stream_->unwritten() > 0 ? server_->settings_.request_timeout : lingers);
      return;
    }
    since_ = server_->loop_.now();
    wait(server_->settings_.idle_timeout);
    if (in_handler_)
      return;
    stream_->read(true);
    if (!stream_->input().empty())
      next();
  }

  void refuse(int status, const std::string& why) {
    keep_alive_ = false;
    head_only_ = false;
    Response response = text_response(status, why + "\n");
    response.keep_alive = false;
    answer(std::move(response));
  }

  void next() {
    auto self = shared_from_this();
    while (server_ && !open_ && !closing_) {
      // A client that does not read its answers gets no further ones.
      if (stream_->unwritten() > server_->settings_.stream_backlog)
        return stream_->read(false);
      const bool had_begun = reader_.begun();
      ParseResult read = reader_.read(stream_->input());
      if (read == ParseResult::invalid)
        return refuse(reader_.error().status, reader_.error().why);
      if (reader_.wants_continue())
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
      if (read == ParseResult::incomplete) {
        if (reader_.begun() && !had_begun &&
            !(first_ && server_->settings_.first_request_timeout > Duration{}))
          wait(server_->settings_.request_timeout);
        return stream_->read(true);
      }
      Request request = reader_.take();
      server_->loop_.cancel(timer_);
      keep_alive_ = request.keep_alive;
      head_only_ = request.method == "HEAD";
      open_ =
          std::make_shared<Exchange>(weak_from_this(), std::move(request), server_->loop_.now());
      open_->first = std::exchange(first_, false);
      in_handler_ = true;
      server_->handler_(ExchangePtr(open_));
      in_handler_ = false;
    }
    if (server_ && open_ && stream_->input().size() > server_->settings_.limits.max_header_bytes) {
      stream_->read(false);
      watch_gone();
    }
  }

  // While nothing is read, a close is looked for: guards against work begun for a client that has
  // left.
  void watch_gone() {
    server_->loop_.cancel(timer_);
    timer_ = server_->loop_.in(gone_seen, [this] {
      timer_ = net::Loop::no_timer;
      if (stream_->peer_ended())
        return leave();
      watch_gone();
    });
  }

  void wait(Duration span) {
    server_->loop_.cancel(timer_);
    timer_ = server_->loop_.in(span, [this] {
      timer_ = net::Loop::no_timer;
      if (!closing_ && reader_.begun())
        return refuse(408, "the request took too long to come");
      // One that does not read its answers is not asking: what it has sent stays unread.
      if (!closing_ && stream_->unwritten() == 0 && asking() && stream_->input().empty())
        return wait(asking_for);
      leave();
    });
  }

  Server* server_;
  std::shared_ptr<net::Stream> stream_;
  RequestReader reader_;
  ExchangePtr open_{};
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint since_{};
  std::string out_{};
  bool keep_alive_ = true, head_only_ = false, closing_ = false, in_handler_ = false, first_ = true;
};

Exchange::~Exchange() {
  if (answered_)
    return;
  if (auto client = client_.lock()) {
    answered_ = true;
    client->answer(text_response(500, "the request got lost inside\n"));
  }
}

void Exchange::answer(Response response) {
  if (answered_)
    return;
  answered_ = true;
  if (auto client = client_.lock())
    client->answer(std::move(response));
}

void Exchange::abort_connection() {
  if (answered_ && !streaming_)
    return;
  answered_ = true;
  if (auto client = client_.lock())
    client->leave(true);
}

void Exchange::begin_stream(Response head) {
  if (answered_)
    return;
  answered_ = streaming_ = true;
  if (auto client = client_.lock())
    client->begin_stream(head);
}

bool Exchange::write(std::string_view piece) {
  auto client = client_.lock();
  return client && client->piece(piece);
}

void Exchange::end(std::string_view last) {
  if (!streaming_)
    return;
  streaming_ = false;
  if (auto client = client_.lock())
    client->last(last);
}

std::size_t Exchange::unwritten() const {
  auto client = client_.lock();
  return client ? client->unwritten() : 0;
}

Server::Server(net::Loop& loop, const ServerSettings& settings, Handler handler)
    : loop_(loop),
      settings_(settings),
      handler_(std::move(handler)),
      listener_(std::make_unique<net::Listener>(loop, settings.listen,
                                                [this](int fd) { accepted(fd); })) {}

Server::~Server() {
  cut();
}

void Server::accepted(int fd) {
  if (draining_ || (clients_.size() >= settings_.max_clients && !room())) {
    ++refused_;
    ::close(fd);
    return;
  }
  auto client = std::make_shared<Client>(*this, fd);
  clients_.insert(client);
  client->start();
}

bool Server::room() {
  if (!settings_.evict_idle)
    return false;
  for (int tries = 0; tries < tries_for_room && clients_.size() >= settings_.max_clients; ++tries) {
    std::shared_ptr<Client> first;
    std::optional<std::pair<Client::Spare, TimePoint>> least;
    for (auto& client : clients_)
      if (auto spare = client->spare(); spare && (!least || *spare < *least))
        first = client, least = spare;
    if (!first)
      return false;
    first->make_way();
  }
  return clients_.size() < settings_.max_clients;
}

void Server::retire() {
  retiring_ = true;
  close_idle(0);
}

// First room is made, so that those who wait in the kernel can all be taken.
void Server::drain() {
  close_idle(0);
  listener_->finish();
  draining_ = true;
  close_idle(0);
}

void Server::close_idle(std::size_t left) {
  auto clients = clients_;
  for (auto& client : clients)
    if (clients_.size() > left)
      client->close_if_idle();
}

void Server::cut() {
  auto clients = clients_;
  for (auto& client : clients)
    client->leave(true);
}

Response text_response(int status, std::string_view text) {
  Response response;
  response.status = status;
  response.headers.add("Content-Type", "text/plain; charset=utf-8");
  response.body = text;
  return response;
}

Response json_response(int status, std::string body) {
  Response response;
  response.status = status;
  response.headers.add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace robinhoist::http
