#include "clients.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// How long after its time an answer is still waited for; a later one is lost.
constexpr Duration max_answer_delay = 500ms;
constexpr Duration reconnect_delay = 1ms;
// So long before the last moment for it, each client that has no request open connects anew.
constexpr Duration last_connect_margin = 10ms;
// A client that sends no whole request is owed an error or a close so soon after it connected.
constexpr Duration max_wait_of_bad_client = 3s;
constexpr Duration drip_interval = 40ms;

// Ends of requests in the record's words.
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
               TimePoint traffic_start, std::uint32_t salt)
    : loop_(loop),
      port_(port),
      plan_(plan),
      observer_(observer),
      traffic_start_(traffic_start),
      random_(plan.seed * 1000 + salt),
      rests_(std::bernoulli_distribution(0.3)(random_)) {
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
  const Duration most = rests_ ? Duration(1500ms) : Duration(40ms);
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

// What the client does next, in place of anything that was scheduled before.
void Client::schedule(Duration wait, net::Loop::Task task) {
  loop_.cancel(next_timer_);
  next_timer_ = loop_.in(wait, [this, task = std::move(task)] {
    next_timer_ = net::Loop::no_timer;
    task();
  });
}

Client::~Client() {
  for (net::Loop::Timer* timer :
       {&next_timer_, &last_connect_timer_, &deadline_timer_, &leave_timer_})
    loop_.cancel(*timer);
}

void Client::send_next() {
  if (!connection_->open()) {
    // Closed between two requests, or nobody listens.
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
  sent_again_ = false;
  open_ = true;
  observer_.request_sent(request_);
  deadline_timer_ = loop_.at(request_.deadline + max_answer_delay, [this] { give_up_listening(); });
  if (std::bernoulli_distribution(plan_.leave_share)(random_))
    leave_timer_ =
        loop_.in(Duration(std::uniform_int_distribution<std::int64_t>(0, timeout.count())(random_)),
                 [this] { leave(); });
  send(false);
}

void Client::send(bool again) {
  sent_again_ = again;
  reader_ = std::make_unique<http::ResponseReader>(http::MessageLimits{});
  reader_->expect(false);
  connection_->send(bytes_);
}

void Client::on_bytes(std::string_view bytes) {
  input_ += bytes;
  if (!open_) {
    observer_.add_breach("bytes that no request asked for: " + input_.substr(0, 40));
    return;
  }
  const http::ParseResult result = reader_->read(input_);
  if (result == http::ParseResult::invalid) {
    observer_.add_breach("request " + std::to_string(request_.id) + " got no HTTP");
    end_request(broken);
  } else if (result == http::ParseResult::complete) {
    answered(reader_->take());
  }
}

void Client::answered(const http::Response& response) {
  const bool success = response.status == 200;
  const bool right = !success || response.body == std::to_string(request_.id);
  if (!right)
    observer_.add_breach("request " + std::to_string(request_.id) + " got the answer '" +
                         response.body + "'");
  const bool rejection = response.status == 429 || response.status == 503;
  const char* refusal = rejection ? rejected : failed;
  end_request(success ? succeeded : refusal, response.status, right);
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
    observer_.add_breach("request " + std::to_string(request_.id) + " was read and its " +
                         (first_on_connection_ ? "new " : "") +
                         "connection closed without a whole answer, " +
                         std::to_string((loop_.now() - request_.sent) / 1ms) + " ms after it");
    end_request(broken);
    schedule(reconnect_delay, [this] { connect(); });
    return;
  }
  if (sent_again_ || !may_connect()) {
    unanswered();
    return;
  }
  // The close crossed the request: it is sent once more, on a new connection.
  schedule(Duration(0), [this] {
    if (!open_)
      return;
    open_connection();
    if (connection_->open())
      send(true);
    else
      unanswered();
  });
}

// The proxy has not read it. Without a crowd, one that still takes connections must not do so to
// the first request of a new one.
void Client::unanswered() {
  if (first_on_connection_ && sent_again_ && may_connect() && !plan_.crowd)
    observer_.add_breach("request " + std::to_string(request_.id) +
                         " was not read on a new connection");
  end_request(unreached);
  schedule(think_time(), [this] { connect(); });
}

void Client::leave() {
  if (!open_)
    return;
  connection_->close();
  open_ = false;
  loop_.cancel(deadline_timer_);
  observer_.client_left(request_);
  schedule(think_time(), [this] { connect(); });
}

void Client::give_up_listening() {
  deadline_timer_ = net::Loop::no_timer;
  if (!open_)
    return;
  observer_.add_breach("request " + std::to_string(request_.id) + " got no answer in time");
  connection_->close();
  end_request(timed_out);
  schedule(think_time(), [this] { connect(); });
}

void Client::end_request(const char* end, int status, bool right) {
  open_ = false;
  loop_.cancel(deadline_timer_);
  loop_.cancel(leave_timer_);
  observer_.request_ended(request_, end, status, right);
}

void Client::expect_nothing_open() {
  if (!open_)
    return;
  observer_.add_breach("request " + std::to_string(request_.id) + " was open at SIGKILL");
  end_request(broken);
}

Crowd::Crowd(net::Loop& loop, int port, Observer& observer, std::uint32_t salt)
    : loop_(loop), timers_(loop), port_(port), observer_(observer), random_(salt) {}

void Crowd::connect(int count) {
  for (int number = 0; number < count; ++number)
    add_member(number);
}

void Crowd::add_member(int number) {
  static const std::array<const char*, 4> beginnings = {
      "", "POST /pay HTTP/1.1\r\nHost: x\r\nRequest-I",
      "POST /book HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd\r\nContent-Length: 4000\r\n\r\nhalf",
      "GET /look HTTP/1.1\r\nHost: x\r\nX-Drip: "};
  auto member = std::make_shared<Member>();
  const std::size_t kind =
      std::uniform_int_distribution<std::size_t>(0, beginnings.size() - 1)(random_);
  member->connection = std::make_unique<Connection>(
      loop_, port_,
      Connection::Handlers{
          .on_bytes = [one = member.get()](std::string_view) { one->answered = true; },
          .on_closed = [one = member.get()](CloseKind) { one->answered = true; }});
  if (!member->connection->send(beginnings[kind]))
    member->answered = true;
  if (kind == beginnings.size() - 1)
    drip(member);
  members_.push_back(member);
  timers_.in(max_wait_of_bad_client, [this, member, number] { check(*member, number); });
}

void Crowd::drip(const std::shared_ptr<Member>& member) {
  if (member->answered)
    return;
  member->connection->send("x");
  timers_.in(drip_interval, [this, member] { drip(member); });
}

void Crowd::check(const Member& member, int number) {
  if (!member.answered)
    observer_.add_breach("bad client " + std::to_string(number) +
                         " got neither an error nor a close in 3 s");
}

}  // namespace robinhoist::soak
