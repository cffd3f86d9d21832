/// The release controller, which hosts the state machine of the rollout. Releases are API objects
/// (docs/releases.md, docs/api.md) that clients create, read, patch and watch over HTTP. Proxies
/// watch the releases, send heartbeats and vote. Commands go to the orchestrator that starts and
/// stops machines. A change is written to the journal before it is published and before the
/// commands that follow from it are issued. GET /v1 lists the routes.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/api_server.h"
#include "controller/fault_injection.h"
#include "controller/machine_routes.h"
#include "controller/membership_monitor.h"
#include "controller/proxy_routes.h"
#include "controller/release_objects.h"
#include "controller/release_routes.h"
#include "controller/release_status.h"
#include "controller/settings.h"
#include "controller/step_gates.h"
#include "controller/step_routes.h"
#include "journal/journal.h"
#include "log/logger.h"
#include "membership/membership.h"
#include "migration/runner.h"
#include "migration/target.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::controller {

/// Callbacks to the process that runs the controller; each may be empty.
struct ControllerCallbacks {
  /// Executes a command. If empty, commands are queued until they are fetched over HTTP.
  std::function<void(const rollout::Command&)> execute{};
  Watches::NotifiedCallback notified{};
  VoteCallback voted{};
};

/// Runs on an event loop and must be destroyed on the loop's thread.
class Controller {
 public:
  /// Starts listening and resumes from the journal. Throws journal::JournalError and the exceptions
  /// of http::Server.
  Controller(net::Loop& loop, const Settings& settings, const log::Logger& log,
             ControllerCallbacks callbacks = {});
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  rollout::Rollout& rollout() { return *rollout_; }
  /// Null if releases have no migration steps.
  migration::Runner* steps() { return runner_.get(); }
  int port() const { return api_->port(); }

  /// Creates and submits the release of a build; returns false if it is rejected.
  bool create_release(int build, const std::string& author);
  /// Makes the decisions that are due, writes them to the journal, and then publishes and executes
  /// them. Must be called after each input that a caller gives to rollout().
  void decide();

  /// Delays the publication of all later changes to watches and lists.
  void set_publish_delay(Duration delay) { objects_->set_publish_delay(delay); }
  /// Simulates a failure of the controller as seen by the proxies. The rollout is suspended until
  /// the fault is removed.
  void inject_fault(Fault fault, double counted_votes);
  void reset_connections() { api_->reset_connections(); }

 private:
  struct ActiveStage {
    int build = -1;
    int stage = -1;
    bool operator==(const ActiveStage&) const = default;
  };

  std::unique_ptr<rollout::Rollout> resume_or_start_rollout();
  void start_steps();
  void submit_pending_releases();
  std::vector<Route> routes();
  void list_routes(const ApiRequest& request) const;
  bool sync_steps();
  std::vector<rollout::Command> decide_commands(TimePoint now);
  void execute(const std::vector<rollout::Command>& commands);
  void log_progress(TimePoint now);

  net::Loop& loop_;
  Settings settings_;
  const log::Logger& log_;
  ControllerCallbacks callbacks_;
  FaultInjector faults_{};
  membership::Membership membership_;

  std::unique_ptr<journal::Journal> journal_{};
  std::unique_ptr<rollout::Rollout> rollout_{};
  std::unique_ptr<ReleaseStatusBuilder> status_{};
  std::unique_ptr<migration::Target> target_{};
  std::unique_ptr<migration::Runner> runner_{};
  std::optional<StepGates> step_gates_{};
  std::unique_ptr<ReleaseObjects> objects_{};
  std::unique_ptr<MembershipMonitor> monitor_{};
  std::unique_ptr<ReleaseRoutes> release_routes_{};
  std::unique_ptr<ProxyRoutes> proxy_routes_{};
  std::unique_ptr<StepRoutes> step_routes_{};
  std::unique_ptr<MachineRoutes> machine_routes_{};

  std::vector<rollout::Command> unwritten_commands_{};  // decided, not yet written to the journal
  std::size_t logged_changes_ = 0;
  ActiveStage logged_stage_{};
  net::Loop::Timer check_timer_ = net::Loop::no_timer;
  net::Timers timers_;
  std::unique_ptr<ApiServer> api_;
};

}  // namespace robinhoist::controller
