/// The settings of the release controller's process.
#pragma once
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "controller/tokens.h"
#include "controller/watches.h"
#include "http/server.h"
#include "membership/membership.h"
#include "rollout/settings.h"
#include "time/time_types.h"

namespace robinhoist::controller {

struct Settings {
  /// Identifies this controller to other holders of the steps' lease.
  std::string name{"controller"};
  http::ServerSettings server{};
  rollout::Settings rollout{};
  /// The machines that the fleet has when no release is under way.
  int slots = 1;
  int initial_build = 1;
  /// How many proxies there are at least.
  int proxies = 1;
  membership::Settings membership{.lease = std::chrono::seconds(3),
                                  .retention = std::chrono::minutes(10)};
  WatchSettings watches{};
  /// Changes kept for watches that resume.
  std::size_t max_events = 1000;
  std::vector<Token> tokens{};
  /// Of one client; 0: any number.
  double requests_per_s = 0;
  Duration idempotency_key_lifetime = std::chrono::hours(24);
  /// A file; empty: nothing outlives the process.
  std::string journal{};
  /// The address of the migration target; empty: releases have no steps.
  std::string steps_target{};
  Duration steps_lease{};
  /// Whether backfills slow down while the proxies' clients get bad outcomes.
  bool throttle_backfills = true;
  /// For tests: called between a change's being written to disk and its being published.
  std::function<void()> on_persisted{};
};

}  // namespace robinhoist::controller
