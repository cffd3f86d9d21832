/// The routes of whoever runs the machines: it fetches commands and reports what has become of
/// them.
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
  /// The rollout must outlive it; `decide` lets it act on what was reported.
  MachineRoutes(net::Loop& loop, rollout::Rollout& rollout, std::function<void()> decide)
      : loop_(loop), rollout_(rollout), decide_(std::move(decide)) {}

  /// Keeps a command until it is fetched.
  void enqueue(const rollout::Command& command) { commands_.push_back(command); }

  /// Answers with the commands that have not been fetched yet.
  void fetch_commands(const ApiRequest& request);
  /// Takes a report that a machine is up or has ended.
  void report(const ApiRequest& request);

 private:
  net::Loop& loop_;
  rollout::Rollout& rollout_;
  std::function<void()> decide_;
  std::vector<rollout::Command> commands_{};
};

}  // namespace robinhoist::controller
