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
  long asked = 0, tries = 0, succeeded = 0, wrong = 0, rejected = 0, failed = 0, unreached = 0,
       broken = 0, left = 0, timed_out = 0, attempts = 0, votes = 0;
  double priority_weight = 0, max_weight = 0;  // in time and right, of all that was asked
  std::vector<double> took_ms{};               // of succeeded tries, all
  struct Verdict {
    TimePoint at;
    int build, stage;
    std::string phase, why;
  };
  std::vector<Verdict> verdicts{};
  std::uint64_t events = 0;
  long decisions = 0;
  double most_pushed = 0;
};

// Whether a day can be played here: empty, or why not.
std::string why_not(const day::Scenario& day);

// `folder` empty: no record. Throws std::runtime_error.
Summary run(const day::Scenario& day, long seed, const std::string& folder,
            const NetworkSettings& network = {}, const PolicySpec& policy = {});

}  // namespace robinhoist::emulator
