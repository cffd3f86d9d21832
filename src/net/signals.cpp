#include "net/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace robinhoist::net {

Signals::Signals(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal)
    : on_signal_(std::move(on_signal)) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals)
    sigaddset(&set, signal);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0)
    throw std::runtime_error("no file descriptor left for signals");
  watcher_ = std::make_unique<FdWatcher>(loop, fd, [this, fd] {
    signalfd_siginfo info{};
    if (::read(fd, &info, sizeof info) == sizeof info)
      on_signal_(static_cast<int>(info.ssi_signo));
  });
}

}  // namespace robinhoist::net
