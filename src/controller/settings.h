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
  /// Identifies this controller as holder of the migration steps' lease.
  std::string name{"controller"};
  http::ServerSettings server{};
  rollout::Settings rollout{};
  /// The number of machines in the fleet when no release is in progress.
  int slots = 1;
  int initial_build = 1;
  /// The minimum number of proxies to expect.
  int proxies = 1;
  membership::Settings membership{.lease = std::chrono::seconds(3),
                                  .retention = std::chrono::minutes(10)};
  WatchSettings watches{};
  /// The number of changes kept for watches that resume.
  std::size_t max_events = 1000;
  std::vector<Token> tokens{};
  /// The rate limit per client; 0: no limit.
  double requests_per_s = 0;
  Duration idempotency_key_lifetime = std::chrono::hours(24);
  /// The journal file; empty: no state is persisted.
  std::string journal{};
  /// The address of the migration target; empty: releases have no migration steps.
  std::string steps_target{};
  Duration steps_lease{};
  /// Whether backfills slow down while the proxies' clients receive unsuccessful outcomes.
  bool throttle_backfills = true;
  /// For tests: called after a change is written to disk and before it is published.
  std::function<void()> on_persisted{};
};

}  // namespace robinhoist::controller
