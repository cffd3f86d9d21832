// The program as a process on the platform: signals and the limit of open descriptors.
#include "platform_process.h"

#include <gmock/gmock.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <memory>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using namespace tests;

// Several reloads, one of them of an invalid file, and two SIGTERM while a request is open.
TEST_F(PlatformProcess, reloads_and_stops_without_losing_a_request) {
  response_delay_ = 300ms;
  ScriptedService moved(loop_,
                        [](const http::ExchangePtr& exchange) { exchange->begin_stream({}); });
  ::setenv("ROUTER_CONFIG", config_file_.c_str(), 1);
  ChildProcess proxy({"platform"}, "/dev/null");
  ::unsetenv("ROUTER_CONFIG");
  loop_.in(600ms, [&] { send("POST /pay", "Content-Length: 0\r\n"); });
  loop_.in(700ms, [&] {
    configure(moved.address());
    ::kill(proxy.pid, SIGHUP);
  });
  loop_.in(720ms, [&] {
    write_config("{\"name\":");
    ::kill(proxy.pid, SIGHUP);
  });
  loop_.in(730ms, [&] {
    configure(moved.address());
    ::kill(proxy.pid, SIGHUP);
  });
  loop_.in(740ms, [&] { ::kill(proxy.pid, SIGTERM); });
  loop_.in(760ms, [&] { ::kill(proxy.pid, SIGTERM); });
  run_loop_for(2500ms);
  EXPECT_EQ(proxy.end(SIGKILL), 0);  // -9 if it had not exited before the signal
  EXPECT_EQ(client_.received.substr(0, 12), "HTTP/1.1 200") << client_.received;
  EXPECT_THAT(client_.received, testing::HasSubstr("Connection: close"));
  EXPECT_EQ(endpoint_.targets.size(), 1u);
  EXPECT_EQ(moved.targets.size(), 2u);  // each of the two watches once
}

// Guards against a response without `Connection: close` after SIGTERM: the SIGTERM was pending
// before the response arrived, but was handled after it because a SIGHUP was pending too. The
// program is stopped until all three have arrived.
TEST_F(PlatformProcess, handles_pending_signals_before_a_later_response) {
  response_delay_ = 300ms;
  ChildProcess proxy({"platform", "--config", config_file_}, "/dev/null");
  when_ready([&] {
    send("POST /pay", "Content-Length: 0\r\n");
    loop_.in(100ms, [&] { ::kill(proxy.pid, SIGSTOP); });
    loop_.in(130ms, [&] {
      ::kill(proxy.pid, SIGHUP);
      ::kill(proxy.pid, SIGTERM);
    });
    loop_.in(350ms, [&] { ::kill(proxy.pid, SIGCONT); });
    loop_.in(1500ms, [&] { loop_.stop(); });
  });
  run_loop_for(10s);
  EXPECT_EQ(client_.received.substr(0, 12), "HTTP/1.1 200") << client_.received;
  EXPECT_THAT(client_.received, testing::HasSubstr("Connection: close"));
  EXPECT_EQ(proxy.end(SIGKILL), 0);
}

// Guards against a front that never takes the proxy in: its health check may be as short as this.
TEST_F(PlatformProcess, readiness_check_needs_no_host_and_no_latest_version) {
  ChildProcess proxy({"platform", "--config", config_file_}, "/dev/null");
  RawClient old_version;
  when_ready([&] {
    connect(client_);
    client_.stream->write("GET /up HTTP/1.1\r\n\r\n");
    connect(old_version);
    old_version.stream->write("GET /up HTTP/1.0\r\n\r\n");
    loop_.in(200ms, [&] { loop_.stop(); });
  });
  run_loop_for(20s);
  EXPECT_THAT(client_.received, testing::StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(old_version.received, testing::StartsWith("HTTP/1.1 200"));
}

double cpu_seconds(const rusage& usage) {
  constexpr double seconds_per_microsecond = 1e-6;
  const auto seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  const auto microseconds = static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
  return seconds + seconds_per_microsecond * microseconds;
}

// With fewer descriptors than configured, the program waits without busy-looping and accepts
// clients again once descriptors are free.
TEST_F(PlatformProcess, accepts_clients_again_after_it_ran_out_of_descriptors) {
  constexpr rlim_t max_descriptors = 30;
  constexpr int idle_client_count = 60;
  rusage before{};
  ::getrusage(RUSAGE_CHILDREN, &before);
  ChildProcess proxy({"platform", "--config", config_file_}, "/dev/null", max_descriptors);
  std::vector<std::unique_ptr<RawClient>> idle;
  loop_.in(500ms, [&] {
    for (int i = 0; i < idle_client_count; ++i) {
      idle.push_back(std::make_unique<RawClient>());
      connect(*idle.back());
    }
  });
  loop_.in(900ms, [&] { idle.clear(); });
  loop_.in(1100ms, [&] { send("GET /look"); });
  loop_.in(1500ms, [&] { ::kill(proxy.pid, SIGTERM); });
  run_loop_for(2500ms);
  EXPECT_EQ(proxy.end(SIGTERM), 0);
  EXPECT_EQ(client_.received.substr(0, 12), "HTTP/1.1 200") << client_.received;
  rusage after{};
  ::getrusage(RUSAGE_CHILDREN, &after);
  EXPECT_LT(cpu_seconds(after) - cpu_seconds(before), 1);  // of the 2.5 s that it ran
}

}  // namespace
}  // namespace robinhoist
