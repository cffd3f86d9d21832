#include "emulator/simulation.h"

#include "time/units.h"

namespace robinhoist::emulator {
namespace {

// Time from the start of the processes to the start of the scenario.
constexpr Duration settle_time = std::chrono::seconds(2);

std::unique_ptr<record::Writer> open(const std::string& folder, const char* file) {
  return folder.empty() ? nullptr : std::make_unique<record::Writer>(folder + "/" + file);
}

}  // namespace

EventLog::EventLog(const std::string& folder)
    : servers(open(folder, "nodes.jsonl")),
      notifications(open(folder, "told.jsonl")),
      clients(open(folder, "clients.jsonl")),
      proxies(open(folder, "umpires.jsonl")) {}

Simulation::Simulation(const day::Scenario& scenario, long seed, const std::string& folder,
                       const NetworkSettings& network_settings)
    : day(scenario),
      log(folder),
      random(static_cast<unsigned>(seed * 2 + 1)),
      network(network_settings, static_cast<unsigned>(seed * 3 + 7)),
      start(settle_time) {}

double Simulation::uniform_sample() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

Duration Simulation::sample_between(Duration min, Duration max) {
  return min + from_seconds(uniform_sample() * static_cast<double>((max - min).count()) / 1e6);
}

std::string proxy_name(int proxy) {
  return "umpire-" + std::to_string(proxy);
}

}  // namespace robinhoist::emulator
