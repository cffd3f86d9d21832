// One scripted day in simulated time: the same notation, the same decision code, the same record as
// on sockets. One run is one thread's, and the same to the bit for the same day and seed; many run
// side by side.
#pragma once
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "day/scenario.h"
#include "emulator/simulated_proxy.h"
#include "membership/membership.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

// What is counted on the way, without a record.
struct Summary {
  long requested = 0, client_attempts = 0, succeeded = 0, wrong = 0, rejected = 0, failed = 0,
       unreached = 0, connection_lost = 0, client_disconnected = 0, timed_out = 0,
       proxy_attempts = 0, votes = 0;
  double weight_in_time = 0, weight_offered = 0;  // in time and right, of all that was asked
  std::vector<double> latencies_ms{};             // of succeeded tries, all
  struct ReleaseChange {
    TimePoint at;
    int build, stage;
    std::string phase, reason;
  };
  std::vector<ReleaseChange> release_changes{};
  std::uint64_t events = 0;
  long decisions = 0;
  double max_cold_load = 0;
};

// Whether a day can be played here: empty, or why not.
std::string unsupported_reason(const day::Scenario& day);

// `folder` empty: no record. Throws std::runtime_error.
Summary run(const day::Scenario& day, long seed, const std::string& folder,
            const NetworkSettings& network = {}, const PolicySpec& policy = {});

}  // namespace robinhoist::emulator
