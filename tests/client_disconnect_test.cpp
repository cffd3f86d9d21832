// The program on the platform with clients that close their connections early, behind a fault proxy
// that shows the program an orderly close, as a network does.
#include <gmock/gmock.h>

#include <algorithm>
#include <array>
#include <memory>
#include <sstream>
#include <string>

#include "faults/fault_proxy.h"
#include "platform_process.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

std::string request(const std::string& request_line, const std::string& id) {
  return request_line + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Timeout: 8000m\r\nIdempotency-Key: key-" + id +
         (request_line.compare(0, 3, "GET") == 0 ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n");
}

class ClientDisconnect : public PlatformProcess {
 protected:
  ClientDisconnect() : PlatformProcess(patient_config()) {}
  ~ClientDisconnect() override { std::remove(log_file_.c_str()); }

  void start_then(const std::function<void()>& task) {
    proxy_ = std::make_unique<ChildProcess>(Words{"platform", "--config", config_file_}, log_file_);
    when_ready(task);
    run_loop_for(60s);
  }

  // Connects a client through the fault proxy.
  void connect_through_faults(RawClient& client) {
    const Poco::Net::SocketAddress address("127.0.0.1:" + std::to_string(link_.port()));
    client.stream = net::Stream::connect(loop_, address, client);
  }

  void serve_request(const http::ExchangePtr& exchange) override {
    ids_.emplace_back(exchange->request.headers.get("Request-Id"));
    PlatformProcess::serve_request(exchange);
  }

  long runs_of(const std::string& id) const { return std::count(ids_.begin(), ids_.end(), id); }

  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(log_file_).rdbuf();
    return text.str();
  }

  std::vector<std::string> ids_{};  // of the requests that reached the endpoint
  std::unique_ptr<ChildProcess> proxy_{};
  faults::FaultProxy link_{loop_, port_, {.hides_resets = true}};
  const std::string log_file_ =
      testing::TempDir() + "disconnect-" + std::to_string(::getpid()) + ".log";
};

// Guards against requests that are sent on for seconds after their client has closed its
// connection, because the close stands behind requests that were not read yet.
TEST_F(ClientDisconnect, requests_before_an_unread_close_are_not_forwarded) {
  constexpr Duration service_time = 5ms;
  constexpr Duration max_start_after_disconnect = 100ms;
  constexpr long pipelined_requests = 400;
  // One after the other, and the one that is in flight at the close.
  constexpr long max_requests_after_close = max_start_after_disconnect / service_time + 1;
  response_delay_ = service_time;
  std::size_t forwarded_at_close = 0;
  start_then([&] {
    connect_through_faults(client_);
    std::string requests;
    for (long i = 0; i < pipelined_requests; ++i)
      requests += request("GET /look", "p" + std::to_string(i));
    client_.stream->write(requests);
    loop_.in(100ms, [&] {
      forwarded_at_close = ids_.size();
      client_.stream->drop();
    });
    loop_.in(3s, [&] { loop_.stop(); });
  });
  EXPECT_GT(forwarded_at_close, 0u);
  EXPECT_LT(forwarded_at_close, static_cast<std::size_t>(pipelined_requests));
  EXPECT_LE(static_cast<long>(ids_.size() - forwarded_at_close), max_requests_after_close);
}

// Guards against an id that runs twice: its client disconnects, the id is forgotten, and the next
// client that sends it is served as if the request were a new one.
TEST_F(ClientDisconnect, repeated_id_is_refused_after_its_client_has_disconnected) {
  struct Case {
    std::string request_line;
    std::string id;
    RawClient first{};
    RawClient while_in_flight{};
    RawClient after_its_end{};
    RawClient with_new_id{};
  };
  std::array<Case, 3> cases{{{.request_line = "GET /look", .id = "idempotent"},
                             {.request_line = "POST /book", .id = "with-key"},
                             {.request_line = "POST /pay", .id = "non-idempotent"}}};
  response_delay_ = 300ms;
  start_then([&] {
    for (Case& test : cases) {
      const auto send_request = [this, &test](RawClient& client, const std::string& id) {
        connect_through_faults(client);
        client.stream->write(request(test.request_line, id));
      };
      send_request(test.first, test.id);
      loop_.in(100ms, [&test] { test.first.stream->drop(); });
      loop_.in(150ms, [=, &test] { send_request(test.while_in_flight, test.id); });
      loop_.in(1s, [=, &test] { send_request(test.after_its_end, test.id); });
      loop_.in(1s, [=, &test] { send_request(test.with_new_id, test.id + "-2"); });
    }
    loop_.in(2s, [&] { loop_.stop(); });
  });
  for (const Case& test : cases) {
    EXPECT_EQ(runs_of(test.id), 1) << test.id;
    EXPECT_THAT(test.while_in_flight.received, testing::StartsWith("HTTP/1.1 400")) << test.id;
    EXPECT_THAT(test.after_its_end.received, testing::StartsWith("HTTP/1.1 400")) << test.id;
    EXPECT_THAT(test.with_new_id.received, testing::StartsWith("HTTP/1.1 200")) << test.id;
    EXPECT_THAT(log(), testing::HasSubstr("msg=\"client disconnected\" id=" + test.id));
    EXPECT_THAT(log(), testing::HasSubstr("msg=\"request refused\" id=" + test.id + " status=400"));
  }
}

}  // namespace
}  // namespace robinhoist
