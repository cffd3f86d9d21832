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

/// Called for each vote, with its outcome.
using VoteCallback =
    std::function<void(const std::string& proxy, int build, int stage, Verdict, Outcome)>;

/// The handlers of /v1/umpires, /v1/patients and the votes on a release.
class ProxyRoutes {
 public:
  /// The references must outlive the routes. `steps` may be null and `voted` empty.
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

  /// Lists the proxies and the electorate.
  void list(const ApiRequest& request);
  /// Renews the lease of a proxy and records the release state that it acknowledges.
  void heartbeat(const ApiRequest& request);
  /// Removes a proxy that shuts down.
  void leave(const ApiRequest& request);
  /// Records a vote on a release; it also renews the lease of the proxy.
  void vote(const ApiRequest& request);
  /// Receives the outcomes of the proxy's clients, which throttle backfills.
  void client_outcomes(const ApiRequest& request);

 private:
  Dependencies deps_;
};

}  // namespace robinhoist::controller
