// Log lines and counters of the program about requests that are refused or not served.
#include <gmock/gmock.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "log/line_limiter.h"
#include "platform_process.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

// Guards against a log that a peer can fill, and against lines that go missing unnoticed.
TEST(LineLimiter, limits_each_message_and_counts_what_it_leaves_out) {
  log::LineLimiter limiter(1, 2);
  const TimePoint start{10s};
  EXPECT_EQ(limiter.admit("a", start), 0);
  EXPECT_EQ(limiter.admit("a", start), 0);
  EXPECT_EQ(limiter.admit("a", start), std::nullopt);
  EXPECT_EQ(limiter.admit("a", start), std::nullopt);
  EXPECT_EQ(limiter.admit("b", start), 0);
  EXPECT_EQ(limiter.admit("a", start + 1s), 2);
  EXPECT_EQ(limiter.admit("a", start + 10s), 0);
}

class RequestLog : public PlatformProcess {
 protected:
  ~RequestLog() override { std::remove(log_file_.c_str()); }

  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(log_file_).rdbuf();
    return text.str();
  }

  long lines_with(const std::string& text) const {
    std::istringstream lines(log());
    long count = 0;
    for (std::string line; std::getline(lines, line);)
      count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
  }

  const std::string log_file_ = testing::TempDir() + "log-" + std::to_string(::getpid()) + ".log";
};

// Guards against refused requests that no log line and no counter tells of.
TEST_F(RequestLog, tells_of_refused_requests_without_being_filled_by_them) {
  constexpr int invalid_requests = 100;
  constexpr int max_lines = 60;
  ChildProcess proxy({"platform", "--config", config_file_}, log_file_);
  std::vector<std::unique_ptr<RawClient>> clients;
  when_ready([&] {
    for (int i = 0; i < invalid_requests; ++i) {
      clients.push_back(std::make_unique<RawClient>());
      connect(*clients.back());
      clients.back()->stream->write("no request\r\n\r\n");
    }
    send("GET /look", "Request-Timeout: twice\r\n");
    loop_.in(500ms, [&] { loop_.stop(); });
  });
  run_loop_for(20s);
  EXPECT_EQ(proxy.end(SIGTERM), 0);
  EXPECT_GT(lines_with("msg=\"invalid request\" client=127.0.0.1:"), 1);
  EXPECT_LT(lines_with("msg=\"invalid request\""), max_lines);
  EXPECT_EQ(
      lines_with("msg=\"request refused\" id=r1 status=400 reason=\"needs one Request-Timeout"), 1);
  EXPECT_EQ(lines_with(" invalid_requests=100 "), 1);
}

}  // namespace
}  // namespace robinhoist
