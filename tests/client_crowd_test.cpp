// The program on the platform with hundreds of misbehaving clients connected at once: its memory
// stays below the limit, and clients that connect for one request get their answer.
#include <gmock/gmock.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "faults/flooder.h"
#include "platform_process.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

constexpr int crowd_size = 300;  // more than the descriptors of the configuration
constexpr long memory_limit_kb = 32L * 1024;

std::string crowded_config() {
  return replace_once(patient_config(), R"("memory_mb": 64)", R"("memory_mb": 32)");
}

std::string many_fields() {
  std::string fields;
  for (int i = 0; i < 1500; ++i)
    fields += "a:b\r\n";
  return fields;
}

struct Crowd {
  const char* name;
  std::string first;          ///< sent at once
  std::string slow;           ///< sent again and again, a little later each time
  bool beside_flood = false;  ///< another client sends readiness checks at full speed
};

const std::vector<Crowd>& crowds() {
  const std::string body_head =
      "POST /book HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd\r\nRequest-Timeout: 8000m\r\n"
      "Idempotency-Key: k\r\nContent-Length: 65000\r\n\r\n";
  static const std::vector<Crowd> all = {
      {"silent", "", ""},
      {"half_a_head", "GET /look HTTP/1.1\r\nHost: x\r\nRequest-I", ""},
      {"half_a_large_body", body_head + std::string(60000, 'x'), ""},
      {"slow_head", "GET /look HTTP/1.1\r\nHost: x\r\nX-Slow: ", "x"},
      {"slow_body", body_head, std::string(400, 'x')},
      {"half_a_head_and_a_flood", "GET /look HTTP/1.1\r\nHost: x\r\nRequest-I", "", true},
      {"many_short_fields", "GET /look HTTP/1.1\r\n" + many_fields(), "a:b\r\n"}};
  return all;
}

class ClientCrowd : public PlatformProcess, public testing::WithParamInterface<std::size_t> {
 protected:
  ClientCrowd() : PlatformProcess(crowded_config()) {}

  // Sends one request after the other beside the crowd, each on a new connection.
  void run_beside_crowd(int requests) {
    ChildProcess proxy({"platform", "--config", config_file_}, "/dev/null");
    when_ready([&] {
      crowd_.resize(crowd_size);
      keep_crowd();
      if (crowds()[GetParam()].beside_flood)
        flooder_ = std::make_unique<faults::Flooder>(
            port_, [](int) { return std::string("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"); });
      watch_memory(proxy.pid);
      loop_.in(200ms, [this, requests] { send_requests(requests); });
    });
    run_loop_for(60s);
    EXPECT_GT(anonymous_memory_kb(proxy.pid), 0) << "the process has ended";
  }

  int served_ = 0;
  int rejected_ = 0;
  int lost_ = 0;
  long peak_memory_kb_ = 0;

 private:
  struct Member {
    std::unique_ptr<RawClient> client{};
  };

  // Members that were closed connect again.
  void keep_crowd() {
    const Crowd& crowd = crowds()[GetParam()];
    for (Member& member : crowd_) {
      if (!member.client || member.client->closed) {
        member.client = std::make_unique<RawClient>();
        connect(*member.client);
        member.client->stream->write(crowd.first);
      } else {
        member.client->stream->write(crowd.slow);
      }
    }
    loop_.in(10ms, [this] { keep_crowd(); });
  }

  void watch_memory(pid_t pid) {
    peak_memory_kb_ = std::max(peak_memory_kb_, anonymous_memory_kb(pid));
    loop_.in(10ms, [this, pid] { watch_memory(pid); });
  }

  void send_requests(int count) {
    if (count == 0) {
      loop_.stop();
      return;
    }
    usual_client_ = std::make_unique<RawClient>();
    connect(*usual_client_);
    usual_client_->stream->write("GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: usual-" +
                                 std::to_string(count) + "\r\nRequest-Timeout: 8000m\r\n\r\n");
    wait_for_answer(count);
  }

  void wait_for_answer(int count) {
    const std::string& received = usual_client_->received;
    if (received.empty() && !usual_client_->closed) {
      loop_.in(1ms, [this, count] { wait_for_answer(count); });
      return;
    }
    served_ += received.starts_with("HTTP/1.1 200") ? 1 : 0;
    rejected_ += received.starts_with("HTTP/1.1 503") ? 1 : 0;
    lost_ += received.empty() ? 1 : 0;
    loop_.in(1ms, [this, count] { send_requests(count - 1); });
  }

  std::vector<Member> crowd_{};
  std::unique_ptr<faults::Flooder> flooder_{};
  std::unique_ptr<RawClient> usual_client_{};
};

// Guards against a process that passes its memory limit, and against a request on a new connection
// that is closed without an answer, because other clients take all connections.
TEST_P(ClientCrowd, leaves_memory_and_connections_for_other_clients) {
  constexpr int requests = 60;
  run_beside_crowd(requests);
  EXPECT_EQ(lost_, 0);
  EXPECT_EQ(served_ + rejected_, requests);
  EXPECT_GT(served_, requests / 2);
  if (memory_is_comparable) {
    EXPECT_LE(peak_memory_kb_, memory_limit_kb);
  }
}

INSTANTIATE_TEST_SUITE_P(Of, ClientCrowd, testing::Range<std::size_t>(0, crowds().size()),
                         [](const auto& info) { return crowds()[info.param].name; });

}  // namespace
}  // namespace robinhoist
