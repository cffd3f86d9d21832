/// State shared by all parts of a simulated scenario: the clock, random numbers, the network, the
/// event log and the summary.
#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "day/scenario.h"
#include "emulator/engine.h"
#include "emulator/network.h"
#include "emulator/run.h"
#include "emulator/simulated_proxy.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

/// The files of the event log; null when none is kept.
struct EventLog {
  explicit EventLog(const std::string& folder);

  std::unique_ptr<record::Writer> servers;
  std::unique_ptr<record::Writer> notifications;
  std::unique_ptr<record::Writer> clients;
  std::unique_ptr<record::Writer> proxies;
};

/// Faults of the links between zones.
struct LinkFaults {
  std::string cut_zone{};   ///< empty: none is cut off
  std::string slow_zone{};  ///< empty: none has slow links
  Duration delay{};         ///< of answers over the slow links
  double loss = 0;          ///< share of requests whose connection is reset
};

using Proxies = std::vector<std::unique_ptr<SimulatedProxy>>;

/// One run. All random numbers and tasks come from here, in a fixed order, so that a scenario and
/// seed reproduce the run.
struct Simulation {
  Simulation(const day::Scenario& scenario, long seed, const std::string& folder,
             const NetworkSettings& network_settings);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  double uniform_sample();
  Duration sample_between(Duration min, Duration max);
  /// The current time on the load generator's clock, which starts with the scenario.
  TimePoint load_time() const { return TimePoint(engine.now() - start); }
  /// Converts a time of the load generator's clock to the engine's.
  TimePoint engine_time(TimePoint load_time) const { return start + load_time.time_since_epoch(); }

  const day::Scenario& day;
  EventLog log;
  Engine engine{};
  std::minstd_rand random;
  Network network;
  LinkFaults link_faults{};
  Proxies proxies{};
  Summary summary{};
  TimePoint start;  ///< of the scenario; processes start before it
};

/// A proxy's name in the event log.
std::string proxy_name(int proxy);

}  // namespace robinhoist::emulator
