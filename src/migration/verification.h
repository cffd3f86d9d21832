/// Asks the target again whether the steps that were applied still are. Changes nothing.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "migration/lease.h"
#include "migration/plan_state_machine.h"
#include "migration/target.h"

namespace robinhoist::migration {

/// One pass over all plans, one step after the other: by the step's check query, else by its
/// marker. It keeps itself alive until it is done; the target and the lease must outlive it.
class Verification : public std::enable_shared_from_this<Verification> {
 public:
  /// Gets the result of all steps as JSON.
  using DoneHandler = std::function<void(const std::string& json)>;

  Verification(Target& target, const Lease& lease, DoneHandler done);

  /// Adds the steps of a plan in their present state. Before start().
  void add_plan(const PlanStateMachine& machine);
  void start();

 private:
  struct Item {
    int build;
    Step step;
    std::string state{};  ///< Empty until it is known.
    std::string reason{};
  };

  /// Asks for the next step whose state is not known; reports when there is none.
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
