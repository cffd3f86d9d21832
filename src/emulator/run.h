/// Runs a scenario in simulated time, with the same notation, decision code and event log as on
/// sockets. A run uses one thread and is reproducible bit for bit for a scenario and seed; several
/// can run in parallel.
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

/// Counters of a run, kept with or without an event log.
struct Summary {
  long requested = 0, client_attempts = 0, succeeded = 0, wrong = 0, rejected = 0, failed = 0,
       unreached = 0, connection_lost = 0, client_disconnected = 0, timed_out = 0,
       proxy_attempts = 0, votes = 0;
  double weight_in_time = 0, weight_offered = 0;  // weight_in_time: of correct answers in time
  std::vector<double> latencies_ms{};             // of all attempts of clients that succeeded
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

/// Why a scenario can't be run in simulated time; empty: it can.
std::string unsupported_reason(const day::Scenario& day);

/// Writes the event log into the folder, unless it is empty. Throws std::runtime_error.
Summary run(const day::Scenario& day, long seed, const std::string& folder,
            const NetworkSettings& network = {}, const PolicySpec& policy = {});

}  // namespace robinhoist::emulator
