/// Network delay of a message, with jitter. Cut, slow and lossy links lie between a proxy and a
/// zone, as in scenarios on sockets; Fleet applies them when a request arrives at a server.
#pragma once
#include <random>

#include "emulator/engine.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

struct NetworkSettings {
  Duration delay = std::chrono::microseconds(60);  // one way, about that of a loopback socket
  double jitter = 0.3;                             // as a share of the delay, in both directions
};

class Network {
 public:
  Network(const NetworkSettings& settings, unsigned salt) : settings_(settings), random_(salt) {}
  Duration sample_delay() {
    const double factor =
        1 + settings_.jitter * (2 * std::uniform_real_distribution<double>(0, 1)(random_) - 1);
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(settings_.delay.count()) * factor));
  }

 private:
  NetworkSettings settings_;
  std::minstd_rand random_;
};

}  // namespace robinhoist::emulator
