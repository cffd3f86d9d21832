#include "net/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace robinhoist::net {

Signals::Signals(Loop& loop, std::initializer_list<int> which, std::function<void(int)> came)
    : came_(std::move(came)) {
  sigset_t set;
  sigemptyset(&set);
  for (int one : which)
    sigaddset(&set, one);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  fd_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd_ < 0)
    throw std::runtime_error("no file descriptor left for signals");
  watched_ = std::make_unique<FdWatcher>(loop, fd_, [this] {
    signalfd_siginfo info{};
    if (::read(fd_, &info, sizeof info) == sizeof info)
      came_(static_cast<int>(info.ssi_signo));
  });
}

}  // namespace robinhoist::net
