#include "net/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace robinhoist::net {
namespace {

int blocked_signals_fd(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals)
    sigaddset(&set, signal);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0)
    throw std::runtime_error("no file descriptor left for signals");
  return fd;
}

}  // namespace

Signals::Signals(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal)
    : loop_(loop), fd_(blocked_signals_fd(signals)), on_signal_(std::move(on_signal)) {
  // The watcher wakes the loop; the signals are read at the start of the iteration.
  watcher_ = std::make_unique<FdWatcher>(loop, fd_, [this] { read_pending(); });
  loop_.before_each_iteration([this] { read_pending(); });
}

Signals::~Signals() {
  loop_.before_each_iteration({});
}

void Signals::read_pending() {
  signalfd_siginfo info{};
  while (::read(fd_, &info, sizeof info) == sizeof info)
    on_signal_(static_cast<int>(info.ssi_signo));
}

}  // namespace robinhoist::net
