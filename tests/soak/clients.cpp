#include "clients.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// How long a client waits for a response after its deadline; a later response counts as lost.
constexpr Duration max_response_delay = 500ms;
constexpr Duration reconnect_delay = 1ms;
// This long before the last moment for new connections, each client without an open request
// connects again.
constexpr Duration last_connect_margin = 10ms;
// A client that sends no complete request must get an error or a close within this time.
constexpr Duration bad_client_timeout = 3s;
constexpr Duration trickle_interval = 40ms;
constexpr std::size_t large_body = 60000;

// Outcomes of requests as named in the record.
constexpr const char* succeeded = "settled";
constexpr const char* rejected = "declined";
constexpr const char* failed = "voided";
constexpr const char* unreached = "unreached";
constexpr const char* broken = "broken";
constexpr const char* timed_out = "timed-out";

constexpr std::array<const char*, 3> request_lines = {"GET /look", "POST /book", "POST /pay"};

std::string serialize(const ClientRequest& request, Duration timeout) {
  std::string text = std::string(request_lines[static_cast<std::size_t>(request.kind)]) +
                     " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + std::to_string(request.id) +
                     "\r\nRequest-Timeout: " + std::to_string(timeout.count()) + "u\r\n";
  if (!request.key.empty())
    text += "Idempotency-Key: " + request.key + "\r\n";
  if (request.kind != RequestKind::idempotent)
    text += "Content-Length: 4\r\n\r\nbody";
  else
    text += "\r\n";
  return text;
}

}  // namespace

Client::Client(net::Loop& loop, int port, const Plan& plan, Observer& observer,
               TimePoint traffic_start, std::uint32_t number,
               std::function<void(const std::string&)> on_left)
    : loop_(loop),
      port_(port),
      plan_(plan),
      observer_(observer),
      traffic_start_(traffic_start),
      on_left_(std::move(on_left)),
      random_(plan.seed * 1000 + number),
      has_long_pauses_(std::bernoulli_distribution(0.3)(random_)) {
  schedule(think_time(), [this] { connect(); });
  last_connect_timer_ = loop_.at(traffic_start + plan.last_connect - last_connect_margin, [this] {
    if (!open_)
      connect();
  });
}

bool Client::may_connect() const {
  return loop_.now() < traffic_start_ + plan_.last_connect;
}

Duration Client::think_time() {
  const Duration most = has_long_pauses_ ? Duration(1500ms) : Duration(40ms);
  return Duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(random_));
}

void Client::connect() {
  if (!may_connect())
    return;
  open_connection();
  send_next();
}

void Client::open_connection() {
  input_.clear();
  first_on_connection_ = true;
  connection_ = std::make_unique<Connection>(
      loop_, port_,
      Connection::Handlers{.on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
                           .on_closed = [this](CloseKind kind) { on_closed(kind); }});
}

void Client::wait_then_send() {
  schedule(think_time(), [this] { send_next(); });
}

// Schedules the client's next action and cancels the one scheduled before.
void Client::schedule(Duration wait, net::Loop::Task task) {
  loop_.cancel(next_timer_);
  next_timer_ = loop_.in(wait, [this, task = std::move(task)] {
    next_timer_ = net::Loop::no_timer;
    task();
  });
}

Client::~Client() {
  for (net::Loop::Timer* timer :
       {&next_timer_, &last_connect_timer_, &deadline_timer_, &disconnect_timer_})
    loop_.cancel(*timer);
}

void Client::send_next() {
  if (!connection_->open()) {
    // The connection was closed between two requests, or there is no listener.
    schedule(reconnect_delay, [this] { connect(); });
    return;
  }
  const Duration timeout =
      std::bernoulli_distribution(0.1)(random_)
          ? Duration(std::uniform_int_distribution<std::int64_t>(2000, 20000)(random_))
          : Duration(std::uniform_int_distribution<std::int64_t>(
                60000, max_request_timeout.count())(random_));
  request_ = {.id = observer_.next_request_id()};
  request_.kind = static_cast<RequestKind>(std::uniform_int_distribution<int>(0, 2)(random_));
  if (request_.kind == RequestKind::idempotent_with_key)
    request_.key = "key-" + std::to_string(request_.id);
  request_.sent = loop_.now();
  request_.deadline = request_.sent + timeout;
  bytes_ = serialize(request_, timeout);
  resent_ = false;
  open_ = true;
  observer_.request_sent(request_);
  deadline_timer_ =
      loop_.at(request_.deadline + max_response_delay, [this] { on_response_timeout(); });
  if (std::bernoulli_distribution(plan_.disconnect_share)(random_))
    disconnect_timer_ =
        loop_.in(Duration(std::uniform_int_distribution<std::int64_t>(0, timeout.count())(random_)),
                 [this] { disconnect(); });
  send(false);
}

void Client::send(bool is_resend) {
  resent_ = is_resend;
  reader_ = std::make_unique<http::ResponseReader>(http::MessageLimits{});
  reader_->expect(false);
  connection_->send(bytes_);
}

void Client::on_bytes(std::string_view bytes) {
  input_ += bytes;
  if (!open_) {
    observer_.add_breach("unsolicited bytes: " + input_.substr(0, 40));
    return;
  }
  const http::ParseResult result = reader_->read(input_);
  if (result == http::ParseResult::invalid) {
    observer_.add_breach("request " + std::to_string(request_.id) +
                         " got an invalid HTTP response");
    complete_request(broken);
  } else if (result == http::ParseResult::complete) {
    answered(reader_->take());
  }
}

