/// The routes for the orchestrator that starts and stops machines: it fetches commands and reports
/// the state of the machines.
#pragma once
#include <functional>
#include <vector>

#include "controller/api_request.h"
#include "net/loop.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// The handlers of /v1/orders and /v1/machines.
class MachineRoutes {
 public:
  /// The rollout must outlive this object. `decide` is called after each report so that the rollout
  /// acts on it.
  MachineRoutes(net::Loop& loop, rollout::Rollout& rollout, std::function<void()> decide)
      : loop_(loop), rollout_(rollout), decide_(std::move(decide)) {}

  /// Queues a command until it is fetched.
  void enqueue(const rollout::Command& command) { commands_.push_back(command); }

  /// Returns the commands that have not been fetched yet.
  void fetch_commands(const ApiRequest& request);
  /// Handles a report that a machine is up or has stopped.
  void report(const ApiRequest& request);

 private:
  net::Loop& loop_;
  rollout::Rollout& rollout_;
  std::function<void()> decide_;
  std::vector<rollout::Command> commands_{};
};

}  // namespace robinhoist::controller
