/// A client that sends at full speed on one connection and does not mind what comes back, on a
/// thread of its own.
#pragma once
#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace robinhoist::faults {

/// Sends until it is destroyed. It reads and drops all responses, goes on sending after the peer
/// has closed its side, and connects again once the connection is reset.
class Flooder {
 public:
  /// Returns the next bytes to send; `number` is another one each time.
  using Next = std::function<std::string(int number)>;

  /// Connects to a port of the loopback interface.
  Flooder(int port, Next next);
  ~Flooder();
  Flooder(const Flooder&) = delete;
  Flooder& operator=(const Flooder&) = delete;

  /// Bytes that the kernel has taken so far.
  std::size_t sent() const { return sent_; }

 private:
  void run();
  bool send_all(int fd, const std::string& bytes);

  int port_;
  Next next_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> sent_ = 0;
  std::thread thread_;
};

}  // namespace robinhoist::faults
