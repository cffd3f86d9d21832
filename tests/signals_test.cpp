/// Tests of signals as loop events, together with descriptors that become readable in the same
/// iteration.
#include "net/signals.h"

#include <gtest/gtest.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <vector>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

constexpr int watchers_on_each_side = 20;
constexpr int descriptor_event = 0;  // marks a descriptor event among the signal numbers

// Guards against a signal that is handled after descriptors that became ready at the same time, or
// one iteration after another pending signal. The reactor orders sockets by their memory addresses,
// so watchers are created both before and after the Signals object.
TEST(Signals, all_pending_signals_are_handled_before_any_descriptor) {
  net::Loop loop(net::steady_now());
  std::vector<int> events;
  std::vector<int> descriptors;
  std::vector<std::unique_ptr<net::FdWatcher>> watchers;
  const auto add_watchers = [&] {
    for (int i = 0; i < watchers_on_each_side; ++i) {
      const int fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
      descriptors.push_back(fd);
      watchers.push_back(std::make_unique<net::FdWatcher>(loop, fd, [&events, fd] {
        eventfd_t count = 0;
        ::eventfd_read(fd, &count);
        events.push_back(descriptor_event);
      }));
    }
  };
  add_watchers();
  const net::Signals signals(loop, {SIGUSR1, SIGUSR2},
                             [&](int signal) { events.push_back(signal); });
  add_watchers();
  loop.in(1ms, [&] {
    for (const int fd : descriptors)
      ::eventfd_write(fd, 1);
    ::kill(::getpid(), SIGUSR2);
    ::kill(::getpid(), SIGUSR1);
  });
  loop.in(200ms, [&] { loop.stop(); });
  loop.run();
  ASSERT_EQ(events.size(), 2u + 2 * watchers_on_each_side);
  EXPECT_EQ(events[0], SIGUSR1);
  EXPECT_EQ(events[1], SIGUSR2);
}

}  // namespace
}  // namespace robinhoist