void Client::answered(const http::Response& response) {
  const bool success = response.status == 200;
  const bool right = !success || response.body == std::to_string(request_.id);
  if (!right)
    observer_.add_breach("request " + std::to_string(request_.id) + " got the response body '" +
                         response.body + "'");
  const bool rejection = response.status == 429 || response.status == 503;
  const char* error_outcome = rejection ? rejected : failed;
  complete_request(success ? succeeded : error_outcome, response.status, right);
  if (response.keep_alive) {
    first_on_connection_ = false;
    wait_then_send();
    return;
  }
  connection_->close();
  schedule(think_time(), [this] { connect(); });
}

void Client::on_closed(CloseKind kind) {
  if (!open_) {
    schedule(think_time(), [this] { connect(); });
    return;
  }
  if (kind == CloseKind::orderly || reader_->begun() || observer_.was_forwarded(request_)) {
    observer_.add_breach("request " + std::to_string(request_.id) + " was read, but its " +
                         (first_on_connection_ ? "new " : "") +
                         "connection was closed without a complete response, " +
                         std::to_string((loop_.now() - request_.sent) / 1ms) + " ms later");
    complete_request(broken);
    schedule(reconnect_delay, [this] { connect(); });
    return;
  }
  if (resent_ || !may_connect()) {
    on_request_not_read();
    return;
  }
  // The peer closed the connection before it read the request: it is sent once more, on a new
  // connection.
  schedule(Duration(0), [this] {
    if (!open_)
      return;
    open_connection();
    if (connection_->open())
      send(true);
    else
      on_request_not_read();
  });
}

// The proxy did not read the request. While it accepts connections, it must not leave the first
// request on a new connection unread, whatever other clients do.
void Client::on_request_not_read() {
  if (first_on_connection_ && resent_ && may_connect())
    observer_.add_breach("request " + std::to_string(request_.id) +
                         " was not read on a new connection");
  complete_request(unreached);
  schedule(think_time(), [this] { connect(); });
}

void Client::disconnect() {
  if (!open_)
    return;
  connection_->close();
  open_ = false;
  loop_.cancel(deadline_timer_);
  observer_.client_disconnected(request_);
  if (observer_.was_forwarded(request_))
    on_left_(bytes_);
  schedule(think_time(), [this] { connect(); });
}

void Client::on_response_timeout() {
  deadline_timer_ = net::Loop::no_timer;
  if (!open_)
    return;
  observer_.add_breach("request " + std::to_string(request_.id) + " got no response in time");
  connection_->close();
  complete_request(timed_out);
  schedule(think_time(), [this] { connect(); });
}

void Client::complete_request(const char* outcome, int status, bool right) {
  open_ = false;
  loop_.cancel(deadline_timer_);
  loop_.cancel(disconnect_timer_);
  observer_.request_ended(request_, outcome, status, right);
}

void Client::check_no_open_request() {
  if (!open_)
    return;
  observer_.add_breach("request " + std::to_string(request_.id) + " was open at SIGKILL");
  complete_request(broken);
}

BadClients::BadClients(net::Loop& loop, int port, Observer& observer, std::uint32_t seed)
    : loop_(loop), timers_(loop), port_(port), observer_(observer), random_(seed) {}

void BadClients::connect(int count) {
  for (int number = 0; number < count; ++number)
    add_client(number);
}

void BadClients::add_client(int number) {
  static const std::array<const char*, 4> partial_requests = {
      "", "POST /pay HTTP/1.1\r\nHost: x\r\nRequest-I",
      "POST /book HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd\r\nContent-Length: 4000\r\n\r\nhalf",
      "GET /look HTTP/1.1\r\nHost: x\r\nX-Drip: "};
  const std::size_t kind =
      std::uniform_int_distribution<std::size_t>(0, partial_requests.size() - 1)(random_);
  const auto client = open_client(number, partial_requests[kind]);
  if (kind == partial_requests.size() - 1)
    trickle(client);
}

void BadClients::send_large_partial_requests(int count) {
  for (int number = 0; number < count; ++number)
    open_client(number, "POST /book HTTP/1.1\r\nHost: x\r\nRequest-Id: large\r\nContent-Length: " +
                            std::to_string(large_body + 1) + "\r\n\r\n" +
                            std::string(large_body, 'x'));
}

// Connects a client that sends these bytes.
std::shared_ptr<BadClients::BadClient> BadClients::open_client(int number,
                                                               const std::string& bytes) {
  auto client = std::make_shared<BadClient>();
  client->connection = std::make_unique<Connection>(
      loop_, port_,
      Connection::Handlers{
          .on_bytes = [one = client.get()](std::string_view) { one->answered = true; },
          .on_closed = [one = client.get()](CloseKind) { one->answered = true; }});
  if (!client->connection->send(bytes))
    client->answered = true;
  clients_.push_back(client);
  timers_.in(bad_client_timeout, [this, client, number] { check(*client, number); });
  return client;
}

void BadClients::trickle(const std::shared_ptr<BadClient>& client) {
  if (client->answered)
    return;
  client->connection->send("x");
  timers_.in(trickle_interval, [this, client] { trickle(client); });
}

void BadClients::check(const BadClient& client, int number) {
  if (!client.answered)
    observer_.add_breach("bad client " + std::to_string(number) +
                         " got neither an error nor a close in 3 s");
}

}  // namespace robinhoist::soak
