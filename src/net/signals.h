// Signals as events on a Loop. Made before any thread starts, so that all of them leave these
// alone.
#pragma once
#include <functional>
#include <initializer_list>

#include "net/loop.h"

namespace robinhoist::net {

class Signals {
 public:
  Signals(Loop& loop, std::initializer_list<int> which, std::function<void(int)> came);

 private:
  int fd_;
  std::function<void(int)> came_;
  std::unique_ptr<FdWatcher> watched_{};
};

}  // namespace robinhoist::net
