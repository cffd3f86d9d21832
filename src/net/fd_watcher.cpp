#include "net/fd_watcher.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <utility>

namespace robinhoist::net {

FdWatcher::FdWatcher(Poco::Net::SocketReactor& reactor, int fd, std::function<void()> on_readable)
    : reactor_(reactor),
      socket_(new Poco::Net::StreamSocketImpl(fd)),
      on_readable_(std::move(on_readable)) {
  enable(true);
}

FdWatcher::~FdWatcher() {
  enable(false);
  socket_.close();
}

void FdWatcher::enable(bool enabled) {
  if (enabled == enabled_)
    return;
  enabled_ = enabled;
  Poco::Observer<FdWatcher, Poco::Net::ReadableNotification> observer(*this,
                                                                      &FdWatcher::handle_readable);
  if (enabled)
    reactor_.addEventHandler(socket_, observer);
  else
    reactor_.removeEventHandler(socket_, observer);
}

void FdWatcher::handle_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  on_readable_();
}

}  // namespace robinhoist::net
