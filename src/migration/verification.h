/// Verifies with the target that the applied steps are still applied. Changes nothing.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "migration/lease.h"
#include "migration/plan_state_machine.h"
#include "migration/target.h"

namespace robinhoist::migration {

/// One pass over the steps of all plans, in sequence. Each step is verified by its check query or,
/// if it has none, by its marker. The object keeps itself alive until the pass is done; the target
/// and the lease must outlive it.
class Verification : public std::enable_shared_from_this<Verification> {
 public:
  /// Receives the results of all steps as JSON.
  using DoneHandler = std::function<void(const std::string& json)>;

  Verification(Target& target, const Lease& lease, DoneHandler done);

  /// Adds the steps of a plan in their current state. Must be called before start().
  void add_plan(const PlanStateMachine& machine);
  void start();

 private:
  struct Item {
    int build;
    Step step;
    std::string state{};  ///< Empty until known.
    std::string reason{};
  };

  /// Queries the target for the next step with an unknown state; reports the result if none is
  /// left.
  void verify_next();
  void on_answer(const ProbeOutcome& outcome);
  std::string to_json() const;

  Target& target_;
  const Lease& lease_;
  DoneHandler done_;
  std::vector<Item> items_{};
  std::size_t next_ = 0;
};

}  // namespace robinhoist::migration
