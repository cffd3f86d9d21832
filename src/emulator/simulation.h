/// What all parts of a simulated scenario share: the clock, random numbers, the network, the event
/// log and the summary.
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

/// The files of the event log; each null when no record is kept.
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
  double loss = 0;          ///< share of connections that break there
};

using Proxies = std::vector<std::unique_ptr<SimulatedProxy>>;

/// One run. Everything that is drawn or planned goes through it, in one order, so that the same
/// scenario and seed give the same run.
struct Simulation {
  Simulation(const day::Scenario& scenario, long seed, const std::string& folder,
             const NetworkSettings& network_settings);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  double uniform_sample();
  Duration sample_between(Duration min, Duration max);
  /// Now, in the time of the load generator, which begins with the scenario.
  TimePoint load_time() const { return TimePoint(engine.now() - start); }
  /// A point in time of the load generator as one of the engine.
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
