// Raw requests against the program on the platform: those that are not sound get an error or a
// close, and nothing of them reaches an endpoint. The requests are in tests/requests/.
#include <gmock/gmock.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "faults/fault_proxy.h"
#include "platform_process.h"
#include "raw_requests.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

// How a request is sent.
enum class Pace { at_once, in_pieces };

// Sends all requests of a file.
class RawRequests : public PlatformProcess {
 protected:
  RawRequests()
      : PlatformProcess(replace_once(patient_config(), R"("sockets": 256)", R"("sockets": 1024)")) {
  }

  // A request that was sent, and what came back.
  struct Sent {
    std::string what;
    std::string id;
    RawClient client{};
  };

  // Bad clients have to be answered within this time.
  static constexpr Duration max_response_time = 3s;

  void send_all(const std::vector<RawRequest>& requests,
                const std::vector<Pace>& paces = {Pace::at_once, Pace::in_pieces}) {
    ChildProcess proxy({"platform", "--config", config_file_}, "/dev/null");
    when_ready([&] {
      for (const RawRequest& request : requests)
        for (const Pace pace : paces)
          send(request, pace);
      stop_when_done(loop_.now() + max_response_time);
    });
    run_loop_for(60s);
  }

  void serve_request(const http::ExchangePtr& exchange) override {
    forwarded_.insert(std::string(exchange->request.headers.get("Request-Id")));
    PlatformProcess::serve_request(exchange);
  }

  static bool is_served(const Sent& sent) {
    return sent.client.received.find("HTTP/1.1 200") != std::string::npos;
  }
  static bool is_refused(const Sent& sent) {
    const std::string& received = sent.client.received;
    const bool is_error = received.find("HTTP/1.1 4") == 0 || received.find("HTTP/1.1 5") == 0;
    return is_error || (received.empty() && sent.client.closed);
  }

  std::vector<std::unique_ptr<Sent>> sent_{};
  std::set<std::string> forwarded_{};  // the ids of the requests that reached the endpoint

 private:
  void send(const RawRequest& request, Pace pace) {
    const std::string id = "raw-" + std::to_string(sent_.size());
    sent_.push_back(std::make_unique<Sent>());
    sent_.back()->what = request.name + (pace == Pace::at_once ? ", at once" : ", in pieces");
    sent_.back()->id = id;
    RawClient& client = sent_.back()->client;
    const int port = pace == Pace::at_once ? port_ : link_.port();
    const Poco::Net::SocketAddress address("127.0.0.1:" + std::to_string(port));
    client.stream = net::Stream::connect(loop_, address, client);
    client.stream->write(with_id(request.text, id));
  }

  void stop_when_done(TimePoint limit) {
    const bool done = std::all_of(sent_.begin(), sent_.end(), [](const auto& sent) {
      return is_served(*sent) || is_refused(*sent);
    });
    if (done || loop_.now() >= limit)
      loop_.stop();
    else
      loop_.in(10ms, [this, limit] { stop_when_done(limit); });
  }

  faults::FaultProxy link_{loop_, port_, {.max_piece = 23, .piece_interval = 1ms}};
};

TEST_F(RawRequests, sound_ones_are_served) {
  send_all(read_requests(requests_file("sound")));
  ASSERT_FALSE(sent_.empty());
  for (const auto& sent : sent_) {
    EXPECT_TRUE(is_served(*sent)) << sent->what << ": " << sent->client.received;
    EXPECT_TRUE(forwarded_.contains(sent->id)) << sent->what;
  }
}

// Guards against a request that is served although bytes behind it show that its length is wrong.
TEST_F(RawRequests, with_surplus_bytes_are_refused_and_not_forwarded) {
  send_all(read_requests(requests_file("surplus")), {Pace::at_once});
  ASSERT_FALSE(sent_.empty());
  for (const auto& sent : sent_)
    EXPECT_TRUE(is_refused(*sent)) << sent->what << ": " << sent->client.received;
  EXPECT_THAT(forwarded_, testing::IsEmpty());
}

// Guards against the same if the bytes come while the request is open: it may have run by then, but
// its answer is an error.
TEST_F(RawRequests, with_late_surplus_bytes_fail) {
  response_delay_ = 1s;
  send_all(read_requests(requests_file("surplus")), {Pace::in_pieces});
  ASSERT_FALSE(sent_.empty());
  for (const auto& sent : sent_)
    EXPECT_TRUE(is_refused(*sent)) << sent->what << ": " << sent->client.received;
}

class UnsoundRequests : public RawRequests, public testing::WithParamInterface<std::string> {};

// Guards against an unsound request that is answered as served, because the reader accepted it and
// the proxy wrote it anew as a sound one.
TEST_P(UnsoundRequests, are_refused_and_not_forwarded) {
  send_all(read_requests(requests_file(GetParam())));
  ASSERT_FALSE(sent_.empty());
  for (const auto& sent : sent_)
    EXPECT_TRUE(is_refused(*sent)) << sent->what << ": " << sent->client.received;
  EXPECT_THAT(forwarded_, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Of, UnsoundRequests,
                         testing::Values("connection_options", "expectations", "field_lines",
                                         "framing", "host", "targets", "trailers", "versions"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace robinhoist
