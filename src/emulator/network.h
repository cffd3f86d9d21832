// What the network does to a message: a delay with jitter. Cuts, slow links and losses are of the
// way between an proxy and a zone, as in a day on sockets; they act where a server takes a request.
#pragma once
#include <random>

#include "emulator/engine.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

struct NetworkSettings {
  Duration delay = std::chrono::microseconds(60);  // one way, as over loopback
  double jitter = 0.3;                             // of the delay, up and down
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
