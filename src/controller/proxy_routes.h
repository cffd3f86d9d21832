/// The routes of proxies: heartbeats, votes, reports of client outcomes, and the list of proxies.
#pragma once
#include <functional>
#include <string>

#include "controller/api_request.h"
#include "controller/fault_injection.h"
#include "controller/membership_monitor.h"
#include "controller/settings.h"
#include "controller/watches.h"
#include "membership/membership.h"
#include "migration/runner.h"
#include "policy/release.h"
#include "policy/request.h"
#include "releases/catalog.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// Told of each vote and what came of it.
using VoteCallback =
    std::function<void(const std::string& proxy, int build, int stage, Verdict, Outcome)>;

/// The handlers of /v1/umpires, /v1/patients and the votes on a release.
class ProxyRoutes {
 public:
  /// All must outlive it. `steps` may be null, and callbacks but `decide` empty.
  struct Dependencies {
    net::Loop& loop;
    const log::Logger& log;
    const Settings& settings;
    membership::Membership& membership;
    MembershipMonitor& monitor;
    rollout::Rollout& rollout;
    const releases::Catalog& catalog;
    const Watches& watches;
    FaultInjector& faults;
    migration::Runner* steps;
    VoteCallback voted;
    std::function<void()> decide;
  };
  explicit ProxyRoutes(Dependencies dependencies) : deps_(std::move(dependencies)) {}

  /// The proxies, and the electorate.
  void list(const ApiRequest& request);
  /// A sign of life, with what the proxy acknowledges to go by.
  void heartbeat(const ApiRequest& request);
  /// A proxy shuts down.
  void leave(const ApiRequest& request);
  /// A vote on a release; a sign of life as well.
  void vote(const ApiRequest& request);
  /// How the proxy's clients fared, for the throttling of backfills.
  void client_outcomes(const ApiRequest& request);

 private:
  Dependencies deps_;
};

}  // namespace robinhoist::controller
