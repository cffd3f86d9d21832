#include "unsound_clients.h"

#include <chrono>

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// A client that sends no sound request must get an error or a close within this time.
constexpr Duration max_response_time = 3s;
constexpr Duration max_interval = 40ms;
constexpr Duration max_repeat_delay = 300ms;
constexpr Duration max_stay = 60ms;
constexpr int min_pipelined_requests = 5;
constexpr int max_pipelined_requests = 200;
constexpr Duration pipelined_request_timeout = 400ms;

}  // namespace

UnsoundClients::UnsoundClients(net::Loop& loop, int port, Observer& observer, std::uint32_t seed)
    : loop_(loop), timers_(loop), port_(port), observer_(observer), random_(seed) {
  for (const char* name : {"connection_options", "expectations", "field_lines", "framing", "host",
                           "surplus", "targets", "trailers", "versions"})
    for (const tests::RawRequest& request : tests::read_requests(tests::requests_file(name)))
      requests_.push_back(request);
}

UnsoundClients::~UnsoundClients() = default;

Duration UnsoundClients::between(Duration least, Duration most) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

void UnsoundClients::start() {
  send_next();
}

void UnsoundClients::send_next() {
  if (std::bernoulli_distribution(0.15)(random_)) {
    pipeline_and_leave();
  } else {
    const std::size_t index =
        std::uniform_int_distribution<std::size_t>(0, requests_.size() - 1)(random_);
    send(requests_[index].name,
         tests::with_id(requests_[index].text, "unsound-" + std::to_string(++sent_)));
  }
  timers_.in(between(0ms, max_interval), [this] { send_next(); });
}

void UnsoundClients::repeat(const std::string& bytes) {
  timers_.in(between(0ms, max_repeat_delay),
             [this, bytes] { send("an id whose client has left", bytes); });
}

void UnsoundClients::send(const std::string& what, const std::string& bytes) {
  auto client = std::make_shared<UnsoundClient>();
  client->connection = std::make_unique<Connection>(
      loop_, port_,
      Connection::Handlers{
          .on_bytes = [one = client.get()](std::string_view text) { one->received += text; },
          .on_closed = [one = client.get()](CloseKind) { one->closed = true; }});
  if (!client->connection->send(bytes))
    client->closed = true;
  clients_.push_back(client);
  timers_.in(max_response_time, [this, client, what] { check(*client, what); });
}

void UnsoundClients::check(const UnsoundClient& client, const std::string& what) {
  if (client.received.find("HTTP/1.1 200") != std::string::npos)
    observer_.add_breach("unsound request (" + what + ") was answered as served");
  else if (client.received.empty() && !client.closed)
    observer_.add_breach("unsound request (" + what + ") got neither an error nor a close in 3 s");
}

// Sends many requests at once and leaves while most of them are unread. None may be sent on
// afterwards, which the observer checks.
void UnsoundClients::pipeline_and_leave() {
  const int count =
      std::uniform_int_distribution<int>(min_pipelined_requests, max_pipelined_requests)(random_);
  auto requests = std::make_shared<std::vector<ClientRequest>>();
  std::string bytes;
  for (int i = 0; i < count; ++i) {
    ClientRequest request{.id = observer_.next_request_id()};
    request.kind = RequestKind::idempotent;
    request.sent = loop_.now();
    request.deadline = request.sent + pipelined_request_timeout;
    observer_.request_sent(request);
    bytes += tests::with_id(
        "GET /look HTTP/1.1\\r\\nHost: x\\r\\nRequest-Id: {id}\\r\\n"
        "Request-Timeout: 400m\\r\\n\\r\\n",
        std::to_string(request.id));
    requests->push_back(request);
  }
  auto connection = std::make_shared<Connection>(
      loop_, port_,
      Connection::Handlers{.on_bytes = [](std::string_view) {}, .on_closed = [](CloseKind) {}});
  connection->send(bytes);
  timers_.in(between(0ms, max_stay), [this, connection, requests] {
    connection->close();
    for (const ClientRequest& request : *requests)
      observer_.client_disconnected(request);
  });
}

}  // namespace robinhoist::soak
